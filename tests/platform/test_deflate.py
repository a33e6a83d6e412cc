"""Inflating returns the original body or raises."""

from random import Random

import pytest

from bramleybend.platform.deflate import InflateError, deflate, inflate

BODY = b'route' * 1000


def test_what_was_deflated_is_read_as_it_was() -> None:
    """Inflating returns the original bytes if they fit the limit."""
    assert inflate(deflate(BODY), len(BODY)) == BODY


def test_a_cut_or_spoilt_body_is_never_taken_for_whole() -> None:
    """Guards against applying a truncated or corrupt manifest.

    A VM that crashes while it sends a body leaves it truncated.
    """
    rng = Random(5)
    deflated = deflate(BODY)
    for _ in range(200):
        cut = deflated[: rng.randrange(len(deflated))]
        with pytest.raises(InflateError):
            inflate(cut, len(BODY))
        spoilt = bytearray(deflated)
        spoilt[rng.randrange(len(spoilt))] ^= 1 << rng.randrange(8)
        try:
            read = inflate(bytes(spoilt), len(BODY))
        except InflateError:
            continue
        assert read == BODY


def test_a_few_bytes_do_not_fill_the_memory() -> None:
    """Guards against a small body that expands to gigabytes."""
    with pytest.raises(InflateError):
        inflate(deflate(bytes(10_000_000)), 1_000_000)
