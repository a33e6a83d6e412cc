"""Which news still has to be passed on, and how often.

Each piece of news is sent a bounded number of times by each node, which
reaches all nodes with high probability; the newest goes first, so that a
burst of news (a lost region) delays old news instead of growing messages.
"""

from collections.abc import Iterable
from math import ceil, log2
from typing import Final

SENDS_FACTOR: Final = 3


def sends_for(nodes: int) -> int:
    """Return how often one node passes one piece of news on."""
    return SENDS_FACTOR * ceil(log2(nodes + 1))


class UpdateQueue:
    """Addresses whose records changed, with the sends each has left."""

    def __init__(self) -> None:
        """Start with no news."""
        self._left: dict[str, int] = {}

    def add(self, address: str, nodes: int) -> None:
        """Send the news of an address afresh."""
        self._left[address] = sends_for(nodes)

    def drop(self, address: str) -> None:
        """Send no more of an address."""
        self._left.pop(address, None)

    def __bool__(self) -> bool:
        """Whether there is news to pass on."""
        return bool(self._left)

    def take(self, limit: int) -> list[str]:
        """Return up to `limit` addresses, the least often sent first."""
        picked = sorted(self._left, key=self._sends_left, reverse=True)[:limit]
        self._count(picked)
        return picked

    def _count(self, addresses: Iterable[str]) -> None:
        for address in addresses:
            self._left[address] -= 1
            if not self._left[address]:
                self._left.pop(address)

    def _sends_left(self, address: str) -> int:
        return self._left[address]
