"""Tells when the event loop woke late, and whether the process was to blame.

Every timeout of a process counts while its loop stands still. Without a word
of that in its log, a slow peer and an own delay look the same.
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
    """Sleeps, and records each sleep that took much longer."""

    def __init__(
        self,
        events: EventLog,
        clock: Clock,
        cpu_s: Callable[[], float] = time.process_time,
    ) -> None:
        """Take the wall clock and the process's own processor time."""
        self._events = events
        self._clock = clock
        self._cpu_s = cpu_s

    async def work(self) -> None:
        """Watch until cancelled."""
        while True:
            await self.sleep(INTERVAL_S)

    async def sleep(self, seconds: float) -> None:
        """Sleep once, for a part that wakes regularly anyhow."""
        before = self._clock.monotonic()
        cpu_before = self._cpu_s()
        await asyncio.sleep(seconds)
        late_s = self._clock.monotonic() - before - seconds
        if late_s >= TOLD_FROM_S:
            self._record(late_s, self._cpu_s() - cpu_before)

    def _record(self, late_s: float, cpu_s: float) -> None:
        # Little processor time in a long delay: the process didn't get to run.
        self._events.record(
            'loop_late',
            late_ms=round(late_s * MILLISECONDS),
            cpu_ms=round(cpu_s * MILLISECONDS),
        )
