"""Detects long pauses of this process."""

from bramleybend.clock import Clock


class PauseDetector:
    """Detects pauses by the time since the process last marked itself running.

    The whole interval between two marks counts as part of a pause, so a pause
    is never underestimated.
    """

    def __init__(self, clock: Clock, min_pause_s: float) -> None:
        """Report pauses of `min_pause_s` seconds and longer."""
        self._clock = clock
        self._min_pause_s = min_pause_s
        self._last_running_at = clock.monotonic()

    @property
    def was_paused(self) -> bool:
        """Whether the process was paused since it was last marked running."""
        return (
            self._clock.monotonic() - self._last_running_at >= self._min_pause_s
        )

    def mark_running(self) -> None:
        """Record that the process is running now."""
        self._last_running_at = self._clock.monotonic()
