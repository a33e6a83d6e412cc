"""Sums of the amounts of the last seconds."""

from collections import deque
from typing import Final

# Amounts of this time are added up, which bounds the memory and the work.
STEP_S: Final = 0.05


class RecentSum:
    """Amounts with their times, kept for a fixed time."""

    def __init__(self, kept_s: float) -> None:
        """Start without amounts."""
        self._kept_s = kept_s
        self._steps: deque[tuple[float, float]] = deque()

    def add(self, amount: float, now: float) -> None:
        """Add an amount at a time."""
        while self._steps and self._steps[0][0] < now - self._kept_s:
            self._steps.popleft()
        if self._steps and now - self._steps[-1][0] < STEP_S:
            began_at, before = self._steps.pop()
            self._steps.append((began_at, before + amount))
        else:
            self._steps.append((now, amount))

    def since(self, moment: float) -> float:
        """Return the sum of the amounts after a time."""
        return sum(amount for at, amount in self._steps if at > moment)
