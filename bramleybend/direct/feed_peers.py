"""How far other VMs have read a log, as they tell it."""

from dataclasses import dataclass
from typing import Final

# Comes before the first record; also the end of a VM that failed to answer.
BEFORE_FIRST_OFFSET: Final = -1


@dataclass
class PeerProgress:
    """How far one VM has read."""

    address: str
    end: int  # the offset that it reads on from
    confirmed_at: float  # monotonic seconds
    can_read_store: bool  # whether the store answers it


class PeerProgressTable:
    """The other VMs, by name."""

    def __init__(self) -> None:
        """Know nobody."""
        self._peers: dict[str, PeerProgress] = {}

    def update(self, vm: str, peer: PeerProgress) -> None:
        """Hear how far a VM has read."""
        self._peers[vm] = peer

    def remove(self, vm: str) -> None:
        """Drop a VM that is silent."""
        self._peers.pop(vm, None)

    def store_access(self) -> dict[str, bool]:
        """Tell of each VM whether the store answers it."""
        return {vm: peer.can_read_store for vm, peer in self._peers.items()}

    def furthest_beyond(self, end: int) -> PeerProgress | None:
        """Return the VM that has read furthest beyond an offset, if any."""
        ahead = [peer for peer in self._peers.values() if peer.end > end]
        return max(ahead, key=lambda peer: peer.end, default=None)
