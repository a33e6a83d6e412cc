"""Bounds on lateness and starvation during a lasting overload.

Load pattern: a lasting overload in which one tier could use every slot.
Without it: all requests of that tier are answered late or refused at the end of
their patience, since the queue never gets shorter than their objective; and the
lowest tiers are not served at all.

A queue is standing once entries have kept becoming late for `standing_s`
without the queue becoming empty. As in CoDel, duration rather than length
distinguishes an overload from a burst. In a standing queue, a late entry is
refused at once while other entries of its tier can still be on time: these get
the slots, and the refused caller learns of it early enough to retry.

Each lower tier that waits gets at least `min_share` of the starts. Beyond that,
tiers have strict priority.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from math import inf

MAX_OWED_STARTS = 2.0  # starts that a tier may accumulate


@dataclass(frozen=True)
class OverloadBounds:
    """Bounds that hold while demand exceeds capacity."""

    min_share: float = 0  # of the starts, for each waiting lower tier
    standing_s: float = inf  # how long a queue may keep its entries late


UNBOUNDED = OverloadBounds()


class StartShares:
    """Counts the starts that are owed to lower tiers."""

    def __init__(self, min_share: float) -> None:
        """Start without owed starts."""
        self._min_share = min_share
        self._owed_starts: dict[int, float] = {}  # starts, by tier

    def record_start(self, tier: int, waiting: Collection[int]) -> None:
        """Count a start of a tier; `waiting` are the tiers with entries."""
        highest = min(waiting, default=tier)
        for lower in waiting:
            if lower > highest:
                owed = self._owed_starts.get(lower, 0) + self._min_share
                self._owed_starts[lower] = min(owed, MAX_OWED_STARTS)
        self._owed_starts[tier] = max(self._owed_starts.get(tier, 0) - 1, 0)

    def sort_tiers(self, tiers: Iterable[int]) -> list[int]:
        """Return the tiers that are owed a start first, then by priority."""
        return sorted(tiers, key=self._sort_key)

    def _sort_key(self, tier: int) -> tuple[bool, int]:
        return (self._owed_starts.get(tier, 0) < 1, tier)


class LatenessTracker:
    """Tracks how long the entries of a queue have kept becoming late."""

    def __init__(self, standing_s: float) -> None:
        """Start without late entries."""
        self._standing_s = standing_s
        self._late_since = inf
        self._last_late_at = -inf

    def record_late(self, now: float) -> None:
        """Record that an entry can't be on time any more."""
        if self._has_lapsed(now):
            self._late_since = now
        self._last_late_at = now

    def record_empty(self) -> None:
        """Record that the queue became empty, which ends a standing queue."""
        self._late_since = inf

    def is_standing(self, now: float) -> bool:
        """Tell whether the queue is standing."""
        return (
            not self._has_lapsed(now)
            and now - self._late_since >= self._standing_s
        )

    def _has_lapsed(self, now: float) -> bool:
        return (
            self._late_since == inf
            or now - self._last_late_at > self._standing_s
        )
