"""Tells whether this process has stood still for long."""

from bramleybend.clock import Clock


class PauseDetector:
    """Goes by when the process last noted that it runs.

    What lies between two notes counts as part of a pause, so that none is
    taken for shorter than it was.
    """

    def __init__(self, clock: Clock, long_s: float) -> None:
        """Take `long_s` seconds and more for a long pause."""
        self._clock = clock
        self._min_pause_s = long_s
        self._last_running_at = clock.monotonic()

    @property
    def was_paused(self) -> bool:
        """Whether a long pause has ended since the last note."""
        return (
            self._clock.monotonic() - self._last_running_at >= self._min_pause_s
        )

    def mark_running(self) -> None:
        """Note that the process runs."""
        self._last_running_at = self._clock.monotonic()
