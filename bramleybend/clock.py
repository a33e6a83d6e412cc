"""Clocks, passed as an interface so that tests can control time."""

import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """A wall clock and a monotonic clock."""

    def now(self) -> datetime:
        """Return the wall time, in UTC; it may jump."""

    def monotonic(self) -> float:
        """Return seconds that never go back and include suspended time."""


class SystemClock:
    """The clocks of the operating system."""

    def now(self) -> datetime:
        """Return the wall time, in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never goes back.

        A VM may be suspended for seconds, which `time.monotonic` excludes:
        stale state would then look fresh when the VM resumes.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that moves only by `advance`, for tests and simulations."""

    def __init__(self, start: datetime) -> None:
        """Start at a wall time, with the monotonic clock at zero."""
        self._start = start
        self._elapsed = float(0)

    def now(self) -> datetime:
        """Return the start time plus the elapsed seconds."""
        return datetime.fromtimestamp(
            self._start.timestamp() + self._elapsed,
            UTC,
        )

    def monotonic(self) -> float:
        """Return the seconds that `advance` has added so far."""
        return self._elapsed

    def advance(self, seconds: float) -> None:
        """Advance both clocks."""
        self._elapsed += seconds
