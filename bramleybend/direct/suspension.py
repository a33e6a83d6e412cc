"""Detection of suspensions of this VM.

After a suspension, all that a VM knows is outdated by its duration. Ages are
measured with a clock that counts suspended time, so outdated data expires
without further action. The detection here serves to record an event and to
let the caller refresh at once what can be read again.
"""

from collections.abc import Callable
from typing import Final

from bramleybend.clock import Clock
from bramleybend.events import EventLog
from bramleybend.loop_watch import LoopWatch

# The two clocks are read a few microseconds apart, and the kernel may schedule
# another process in between. Suspensions last for seconds.
MIN_SUSPENSION_S: Final = 0.5


class SuspensionWatch:
    """Compares the clock with one that doesn't count suspended time."""

    def __init__(
        self, clock: Clock, unsuspended_clock: Callable[[], float]
    ) -> None:
        """Compare from now on; `unsuspended_clock` returns seconds."""
        self._clock = clock
        self._unsuspended_clock = unsuspended_clock
        self._difference_s = clock.monotonic() - unsuspended_clock()

    def suspended_s(self) -> float:
        """Return the seconds for which the VM was suspended since last asked.

        Differences below `MIN_SUSPENSION_S` count as 0.
        """
        difference_s = self._clock.monotonic() - self._unsuspended_clock()
        suspended_s = difference_s - self._difference_s
        if suspended_s < MIN_SUSPENSION_S:
            return 0
        self._difference_s = difference_s
        return suspended_s


class WatchedSleep:
    """Sleeps for periodic tasks; records late wake-ups and suspensions."""

    def __init__(
        self,
        events: EventLog,
        clock: Clock,
        unsuspended_clock: Callable[[], float],
    ) -> None:
        """Watch from now on; `unsuspended_clock` returns seconds."""
        self._events = events
        self._loop_watch = LoopWatch(events, clock)
        self._suspensions = SuspensionWatch(clock, unsuspended_clock)

    async def sleep(self, seconds: float) -> bool:
        """Sleep; returns whether the VM was suspended meanwhile."""
        await self._loop_watch.sleep(seconds)
        suspended_s = self._suspensions.suspended_s()
        if suspended_s:
            self._events.record('suspended', seconds=f'{suspended_s:.1f}')
        return bool(suspended_s)
