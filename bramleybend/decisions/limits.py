"""How many requests a runner is given at once.

Load pattern: saturation, on runners whose true concurrency differs and whose
load reports come late.
Without it: the whole queue is poured into the engines, which admit in order
of arrival; tiers, fairness and deadlines then have nothing left to order.

The limit is learned from own completions only. Over a round of completions
the pace (seconds per unit of work) is compared with the best pace seen. The
part of the limit that only waits inside the runner is
`limit * (1 - best / pace)`, as in TCP Vegas.
"""

from dataclasses import dataclass

ROUND = 8  # completions that one comparison needs at least
FEW_WAITING = 0.15  # of the limit: below it, room is left
MANY_WAITING = 0.35  # of the limit: above it, the runner is overcommitted
BACK_OFF = 0.85
BUSY = 0.8  # a limit that was not nearly reached says nothing about more
BEST_DRIFT = 1.02  # lets the best pace be forgotten when a runner changes
LARGEST_GROWTH = 8


@dataclass
class _Round:
    completions: int = 0
    seconds: float = 0
    work: float = 0
    in_flight: int = 0


class ConcurrencyLimit:
    """One runner's limit."""

    def __init__(self, start: int, *, learn: bool = True) -> None:
        """Trust the runner with `start` requests at first."""
        self._start = max(start, 1)
        self._learn = learn
        self._limit = float(self._start)
        self._best: float | None = None
        self._round = _Round()

    @property
    def value(self) -> int:
        """The limit as a whole number, at least one."""
        return max(int(self._limit), 1)

    def completed(self, work: float, seconds: float, in_flight: int) -> None:
        """Learn from a run that ended well."""
        if not self._learn or work <= 0 or seconds <= 0:
            return
        current = self._round
        current.completions += 1
        current.work += work
        current.seconds += seconds
        current.in_flight = max(current.in_flight, in_flight)
        if current.completions >= max(ROUND, self._limit):
            self._close_round()

    def refused(self) -> None:
        """Learn from a request that the runner did not admit."""
        if self._learn:
            self._limit = max(self._limit * BACK_OFF, 1)

    def _close_round(self) -> None:
        done = self._round
        self._round = _Round()
        pace = done.seconds / done.work
        best = pace if self._best is None else self._best * BEST_DRIFT
        self._best = min(best, pace)
        waiting = 1 - self._best / pace
        if waiting > MANY_WAITING:
            self._limit = max(self._limit * BACK_OFF, 1)
        elif waiting < FEW_WAITING and done.in_flight >= self._limit * BUSY:
            most = self._start * LARGEST_GROWTH
            self._limit = min(self._limit + 1, most)
