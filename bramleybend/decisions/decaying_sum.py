"""Sums with exponential decay."""


class DecayingSum:
    """A sum that halves after a fixed time."""

    def __init__(self, half_life_s: float) -> None:
        """Start at zero."""
        self._half_life_s = half_life_s
        self._sum = float(0)
        self._updated_at = float(0)

    def add(self, amount: float, now: float) -> None:
        """Add an amount at a time."""
        self._sum = self.value(now) + amount
        self._updated_at = max(now, self._updated_at)

    def value(self, now: float) -> float:
        """Return the decayed sum."""
        elapsed_s = max(now - self._updated_at, 0)
        return float(self._sum * 0.5 ** (elapsed_s / self._half_life_s))
