"""Detection of suspensions of this VM.

After a suspension, all that a VM knows is outdated by its duration. Ages are
measured with a clock that counts suspended time, so outdated data expires
without further action. The detection here serves to record an event and to
let the caller refresh at once what can be read again.
"""

from collections.abc import Callable
from math import inf
from typing import Final

from bramleybend.clock import Clock
from bramleybend.event_loop_monitor import EventLoopMonitor
from bramleybend.events import EventLog

# The two clocks are read a few microseconds apart, and the kernel may schedule
# another process in between. Suspensions last for seconds.
MIN_SUSPENSION_S: Final = 0.5
# Interval at which this VM notes that it runs.
SWEEP_EVERY_S: Final = 0.2
# A busy event loop is late by less.
MIN_STANDSTILL_S: Final = 0.5


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
        self._loop_watch = EventLoopMonitor(events, clock)
        self._suspensions = SuspensionWatch(clock, unsuspended_clock)

    async def sleep(self, seconds: float) -> bool:
        """Sleep; returns whether the VM was suspended meanwhile."""
        await self._loop_watch.sleep(seconds)
        suspended_s = self._suspensions.suspended_s()
        if suspended_s:
            self._events.record('suspended', seconds=f'{suspended_s:.1f}')
        return bool(suspended_s)


class StandstillMeter:
    """Measures when and for how long this VM stood still.

    It was suspended or not scheduled if `note_running`, which is due every
    `interval_s` seconds, is late. Nothing is measured before its first call.
    """

    def __init__(self, clock: Clock, interval_s: float) -> None:
        """Start without standstills."""
        self._clock = clock
        self._interval_s = interval_s
        self._running_at = inf
        self._woke_at = -inf
        self._total_s = float(0)

    def note_running(self) -> None:
        """Note that this VM runs now."""
        self._woke_at = self.woke_at()
        self._total_s = self.total_s()
        self._running_at = self._clock.monotonic()

    def woke_at(self) -> float:
        """Return when the last standstill ended, in monotonic seconds."""
        return self._clock.monotonic() if self._gap_s() else self._woke_at

    def total_s(self) -> float:
        """Return the seconds of all standstills, the one in progress too."""
        return self._total_s + self._gap_s()

    def _gap_s(self) -> float:
        gap_s = self._clock.monotonic() - self._running_at - self._interval_s
        return gap_s if gap_s >= MIN_STANDSTILL_S else 0
