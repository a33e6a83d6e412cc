"""When a VM reads a log from the store itself."""

from collections.abc import Callable, Mapping
from math import inf
from random import Random
from typing import Final, TypeAlias

from bramleybend.clock import Clock
from bramleybend.direct.feed_peers import PeerFeeds

# Two, as one may be frozen or cut off the moment it has the news; the others
# notice by its age, a second later.
READERS: Final = 2
# After a failed read: soon, but not in step with the other VMs.
RETRY_S: Final = (0.15, 0.4)
# While others have fresh news the store is tried less often.
REFUSED_RETRY_S: Final = (0.6, 1.2)

# Tells whether we are among the first `int` for a log, of the VMs that tell
# whether the store answers them.
RanksFirst: TypeAlias = Callable[[str, Mapping[str, bool], int], bool]


class StoreTurns:
    """Decides for one log; the feed tells what came of its reads."""

    def __init__(
        self,
        log: str,
        every_s: float,
        peers: PeerFeeds,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Read at once, and then at most every so often."""
        self.answers = True  # the store, us
        self.is_missing = False  # what a VM told of and could not give
        self.ranks_first: RanksFirst = _always
        self._log = log
        self._every_s = every_s
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._next_at = -inf

    def is_due(self, is_stale: bool) -> bool:
        """Tell whether the store is read now."""
        return self._may_read() and (is_stale or self.must_read())

    def must_read(self) -> bool:
        """Tell whether the store goes before VMs that have read further."""
        if not self._may_read():
            return False
        if self.is_missing and self.answers:
            return True
        return self.ranks_among(READERS)

    def ranks_among(self, most: int) -> bool:
        """Tell whether we are among the first that read for all."""
        return self.answers and self.ranks_first(
            self._log, self._peers.reading(), most
        )

    def done(self, started: float) -> None:
        """Note a read that began at a time and brought what there is."""
        self.is_missing = False
        self._next_at = started + self._every_s

    def failed(self, is_fresh: bool) -> None:
        """Note a read that failed; others may have fresh news."""
        self.is_missing = False
        pause = REFUSED_RETRY_S if is_fresh else RETRY_S
        self._next_at = self._clock.monotonic() + self._rng.uniform(*pause)

    def _may_read(self) -> bool:
        return self._clock.monotonic() >= self._next_at


def _always(log: str, reading: Mapping[str, bool], most: int) -> bool:
    return True
