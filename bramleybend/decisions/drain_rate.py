"""The drain rate of a queue, and the Retry-After of refused requests.

Load pattern: a burst larger than the queue's deadlines allow for.
Without it: all callers that are refused within one second retry within one
second, and a fixed Retry-After repeats the burst.

The rate is the cost that the slots can finish, from the cost and the time of
ended runs. The cost finished per second would be the arrival rate while slots
are idle, and has no value in the first seconds of an owner: with an initial
guess of 4,000 a new owner served 13 of a burst of 100 that its slots could
serve, and with this rate all 100 (tests/decisions/test_drain_rate.py).

The time to retry is the time that this rate takes for the cost ahead, spread by
`RETRY_AFTER_SPREAD` so that the retries are as spread as the wait is long.
"""

from datetime import timedelta
from random import Random

from bramleybend.decisions.decaying_sum import DecayingSum

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
RETRY_AFTER_SPREAD = (0.75, 1.75)
# For runs of some seconds: a slowdown shows within a few of them.
HALF_LIFE_S = 5.0


class DrainRate:
    """The cost per second that a shard can finish."""

    def __init__(self) -> None:
        """Start without a measurement."""
        self._cost = DecayingSum(HALF_LIFE_S)
        self._slot_seconds = DecayingSum(HALF_LIFE_S)

    def record_run(self, cost: float, seconds: float, now: float) -> None:
        """Record the cost of a run and the seconds for which it held a slot."""
        if seconds > 0:
            self._cost.add(cost, now)
            self._slot_seconds.add(seconds, now)

    def cost_per_s(self, slots: int, now: float) -> float | None:
        """Return the rate of this many slots, or None before the first run."""
        seconds = self._slot_seconds.value(now)
        if not seconds:
            return None
        return max(slots * self._cost.value(now) / seconds, 1)


def retry_after(
    cost_ahead: float, rate: float | None, rng: Random
) -> timedelta:
    """Return when the queue will have drained, with a random spread."""
    drain_s = MIN_RETRY_AFTER_S
    if rate is not None:
        drain_s = max(cost_ahead / max(rate, 1), MIN_RETRY_AFTER_S)
    factor = rng.uniform(*RETRY_AFTER_SPREAD)
    return timedelta(seconds=min(drain_s * factor, MAX_RETRY_AFTER_S))
