"""Ranks of VMs for a task, by capacity and a hash (rendezvous hashing).

All VMs compute the same ranks, so they choose the same VM without agreement.
"""

from functools import lru_cache
from typing import Final, Protocol

from xxhash import xxh64_intdigest

MAX_CACHED_HASHES: Final = 4096  # about ten for each VM


class RankedVm(Protocol):
    """A VM's name and capacity."""

    @property
    def vm(self) -> str:
        """Return the VM's name."""

    @property
    def capacity(self) -> int:
        """Return the level of work that the VM can carry."""


def rank_of(task: str, member: RankedVm) -> tuple[int, int]:
    """Return a VM's rank for a task; the VM with the highest rank does it."""
    return member.capacity, hash_of(task, member.vm)


@lru_cache(MAX_CACHED_HASHES)
def hash_of(task: str, vm: str) -> int:
    """Return a hash that spreads tasks over VMs of the same capacity."""
    return xxh64_intdigest(f'{task}/{vm}'.encode())
