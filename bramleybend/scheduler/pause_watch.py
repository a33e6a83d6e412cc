"""Tells whether this process has stood still for long."""

from bramleybend.clock import Clock


class PauseWatch:
    """Goes by when the process last noted that it runs.

    What lies between two notes counts as part of a pause, so that none is
    taken for shorter than it was.
    """

    def __init__(self, clock: Clock, long_s: float) -> None:
        """Take `long_s` seconds and more for a long pause."""
        self._clock = clock
        self._long_s = long_s
        self._ran_at = clock.monotonic()

    @property
    def was_paused(self) -> bool:
        """Whether a long pause has ended since the last note."""
        return self._clock.monotonic() - self._ran_at >= self._long_s

    def note_running(self) -> None:
        """Note that the process runs."""
        self._ran_at = self._clock.monotonic()
