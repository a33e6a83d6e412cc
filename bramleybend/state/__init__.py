"""Replicated and recorded state: terms, journals, membership, request ids."""
