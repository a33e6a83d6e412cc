"""When a VM reads a log from the store itself."""

from collections.abc import Callable, Mapping
from math import inf
from random import Random
from typing import Final, TypeAlias

from bramleybend.clock import Clock
from bramleybend.direct.feed_peers import PeerProgressTable

# Two, as one may be frozen or cut off the moment it has the news; the others
# notice by its age, a second later.
STORE_READERS: Final = 2
# After a failed read: soon, but not in step with the other VMs.
RETRY_S: Final = (0.15, 0.4)
# While others have fresh news the store is tried less often.
FRESH_RETRY_S: Final = (0.6, 1.2)

# Tells whether we are among the first `int` for a log, of the VMs that tell
# whether the store answers them.
IsRankedFirst: TypeAlias = Callable[[str, Mapping[str, bool], int], bool]


class StoreReadSchedule:
    """Decides for one log; the feed tells what came of its reads."""

    def __init__(
        self,
        log: str,
        every_s: float,
        peers: PeerProgressTable,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Read at once, and then at most every so often."""
        self.is_store_answering = True  # the store, us
        self.is_peer_page_missing = (
            False  # what a VM told of and could not give
        )
        self.ranks_first: IsRankedFirst = _always
        self._log = log
        self._every_s = every_s
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._next_at = -inf

    def is_due(self, is_stale: bool) -> bool:
        """Tell whether the store is read now."""
        return self._may_read() and (is_stale or self.must_read_store())

    def must_read_store(self) -> bool:
        """Tell whether the store goes before VMs that have read further."""
        if not self._may_read():
            return False
        if self.is_peer_page_missing and self.is_store_answering:
            return True
        return self.ranks_among(STORE_READERS)

    def ranks_among(self, most: int) -> bool:
        """Tell whether we are among the first that read for all."""
        return self.is_store_answering and self.ranks_first(
            self._log, self._peers.store_access(), most
        )

    def record_success(self, started: float) -> None:
        """Note a read that began at a time and brought what there is."""
        self.is_peer_page_missing = False
        self._next_at = started + self._every_s

    def record_failure(self, is_fresh: bool) -> None:
        """Note a read that failed; others may have fresh news."""
        self.is_peer_page_missing = False
        pause = FRESH_RETRY_S if is_fresh else RETRY_S
        self._next_at = self._clock.monotonic() + self._rng.uniform(*pause)

    def _may_read(self) -> bool:
        return self._clock.monotonic() >= self._next_at


def _always(log: str, reading: Mapping[str, bool], most: int) -> bool:
    return True
