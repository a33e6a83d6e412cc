"""Framing of HTTP bodies: how a receiver finds the end of a body."""

from collections.abc import Container
from enum import StrEnum


class Framing(StrEnum):
    """How the end of a body is determined."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CONNECTION = 'connection'  # it ends when the peer closes


def framing_of(names: Container[str]) -> Framing:
    """Return a response's framing, by its header names in lower case."""
    if 'transfer-encoding' in names:
        return Framing.CHUNKED
    if 'content-length' in names:
        return Framing.LENGTH
    return Framing.CONNECTION
