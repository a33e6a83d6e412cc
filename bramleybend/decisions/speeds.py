"""How fast each runner works, learned from own completions.

Load pattern: unlike engines behind one service.
Without it: the slow engines get as much as the fast, their queue grows and
the deadlines of a third of the requests pass there.

The speed is work per second of one run, smoothed over about ten completions;
until the first one it is the mean of the peers, given by the caller.
"""

SMOOTHING = 0.1


class Speed:
    """One runner's speed for a single run, in work units per second."""

    def __init__(self) -> None:
        """Start without a measure."""
        self._value: float | None = None

    @property
    def value(self) -> float | None:
        """The smoothed speed, `None` until a run has ended."""
        return self._value

    def completed(self, work: float, seconds: float) -> None:
        """Learn from a run that ended well; nonsense is left out."""
        if work <= 0 or seconds <= 0:
            return
        if self._value is None:
            self._value = work / seconds
        else:
            self._value += (work / seconds - self._value) * SMOOTHING
