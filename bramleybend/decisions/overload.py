"""How a shard treats more work than its runners can do.

Load pattern: an overload that lasts, above which one tier fills every slot.
Without it: the lowest tiers are not served at all.

Each lower tier that waits gets `min_share` of the starts at least. Above that,
tiers go strictly.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

MOST_SAVED = 2.0  # starts that a tier may claim in a row


@dataclass(frozen=True)
class Overload:
    """Bounds that hold while there is more work than capacity."""

    min_share: float = 0  # of the starts, for each lower tier that waits


UNBOUNDED = Overload()


class StartShares:
    """Which tiers are owed a start."""

    def __init__(self, min_share: float) -> None:
        """Owe nothing."""
        self._min_share = min_share
        self._owed: dict[int, float] = {}  # starts, by tier

    def started(self, tier: int, waiting: Collection[int]) -> None:
        """Count a start of a tier, while entries of these tiers wait."""
        highest = min(waiting, default=tier)
        for lower in waiting:
            if lower > highest:
                owed = self._owed.get(lower, 0) + self._min_share
                self._owed[lower] = min(owed, MOST_SAVED)
        self._owed[tier] = max(self._owed.get(tier, 0) - 1, 0)

    def order(self, tiers: Iterable[int]) -> list[int]:
        """Return the tiers by turn: those that are owed a start first."""
        return sorted(tiers, key=self._turn)

    def _turn(self, tier: int) -> tuple[bool, int]:
        return (self._owed.get(tier, 0) < 1, tier)
