"""Queue of the membership updates that a node still has to send.

Each node sends an update a bounded number of times, which reaches all nodes
with high probability. The least often sent updates go first, so that a burst
(such as a lost region) delays old updates instead of enlarging messages.
"""

from collections.abc import Iterable
from math import ceil, log2
from typing import Final

SENDS_FACTOR: Final = 3


def max_sends(nodes: int) -> int:
    """Return how often one node sends an update among this many nodes."""
    return SENDS_FACTOR * ceil(log2(nodes + 1))


class UpdateQueue:
    """Addresses whose records changed, with the remaining sends of each."""

    def __init__(self) -> None:
        """Start without updates."""
        self._sends_left: dict[str, int] = {}

    def add(self, address: str, nodes: int) -> None:
        """Queue an address for the full number of sends."""
        self._sends_left[address] = max_sends(nodes)

    def remove(self, address: str) -> None:
        """Remove an address from the queue."""
        self._sends_left.pop(address, None)

    def __bool__(self) -> bool:
        """Whether there are updates to send."""
        return bool(self._sends_left)

    def next_addresses(self, limit: int) -> list[str]:
        """Return up to `limit` addresses, the least often sent first."""
        picked = sorted(
            self._sends_left, key=self._count_sends_left, reverse=True
        )[:limit]
        self._record_sends(picked)
        return picked

    def _record_sends(self, addresses: Iterable[str]) -> None:
        for address in addresses:
            self._sends_left[address] -= 1
            if not self._sends_left[address]:
                self._sends_left.pop(address)

    def _count_sends_left(self, address: str) -> int:
        return self._sends_left[address]
