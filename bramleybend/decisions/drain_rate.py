"""How soon a queue is worked off, and when a refused caller is to come back.

Load pattern: a burst larger than the queue's deadlines allow for.
Without it: all callers refused in one second return in one second, and the
burst repeats itself at every fixed Retry-After.

The rate is what the slots can finish, from the cost and the time of ended
runs: cost finished in a second, which was measured before, is the rate of
arrivals while slots are idle, and in the first seconds of an owner was a
guess. With the guess of 4,000 a new owner served 13 of a burst of 100 that
its slots could serve, now 100 (played, tests/decisions/test_turnaway.py).

The time to come back is what that rate needs for the cost ahead, spread over
`SPREAD` so that the returns are as wide as the wait itself.
"""

from datetime import timedelta
from random import Random

from bramleybend.decisions.decaying_sum import DecayingSum

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
RETRY_AFTER_SPREAD = (0.75, 1.75)
# Runs of some seconds: a runner that slows down shows within a few of them.
HALF_LIFE_S = 5.0


class DrainRate:
    """Cost that a shard can finish in a second."""

    def __init__(self) -> None:
        """Start without a measure."""
        self._cost = DecayingSum(HALF_LIFE_S)
        self._slot_seconds = DecayingSum(HALF_LIFE_S)

    def record_run(self, cost: float, seconds: float, now: float) -> None:
        """Learn from a run that held a slot for so long."""
        if seconds > 0:
            self._cost.add(cost, now)
            self._slot_seconds.add(seconds, now)

    def cost_per_s(self, slots: int, now: float) -> float | None:
        """Return the rate of so many slots, unless no run has ended yet."""
        seconds = self._slot_seconds.value(now)
        if not seconds:
            return None
        return max(slots * self._cost.value(now) / seconds, 1)


def retry_after(
    cost_ahead: float, rate: float | None, rng: Random
) -> timedelta:
    """Say when the queue will have drained, spread over the callers."""
    drain_s = MIN_RETRY_AFTER_S
    if rate is not None:
        drain_s = max(cost_ahead / max(rate, 1), MIN_RETRY_AFTER_S)
    factor = rng.uniform(*RETRY_AFTER_SPREAD)
    return timedelta(seconds=min(drain_s * factor, MAX_RETRY_AFTER_S))
