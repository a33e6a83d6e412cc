"""Inflating returns the original body or raises."""

from random import Random

import pytest

from bramleybend.platform.deflate import InflateError, deflate, inflate

BODY = b'route' * 1000


def test_inflating_returns_the_deflated_body() -> None:
    """Inflating returns the original bytes if they fit the limit."""
    assert inflate(deflate(BODY), len(BODY)) == BODY


def test_a_truncated_or_corrupt_body_is_never_accepted() -> None:
    """Guards against applying a truncated or corrupt manifest.

    A VM that crashes while it sends a body leaves it truncated.
    """
    rng = Random(5)
    deflated = deflate(BODY)
    for _ in range(200):
        truncated = deflated[: rng.randrange(len(deflated))]
        with pytest.raises(InflateError):
            inflate(truncated, len(BODY))
        corrupt = bytearray(deflated)
        corrupt[rng.randrange(len(corrupt))] ^= 1 << rng.randrange(8)
        try:
            inflated = inflate(bytes(corrupt), len(BODY))
        except InflateError:
            continue
        assert inflated == BODY


def test_a_few_bytes_do_not_fill_the_memory() -> None:
    """Guards against a small body that expands to gigabytes."""
    with pytest.raises(InflateError):
        inflate(deflate(bytes(10_000_000)), 1_000_000)
