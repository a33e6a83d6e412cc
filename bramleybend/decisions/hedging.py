"""Whether and when a second run is started beside a slow first one.

Load pattern: short idempotent calls of which a few meet a runner that has
just stalled, before its owner has noticed.
Without it: each of them waits out the stall, or its whole deadline, while
other runners stand idle.

A second run starts once the first has taken longer than `QUANTILE` of the
last `WINDOW` calls of its service and profile: in quiet times one call in
twenty, so each may have one. When all runners are slow that would double the
load at the worst moment, so second runs are also paid from a budget that
grows by `SHARE` of the first runs. Before `FEWEST` calls the quantile means
nothing and nothing is hedged.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

QUANTILE: Final = 0.95
WINDOW_CALLS: Final = 100
MIN_CALLS: Final = 20
BUDGET_PER_CALL: Final = 0.05
MAX_BUDGET: Final = 5.0


@dataclass
class _CallStats:
    seconds: deque[float] = field(
        default_factory=lambda: deque(maxlen=WINDOW_CALLS)
    )
    budget: float = MAX_BUDGET


class Hedging:
    """What a gateway learned of the calls that may be hedged."""

    def __init__(self) -> None:
        """Know no calls yet."""
        self._calls: dict[tuple[str, str], _CallStats] = {}

    def begun(self, service: str, profile: str) -> None:
        """Earn a part of a second run."""
        calls = self._stats_of(service, profile)
        calls.budget = min(calls.budget + BUDGET_PER_CALL, MAX_BUDGET)

    def finished(self, service: str, profile: str, seconds: float) -> None:
        """Learn how long a call took; impossible figures teach nothing."""
        if seconds > 0:
            self._stats_of(service, profile).seconds.append(seconds)

    def delay_s(self, service: str, profile: str) -> float | None:
        """Return after how long a second run is worth it, if it is known."""
        seconds = sorted(self._stats_of(service, profile).seconds)
        if len(seconds) < MIN_CALLS:
            return None
        return seconds[int(len(seconds) * QUANTILE)]

    def allow(self, service: str, profile: str) -> bool:
        """Spend a second run, if the budget has one."""
        calls = self._stats_of(service, profile)
        if calls.budget < 1:
            return False
        calls.budget -= 1
        return True

    def _stats_of(self, service: str, profile: str) -> _CallStats:
        return self._calls.setdefault((service, profile), _CallStats())
