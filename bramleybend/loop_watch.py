"""Reports delays of the event loop, with the CPU time used meanwhile.

All timeouts of a process keep running while its event loop is blocked or the
process isn't scheduled. Without such reports in its log, a slow peer and a
delay of the process itself look the same.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Final

from bramleybend.clock import Clock
from bramleybend.events import MILLISECONDS, EventLog

INTERVAL_S: Final = 0.1
TOLD_FROM_S: Final = 0.2


class LoopWatch:
    """Sleeps in short intervals and records each sleep that ended late."""

    def __init__(
        self,
        events: EventLog,
        clock: Clock,
        cpu_s: Callable[[], float] = time.process_time,
    ) -> None:
        """Measure delays by `clock`, and CPU time in seconds by `cpu_s`."""
        self._events = events
        self._clock = clock
        self._cpu_s = cpu_s

    async def run(self) -> None:
        """Monitor the event loop until cancelled."""
        while True:
            await self.sleep(INTERVAL_S)

    async def sleep(self, seconds: float) -> None:
        """Sleep once and record a late end; for periodic tasks' own sleeps."""
        before = self._clock.monotonic()
        cpu_before = self._cpu_s()
        await asyncio.sleep(seconds)
        late_s = self._clock.monotonic() - before - seconds
        if late_s >= TOLD_FROM_S:
            self._record(late_s, self._cpu_s() - cpu_before)

    def _record(self, late_s: float, cpu_s: float) -> None:
        # Little CPU time in a long delay means that the process was not
        # scheduled.
        self._events.record(
            'loop_late',
            late_ms=round(late_s * MILLISECONDS),
            cpu_ms=round(cpu_s * MILLISECONDS),
        )
