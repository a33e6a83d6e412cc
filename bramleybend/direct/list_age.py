"""The age of the runner list, and the wait for an outdated one.

A VM that stood still must not act on its list from before. While the store is
down, the list is the best that there is, however old.
"""

import asyncio
from math import inf
from typing import Final

from bramleybend.clock import Clock
from bramleybend.direct.suspension import SWEEP_EVERY_S, StandstillMeter
from bramleybend.events import EventLog
from bramleybend.timeouts import timeout_scope

# A list that was confirmed longer ago may lack a version, or name runners that
# are leaving.
MAX_LIST_AGE_S: Final = 2.0
# A list that is not confirmed in this time, although it is read again at once,
# can't be: the store is down or out of reach.
LIST_WAIT_S: Final = 0.5
# Failed reads count from this age of the list on.
MIN_FAILED_AGE_S: Final = MAX_LIST_AGE_S / 2
# What is read in the same pass of the event loop in which a standstill is
# noticed is new.
WAKE_TOLERANCE_S: Final = 0.1


class ListAge:
    """Knows when the runner list was last confirmed as current."""

    def __init__(self, clock: Clock, events: EventLog) -> None:
        """Start with a list that was never confirmed."""
        self._clock = clock
        self._events = events
        self.standstills = StandstillMeter(clock, SWEEP_EVERY_S)
        self._confirmed_at = -inf
        # When the list was last known to be impossible to confirm.
        self._unconfirmable_at = -inf
        self._has_confirmed = asyncio.Event()

    def seconds(self) -> float:
        """Return the seconds since the list was confirmed as current."""
        return self._clock.monotonic() - self._confirmed_at

    @property
    def is_current(self) -> bool:
        """Whether the list is new enough, and read since a standstill."""
        woke_at = self.standstills.woke_at() - WAKE_TOLERANCE_S
        is_young = self.seconds() <= MAX_LIST_AGE_S
        return is_young and self._confirmed_at >= woke_at

    @property
    def is_outdated(self) -> bool:
        """Whether the list is old and probably confirmed again soon.

        A list that was never confirmed is the backup of one.
        """
        if self.is_current or self._confirmed_at == -inf:
            return False
        now = self._clock.monotonic()
        return now - self._unconfirmable_at >= MAX_LIST_AGE_S

    def confirm(self, at: float) -> None:
        """Record a time at which the list was confirmed as current."""
        self._confirmed_at = max(self._confirmed_at, at)
        if self.is_current:
            self._unconfirmable_at = -inf
            self._has_confirmed.set()

    def note_failed(self, began_at: float) -> None:
        """Record that a read of the store failed that began at a time.

        A read that began while the list was fresh may have failed only because
        this VM stood still.
        """
        if began_at - self._confirmed_at > MIN_FAILED_AGE_S:
            self._unconfirmable_at = self._clock.monotonic()

    async def wait_until_current(self) -> None:
        """Wait for an outdated list to be confirmed again."""
        if not self.is_outdated:
            return
        self._has_confirmed.clear()
        try:
            async with timeout_scope(LIST_WAIT_S):
                await self._has_confirmed.wait()
        except TimeoutError:
            self._unconfirmable_at = self._clock.monotonic()
            age_s = round(self.seconds(), 1)
            self._events.record('runner_list_old', age_s=age_s)
