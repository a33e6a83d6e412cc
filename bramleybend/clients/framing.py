"""What marks the end of an HTTP body."""

from collections.abc import Container
from enum import StrEnum


class Framing(StrEnum):
    """What tells where a body ends."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CONNECTION = 'connection'  # it ends when its connection does


def framing_of(names: Container[str]) -> Framing:
    """Return the framing by an answer's header names, in lower case."""
    if 'transfer-encoding' in names:
        return Framing.CHUNKED
    if 'content-length' in names:
        return Framing.LENGTH
    return Framing.CONNECTION
