"""Adapters between the platform's interfaces and this system's own types.

They only translate; scheduling decisions are made elsewhere. Code outside this
package uses none of the platform's names for headers, fields and topics.
"""
