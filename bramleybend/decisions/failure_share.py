"""The share of its runs that a runner fails.

Load pattern: a runner fails or rejects some of its requests, often within a
millisecond, while its status check succeeds.
Without it: a run that failed at once looks like a fast run or is ignored, so
the runner is always free and gets more work than any other. Work that may run
only once is lost there.

Each run's end moves the share by `SMOOTHING`. The share halves in
`HALF_LIFE_S`, since a runner without work can't show that it has recovered. A
failure share of 1 adds `FAILURE_COST_S` to the cost of a runner: as much as a
request's patience, so a healthy runner with a queue is preferred to one that
fails half.
"""

SMOOTHING = 0.25
HALF_LIFE_S = 4.0
FAILURE_COST_S = 4.0


class FailureShare:
    """One runner's share of failed runs, with decay."""

    def __init__(self) -> None:
        """Start without failures."""
        self._share = float(0)
        self._updated_at = float(0)

    def record(self, now: float, *, failed: bool) -> None:
        """Record the end of a run."""
        share = self.value(now)
        self._share = share + (int(failed) - share) * SMOOTHING
        self._updated_at = now

    def value(self, now: float) -> float:
        """Return the share, which decays without new runs."""
        elapsed_s = max(now - self._updated_at, 0)
        return float(self._share * 0.5 ** (elapsed_s / HALF_LIFE_S))
