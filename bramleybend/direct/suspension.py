"""Notices that this VM was suspended for a while.

What a VM believed before is as old as the suspension was long. The clock that
ages are measured by counts that time, so news goes stale by itself; here it
is told in the log, and what can be read anew is read at once.
"""

from collections.abc import Callable
from typing import Final

from bramleybend.clock import Clock
from bramleybend.events import EventLog
from bramleybend.loop_watch import LoopWatch

# The two clocks are read a few microseconds apart, and a busy process may be
# off the processor between them; suspensions last for seconds.
SUSPENDED_S: Final = 0.5


class SuspensionWatch:
    """Compares the clock with one that stands still in a suspension."""

    def __init__(self, clock: Clock, steady: Callable[[], float]) -> None:
        """Compare from now on; `steady` returns seconds."""
        self._clock = clock
        self._steady = steady
        self._ahead = clock.monotonic() - steady()

    def slept_s(self) -> float:
        """Return for how long the VM was suspended since the last call."""
        ahead = self._clock.monotonic() - self._steady()
        slept = ahead - self._ahead
        if slept < SUSPENDED_S:
            return 0
        self._ahead = ahead
        return slept


class WatchedSleep:
    """Sleeps between the turns of a part, and records each that was late."""

    def __init__(
        self, events: EventLog, clock: Clock, steady: Callable[[], float]
    ) -> None:
        """Watch from now on; `steady` returns seconds."""
        self._events = events
        self._loop_watch = LoopWatch(events, clock)
        self._suspensions = SuspensionWatch(clock, steady)

    async def sleep(self, seconds: float) -> bool:
        """Sleep; tells whether the VM was suspended meanwhile."""
        await self._loop_watch.sleep(seconds)
        slept_s = self._suspensions.slept_s()
        if slept_s:
            self._events.record('suspended', seconds=f'{slept_s:.1f}')
        return bool(slept_s)
