"""In which order waiting requests start.

Load pattern: a queue in which a few workspaces hold most of the entries and
a few long prompts stand among many short ones, while tiers differ.
Without it: in arrival order a debrief of 20,000 tokens stands before ten
bookings, and a workspace that sends a thousand drafts takes the shard.

Tiers go strictly first; `tier_queue` tells who is next within one. Within a
workspace an entry is ordered by arrival plus `AGEING` seconds for each unit of
cost, so a short one overtakes a long one only if it came soon after; the key
never changes, so a long one is passed over for a bounded time, of which
`AGEING_SHARE` leaves it most of what its caller waits.

`SURE`, `LIKELY` and `LEAD_S` say when an entry is too late and when at risk,
from the least time it needs.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from itertools import islice
from math import inf

from bramleybend.decisions.overload import (
    UNBOUNDED,
    LatenessTracker,
    Overload,
    StartShares,
)
from bramleybend.decisions.tier_queue import TierQueue, WaitingEntry
from bramleybend.models import Ask, Tier

AGEING_S_PER_COST = (
    0.0005  # seconds of later arrival that a unit of cost counts as
)
MAX_AGEING_SHARE = 0.125  # of the time left for a start, at most
EXPIRY_FACTOR = (
    0.5  # of the least seconds; only what is surely too late is given up
)
URGENCY_FACTOR = 1.0  # times the least seconds: what a run takes
PREEMPTION_LEAD_S = (
    1.0  # before that: a preemption takes a round trip and a cleanup
)
LAST_ID = '\U0010ffff'  # sorts after every id, so a time's own entries count


@dataclass(frozen=True)
class MinRunTime:
    """The least seconds that a request takes on an idle runner."""

    first_token_s: float  # until its first token
    total_s: float  # until its last


class WaitingQueue:
    """All that waits in a shard."""

    def __init__(
        self,
        weights: Mapping[str, float],
        *,
        tiers: bool = True,
        fair: bool = True,
        short_first: bool = True,
        overload: Overload = UNBOUNDED,
    ) -> None:
        """Start empty; the switches exist for the ablations."""
        self._standing_s = overload.standing_s
        self._shares = StartShares(overload.min_share)
        self._weights = weights
        self._orders_by_tier = tiers
        self._fair = fair
        self._ageing = AGEING_S_PER_COST if short_first else 0
        self._tiers: dict[int, TierQueue] = {}
        self._entries: dict[str, WaitingEntry] = {}

    def __len__(self) -> int:
        """Count the entries."""
        return len(self._entries)

    def __contains__(self, request_id: str) -> bool:
        """Tell whether a request waits."""
        return request_id in self._entries

    def add(self, ask: Ask, now: float, min_time: MinRunTime) -> None:
        """Queue a request that takes so long at least."""
        # An estimate that is wrong leaves at least half of the time to try.
        min_total_s = min(min_time.total_s, max(ask.deadline - now, 0) / 2)
        min_first_token_s = min(
            min_time.first_token_s, max(ask.begin_by - now, 0) / 2
        )
        latest_start = min(
            ask.begin_by - min_first_token_s * EXPIRY_FACTOR,
            ask.deadline - min_total_s * EXPIRY_FACTOR,
        )
        max_ageing_s = max(latest_start - now, 0) * MAX_AGEING_SHARE
        entry = WaitingEntry(
            ask,
            now,
            latest_start,
            min(
                ask.begin_by - min_first_token_s * URGENCY_FACTOR,
                ask.deadline - min_total_s * URGENCY_FACTOR,
            )
            - PREEMPTION_LEAD_S,
            now + min(ask.cost * self._ageing, max_ageing_s),
            ask.on_time_until,
        )
        self._entries[ask.request_id] = entry
        self._tier_queue(ask.tier).add(entry)

    def remove(self, request_id: str) -> WaitingEntry | None:
        """Take a request out, if it waits."""
        entry = self._entries.pop(request_id, None)
        if entry is not None:
            tier_queue = self._tier_queue(entry.ask.tier)
            tier_queue.remove(entry)
            if not len(tier_queue):
                tier_queue.standing.record_empty()
        return entry

    def demote_late(self, now: float) -> bool:
        """Move back what can't be on time any more; tells whether any was."""
        has_moved = False
        for tier_queue in self._tiers.values():
            ids = tuple(tier_queue.by_objective.irange(maximum=(now, LAST_ID)))
            for _, request_id in ids:
                entry = self._entries[request_id]
                tier_queue.standing.record_late(now)
                tier_queue.remove(entry)
                moved = replace(entry, on_time_until=inf, is_late=True)
                self._entries[request_id] = moved
                tier_queue.add(moved)
                has_moved = True
        return has_moved

    def charge(self, ask: Ask, cost: float) -> None:
        """Count cost as served to the request's workspace."""
        self._tier_queue(ask.tier).charge(ask, cost)

    def record_start(self, entry: WaitingEntry) -> None:
        """Count a start towards the next turns of other entries."""
        self._tier_queue(entry.ask.tier).record_start(entry)
        waiting = [
            tier for tier, tier_queue in self._tiers.items() if len(tier_queue)
        ]
        self._shares.record_start(entry.ask.tier, waiting)

    def windows(
        self, lowest: int, now: float = -inf
    ) -> Iterator[list[WaitingEntry]]:
        """Go over the next entries by tier, down to `lowest`.

        By `now`, in seconds, late entries are at risk or not.
        """
        for tier in self._shares.sort_tiers(self._tiers):
            if tier <= lowest:
                yield from self._tiers[tier].windows(now)

    def overdue(self, now: float) -> list[WaitingEntry]:
        """Return the late entries of queues that stand.

        Where none can be on time, the late ones have the runners.
        """
        overdue: list[WaitingEntry] = []
        for tier_queue in self._tiers.values():
            if (
                tier_queue.standing.is_standing(now)
                and tier_queue.has_on_time()
            ):
                overdue.extend(tier_queue.late_entries())
        return overdue

    def expired(self, before: float, tier: int) -> list[WaitingEntry]:
        """Return the tier's entries whose latest start is before a time."""
        if tier not in self._tiers:
            return []
        ids = self._tiers[tier].by_expiry.irange(maximum=(before, LAST_ID))
        return [self._entries[request_id] for _, request_id in ids]

    def urgent_entries(
        self, now: float, tier: int, max_count: int
    ) -> list[WaitingEntry]:
        """Return the tier's entries that are most at risk."""
        if tier not in self._tiers:
            return []
        ids = self._tiers[tier].by_urgency.irange(maximum=(now, LAST_ID))
        return [
            self._entries[request_id]
            for _, request_id in islice(ids, max_count)
        ]

    def next_urgent(self, tier: int, now: float) -> float:
        """Return when the next entry of a tier gets at risk."""
        if tier not in self._tiers:
            return inf
        later = self._tiers[tier].by_urgency.irange(minimum=(now, LAST_ID))
        return next(later, (inf, ''))[0]

    def next_late(self, tier: int, after: float) -> float:
        """Return the next time after which an entry would start late."""
        if tier not in self._tiers:
            return inf
        later = self._tiers[tier].by_objective.irange(minimum=(after, LAST_ID))
        return next(later, (inf, ''))[0]

    def next_expiry(self, tier: int) -> float:
        """Return the earliest latest start in a tier."""
        expiry = self._tiers[tier].by_expiry if tier in self._tiers else ()
        return expiry[0][0] if expiry else inf

    def count_by_tier(self) -> dict[int, int]:
        """Count the entries of each tier."""
        return {tier: len(self._tiers[tier]) for tier in sorted(self._tiers)}

    def oldest_arrival(self) -> float:
        """Return when the entry that waits longest was queued."""
        return min(
            (one.arrived_at for one in self._entries.values()), default=inf
        )

    def count_ahead(self, ask: Ask) -> int:
        """Estimate how many of its tier a new entry waits behind."""
        return self._tier_queue(ask.tier).count_ahead(ask)

    def cost_ahead(self, ask: Ask) -> float:
        """Estimate the cost that a new entry waits behind."""
        above = sum(
            tier_queue.cost
            for tier, tier_queue in self._tiers.items()
            if tier < ask.tier
        )
        return above + self._tier_queue(ask.tier).cost_ahead(ask)

    def _tier_queue(self, tier: int) -> TierQueue:
        if not self._orders_by_tier:
            tier = Tier.CRITICAL
        if tier not in self._tiers:
            standing = LatenessTracker(self._standing_s)
            self._tiers[tier] = TierQueue(self._weights, self._fair, standing)
        return self._tiers[tier]
