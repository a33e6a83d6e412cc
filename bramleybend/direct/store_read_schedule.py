"""The schedule of a VM's reads of a log from the store."""

from collections.abc import Callable, Mapping
from math import inf
from random import Random
from typing import Final, TypeAlias

from bramleybend.clock import Clock
from bramleybend.direct.peer_progress import PeerProgressTable

# Two, because one may freeze or be cut off just as it gets a change. The others
# notice that only a second later, by the age of their copies.
STORE_READERS: Final = 2
# Delay after a failed read; random, so that VMs don't retry in step.
RETRY_S: Final = (0.15, 0.4)
# Delay after a failed read while peers keep this VM's copy fresh.
FRESH_RETRY_S: Final = (0.6, 1.2)

# Returns whether this VM is among the first `int` by rank for a log, given for
# each VM whether the store answers it.
IsRankedFirst: TypeAlias = Callable[[str, Mapping[str, bool], int], bool]


class StoreReadSchedule:
    """Decides when a feed reads its log; the feed reports the results."""

    def __init__(
        self,
        log: str,
        every_s: float,
        peers: PeerProgressTable,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Create a schedule whose first read is due at once."""
        self.is_store_answering = True
        # Whether a peer failed to send a page that it had announced.
        self.is_peer_page_missing = False
        self.is_among_first: IsRankedFirst = _always
        self._log = log
        self._every_s = every_s
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._next_at = -inf

    def is_due(self, is_stale: bool) -> bool:
        """Return whether the store is read now."""
        return self._may_read() and (is_stale or self.must_read_store())

    def must_read_store(self) -> bool:
        """Return whether to read the store even if a peer has read further."""
        if not self._may_read():
            return False
        if self.is_peer_page_missing and self.is_store_answering:
            return True
        return self.ranks_among(STORE_READERS)

    def ranks_among(self, max_rank: int) -> bool:
        """Return whether this VM ranks among the first that read the store."""
        return self.is_store_answering and self.is_among_first(
            self._log, self._peers.store_access(), max_rank
        )

    def record_success(self, started_at: float) -> None:
        """Record a read after which the copy is up to date."""
        self.is_peer_page_missing = False
        self._next_at = started_at + self._every_s

    def record_failure(self, has_fresh_copy: bool) -> None:
        """Record a failed read."""
        self.is_peer_page_missing = False
        pause = FRESH_RETRY_S if has_fresh_copy else RETRY_S
        self._next_at = self._clock.monotonic() + self._rng.uniform(*pause)

    def _may_read(self) -> bool:
        return self._clock.monotonic() >= self._next_at


def _always(log: str, store_access: Mapping[str, bool], max_rank: int) -> bool:
    return True
