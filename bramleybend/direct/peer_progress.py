"""The progress of other VMs in reading a log, as they report it."""

from dataclasses import dataclass
from typing import Final

# Precedes the first offset; also stands for a peer that failed to answer.
BEFORE_FIRST_OFFSET: Final = -1


@dataclass
class PeerProgress:
    """How far one VM has read a log."""

    address: str
    end: int  # the next offset that it reads
    confirmed_at: float  # monotonic seconds; when its copy was current
    can_read_store: bool  # whether the store answers its reads


class PeerProgressTable:
    """The progress of the other VMs, by VM name."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._peers: dict[str, PeerProgress] = {}

    def update(self, vm: str, peer: PeerProgress) -> None:
        """Store the progress that a VM reports."""
        self._peers[vm] = peer

    def remove(self, vm: str) -> None:
        """Remove a VM that is no longer heard."""
        self._peers.pop(vm, None)

    def store_access(self) -> dict[str, bool]:
        """Return for each VM whether the store answers it."""
        return {vm: peer.can_read_store for vm, peer in self._peers.items()}

    def furthest_beyond(self, end: int) -> PeerProgress | None:
        """Return the VM that has read furthest past an offset, if any."""
        ahead_peers = [peer for peer in self._peers.values() if peer.end > end]
        return max(ahead_peers, key=lambda peer: peer.end, default=None)
