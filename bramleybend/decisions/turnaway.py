"""When a refused caller is told to come back.

Load pattern: a burst larger than the queue's deadlines allow for.
Without it: all callers refused in one second return in one second, and the
burst repeats itself at every fixed Retry-After.

The time is what the measured drain rate needs for the cost ahead, spread over
`SPREAD` so that the returns are as wide as the wait itself.
"""

from datetime import timedelta
from random import Random

SHORTEST_S = 0.5
LONGEST_S = 60.0
SPREAD = (0.75, 1.75)
HALF_LIFE_S = 10.0


class DrainRate:
    """Cost finished per second, with older seconds counting less."""

    def __init__(self, first: float) -> None:
        """Assume a rate until completions have been measured."""
        self._rate = first
        self._cost = float(0)
        self._since: float | None = None

    @property
    def value(self) -> float:
        """The rate now, never zero."""
        return max(self._rate, 1)

    def finished(self, cost: float, now: float) -> None:
        """Count finished cost; rates are taken over a second or more."""
        if self._since is None:
            self._since = now
        self._cost += cost
        seconds = now - self._since
        if seconds >= 1:
            part = min(seconds / HALF_LIFE_S, 1)
            self._rate += (self._cost / seconds - self._rate) * part
            self._cost = 0
            self._since = now


def retry_after(cost_ahead: float, rate: float, rng: Random) -> timedelta:
    """Say when the queue will have drained, spread over the callers."""
    drained = max(cost_ahead / max(rate, 1), SHORTEST_S)
    spread = rng.uniform(*SPREAD)
    return timedelta(seconds=min(drained * spread, LONGEST_S))
