"""Time, passed in as an interface so that tests can move it."""

import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """What the system asks of a clock."""

    def now(self) -> datetime:
        """Return the wall time, in UTC; it may jump."""

    def monotonic(self) -> float:
        """Return seconds that never go back and count suspensions too."""


class SystemClock:
    """The machine's own clocks."""

    def now(self) -> datetime:
        """Return the wall time, in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never goes back.

        A VM may be suspended for seconds, which `time.monotonic` leaves out:
        all that the VM believed would look fresh when it wakes.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that moves only when told to, for tests and virtual time."""

    def __init__(self, start: datetime) -> None:
        """Start at a wall time, with the monotonic clock at zero."""
        self._start = start
        self._elapsed = float(0)

    def now(self) -> datetime:
        """Return the start moved on by what has elapsed."""
        return datetime.fromtimestamp(
            self._start.timestamp() + self._elapsed,
            UTC,
        )

    def monotonic(self) -> float:
        """Return the seconds that `advance` has added so far."""
        return self._elapsed

    def advance(self, seconds: float) -> None:
        """Move both clocks on."""
        self._elapsed += seconds
