"""Hedging of slow runs with a second run.

Load pattern: short idempotent calls, a few of which meet a runner that has just
stalled, before its owner has noticed.
Without it: each of them waits until the stall ends or its deadline passes,
while other runners are idle.

A second run starts once the first has taken longer than `QUANTILE` of the last
`WINDOW_CALLS` calls of its service and profile. Normally that is one call in
twenty, and each of them may have a second run. When all runners are slow, this
would double the load at the worst moment, so second runs also need a budget,
which grows by `BUDGET_PER_CALL` with each first run. With fewer than
`MIN_CALLS` calls the quantile has no meaning and nothing is hedged.
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


class HedgeBudgets:
    """The durations and hedging budgets of a gateway's calls."""

    def __init__(self) -> None:
        """Start without known calls."""
        self._calls: dict[tuple[str, str], _CallStats] = {}

    def record_start(self, service: str, profile: str) -> None:
        """Count a first run, which earns part of a second run."""
        calls = self._stats_of(service, profile)
        calls.budget = min(calls.budget + BUDGET_PER_CALL, MAX_BUDGET)

    def record_finish(self, service: str, profile: str, seconds: float) -> None:
        """Record a call's duration in seconds, if it is positive."""
        if seconds > 0:
            self._stats_of(service, profile).seconds.append(seconds)

    def delay_s(self, service: str, profile: str) -> float | None:
        """Return after how many seconds to start a second run, if known."""
        seconds = sorted(self._stats_of(service, profile).seconds)
        if len(seconds) < MIN_CALLS:
            return None
        return seconds[int(len(seconds) * QUANTILE)]

    def try_spend(self, service: str, profile: str) -> bool:
        """Spend a second run; tell whether the budget had one."""
        calls = self._stats_of(service, profile)
        if calls.budget < 1:
            return False
        calls.budget -= 1
        return True

    def _stats_of(self, service: str, profile: str) -> _CallStats:
        return self._calls.setdefault((service, profile), _CallStats())
