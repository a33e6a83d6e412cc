"""Requests that callers send as plain HTTP by host and path."""
