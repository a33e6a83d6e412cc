"""Which runners fail part of what they are given.

Load pattern: a runner fails some of its requests, or turns them away, often
within a millisecond, while its status check is good.
Without it: a run that failed at once looks like a fast one, or like nothing,
so the runner is always free and gets more work than any other. Work that may
run once is lost there.

Each run's end moves the share by `SMOOTHING`; the share halves in
`HALF_LIFE_S`, as a runner that gets no work can't show that it has recovered.
A place's cost grows by `FAILED_S` for a share of one: as much as a request's
patience, so a healthy runner with a queue goes before one that fails half.
"""

SMOOTHING = 0.25
HALF_LIFE_S = 4.0
FAILURE_COST_S = 4.0


class FailureShare:
    """One runner's share of failed runs, as lately seen."""

    def __init__(self) -> None:
        """Start without a failure."""
        self._share = float(0)
        self._updated_at = float(0)

    def record(self, now: float, *, failed: bool) -> None:
        """Learn from the end of a run."""
        share = self.value(now)
        self._share = share + (int(failed) - share) * SMOOTHING
        self._updated_at = now

    def value(self, now: float) -> float:
        """Return the share, which fades without news."""
        elapsed_s = max(now - self._updated_at, 0)
        return float(self._share * 0.5 ** (elapsed_s / HALF_LIFE_S))
