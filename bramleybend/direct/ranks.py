"""Which VM comes first for some work: all VMs rank alike, by a hash."""

from functools import lru_cache
from typing import Final, Protocol

from xxhash import xxh64_intdigest

MOST_RANKS: Final = 4096  # kept hashes; some ten for each VM


class Ranked(Protocol):
    """A VM that may do the work."""

    @property
    def vm(self) -> str:
        """Return its name."""

    @property
    def capacity(self) -> int:
        """Return how much it can carry."""


def rank_of(work: str, one: Ranked) -> tuple[int, int]:
    """Rank a VM for some work; the one that can carry most goes first."""
    return one.capacity, hash_of(work, one.vm)


@lru_cache(MOST_RANKS)
def hash_of(work: str, vm: str) -> int:
    """Spread work over VMs that can carry as much."""
    return xxh64_intdigest(f'{work}/{vm}'.encode())
