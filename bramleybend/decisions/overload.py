"""How a shard treats more work than its runners can do.

Load pattern: an overload that lasts, above which one tier fills every slot.
Without it: all who wait in a tier are answered late or refused at the end of
their patience, as the queue never gets shorter than their objective; and the
lowest tiers are not served at all.

A queue stands once entries have kept getting late for `standing_s` without the
queue running empty (as in CoDel, it is time and not length that tells a burst
from an overload). Then a late entry is refused at once while others of its tier
can still be on time: those get the slots, and who is refused hears of it early
enough to come back.

Each lower tier that waits gets `min_share` of the starts at least. Above that,
tiers go strictly.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from math import inf

MAX_OWED_STARTS = 2.0  # starts that a tier may claim in a row


@dataclass(frozen=True)
class Overload:
    """Bounds that hold while there is more work than capacity."""

    min_share: float = 0  # of the starts, for each lower tier that waits
    standing_s: float = inf  # for how long a queue may be late


UNBOUNDED = Overload()


class StartShares:
    """Which tiers are owed a start."""

    def __init__(self, min_share: float) -> None:
        """Owe nothing."""
        self._min_share = min_share
        self._owed_starts: dict[int, float] = {}  # starts, by tier

    def record_start(self, tier: int, waiting: Collection[int]) -> None:
        """Count a start of a tier, while entries of these tiers wait."""
        highest = min(waiting, default=tier)
        for lower in waiting:
            if lower > highest:
                owed = self._owed_starts.get(lower, 0) + self._min_share
                self._owed_starts[lower] = min(owed, MAX_OWED_STARTS)
        self._owed_starts[tier] = max(self._owed_starts.get(tier, 0) - 1, 0)

    def sort_tiers(self, tiers: Iterable[int]) -> list[int]:
        """Return the tiers by turn: those that are owed a start first."""
        return sorted(tiers, key=self._sort_key)

    def _sort_key(self, tier: int) -> tuple[bool, int]:
        return (self._owed_starts.get(tier, 0) < 1, tier)


class LatenessTracker:
    """For how long the entries of a queue have kept getting late."""

    def __init__(self, standing_s: float) -> None:
        """Start in time."""
        self._standing_s = standing_s
        self._late_since = inf
        self._last_late_at = -inf

    def record_late(self, now: float) -> None:
        """Hear that an entry can't be on time any more."""
        if self._has_lapsed(now):
            self._late_since = now
        self._last_late_at = now

    def record_empty(self) -> None:
        """Hear that the queue ran empty: what was late has been worked off."""
        self._late_since = inf

    def is_standing(self, now: float) -> bool:
        """Tell whether the queue stands."""
        return (
            not self._has_lapsed(now)
            and now - self._late_since >= self._standing_s
        )

    def _has_lapsed(self, now: float) -> bool:
        return (
            self._late_since == inf
            or now - self._last_late_at > self._standing_s
        )
