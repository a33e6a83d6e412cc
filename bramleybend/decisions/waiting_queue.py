"""The order in which waiting requests start.

Load pattern: a queue in which a few workspaces hold most of the entries and a
few long prompts wait among many short ones, in different tiers.
Without it: in order of arrival, a debrief of 20,000 tokens starts before ten
bookings, and a workspace that sends a thousand drafts takes the whole shard.

Tiers have strict priority; `tier_queue` orders the entries within a tier.
Entries of a workspace are ordered by arrival plus `AGEING_S_PER_COST` for each
unit of cost, so a short one overtakes a long one only if it arrived soon after.
The key never changes, so a long entry is passed over for a bounded time;
`MAX_AGEING_SHARE` of the time until its latest start leaves it most of the time
that its caller waits.

`EXPIRY_FACTOR`, `URGENCY_FACTOR` and `PREEMPTION_LEAD_S` set when an entry
expires and when it is urgent, from its minimum run time.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from itertools import islice
from math import inf

from bramleybend.decisions.overload import (
    UNBOUNDED,
    LatenessTracker,
    OverloadBounds,
    StartShares,
)
from bramleybend.decisions.tier_queue import TierQueue, WaitingEntry
from bramleybend.models import SlotRequest, Tier

AGEING_S_PER_COST = 0.0005
MAX_AGEING_SHARE = 0.125  # of the time until the latest start
# Of the minimum run time: an entry expires only when even half of it no longer
# fits.
EXPIRY_FACTOR = 0.5
URGENCY_FACTOR = 1.0  # of the minimum run time: the usual duration of a run
PREEMPTION_LEAD_S = 1.0  # a preemption takes a round trip and a cleanup
# Sorts after every ID, so a bound includes all entries of the same time.
LAST_ID = '\U0010ffff'


@dataclass(frozen=True)
class MinRunTime:
    """Estimated seconds that a request takes on the best idle runner."""

    first_token_s: float  # until the first token
    total_s: float  # until the last token


class WaitingQueue:
    """All waiting requests of a shard."""

    def __init__(
        self,
        weights: Mapping[str, float],
        *,
        tiers: bool = True,
        fair: bool = True,
        short_first: bool = True,
        overload: OverloadBounds = UNBOUNDED,
    ) -> None:
        """Start empty; the switches exist for ablation benchmarks."""
        self._standing_s = overload.standing_s
        self._shares = StartShares(overload.min_share)
        self._weights = weights
        self._orders_by_tier = tiers
        self._fair = fair
        self._ageing = AGEING_S_PER_COST if short_first else 0
        self._tiers: dict[int, TierQueue] = {}
        self._entries: dict[str, WaitingEntry] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def __contains__(self, request_id: str) -> bool:
        """Tell whether a request is queued."""
        return request_id in self._entries

    def add(self, ask: SlotRequest, now: float, min_time: MinRunTime) -> None:
        """Queue a request with its estimated minimum run time."""
        # Even with a wrong estimate, half of the time remains for a start.
        min_total_s = min(min_time.total_s, max(ask.deadline - now, 0) / 2)
        min_first_token_s = min(
            min_time.first_token_s, max(ask.latest_answer_start - now, 0) / 2
        )
        latest_start = min(
            ask.latest_answer_start - min_first_token_s * EXPIRY_FACTOR,
            ask.deadline - min_total_s * EXPIRY_FACTOR,
        )
        max_ageing_s = max(latest_start - now, 0) * MAX_AGEING_SHARE
        entry = WaitingEntry(
            ask,
            now,
            latest_start,
            min(
                ask.latest_answer_start - min_first_token_s * URGENCY_FACTOR,
                ask.deadline - min_total_s * URGENCY_FACTOR,
            )
            - PREEMPTION_LEAD_S,
            now + min(ask.cost * self._ageing, max_ageing_s),
            ask.on_time_until,
        )
        self._entries[ask.request_id] = entry
        self._tier_queue(ask.tier).add(entry)

    def remove(self, request_id: str) -> WaitingEntry | None:
        """Remove a request and return its entry, or None if it is not queued."""
        entry = self._entries.pop(request_id, None)
        if entry is not None:
            tier_queue = self._tier_queue(entry.ask.tier)
            tier_queue.remove(entry)
            if not len(tier_queue):
                tier_queue.lateness.record_empty()
        return entry

    def update_excluded(self, ask: SlotRequest) -> bool:
        """Exclude other runners for a queued request, which keeps its place.

        Returns whether they changed.
        """
        entry = self._entries[ask.request_id]
        if entry.ask.excluded == ask.excluded:
            return False
        updated = replace(entry, ask=replace(entry.ask, excluded=ask.excluded))
        self._entries[ask.request_id] = updated
        tier_queue = self._tier_queue(entry.ask.tier)
        tier_queue.remove(entry)
        tier_queue.add(updated)
        return True

    def demote_late(self, now: float) -> bool:
        """Sort entries that can't be on time last; tell whether any was moved."""
        has_moved = False
        for tier_queue in self._tiers.values():
            ids = tuple(tier_queue.by_objective.irange(maximum=(now, LAST_ID)))
            for _, request_id in ids:
                entry = self._entries[request_id]
                tier_queue.lateness.record_late(now)
                tier_queue.remove(entry)
                moved = replace(entry, on_time_until=inf, is_late=True)
                self._entries[request_id] = moved
                tier_queue.add(moved)
                has_moved = True
        return has_moved

    def charge(self, ask: SlotRequest, cost: float) -> None:
        """Count cost as served to the request's workspace."""
        self._tier_queue(ask.tier).charge(ask, cost)

    def record_start(self, entry: WaitingEntry) -> None:
        """Count a start towards the turns of late entries and lower tiers."""
        self._tier_queue(entry.ask.tier).record_start(entry)
        waiting = [
            tier for tier, tier_queue in self._tiers.items() if len(tier_queue)
        ]
        self._shares.record_start(entry.ask.tier, waiting)

    def windows(
        self, lowest: int, now: float = -inf
    ) -> Iterator[list[WaitingEntry]]:
        """Yield windows of the next entries by tier, down to tier `lowest`.

        `now`, in seconds, decides which late entries are urgent.
        """
        for tier in self._shares.sort_tiers(self._tiers):
            if tier <= lowest:
                yield from self._tiers[tier].windows(now)

    def overdue(self, now: float) -> list[WaitingEntry]:
        """Return the late entries of tiers whose queue is standing.

        Tiers in which no entry can be on time are left out: there the late
        entries get the runners.
        """
        overdue: list[WaitingEntry] = []
        for tier_queue in self._tiers.values():
            if (
                tier_queue.lateness.is_standing(now)
                and tier_queue.has_on_time()
            ):
                overdue.extend(tier_queue.late_entries())
        return overdue

    def expired(self, before: float, tier: int) -> list[WaitingEntry]:
        """Return a tier's entries whose latest start is not after `before`."""
        if tier not in self._tiers:
            return []
        ids = self._tiers[tier].by_expiry.irange(maximum=(before, LAST_ID))
        return [self._entries[request_id] for _, request_id in ids]

    def urgent_entries(
        self, now: float, tier: int, max_count: int
    ) -> list[WaitingEntry]:
        """Return a tier's most urgent entries, `max_count` at most."""
        if tier not in self._tiers:
            return []
        ids = self._tiers[tier].by_urgency.irange(maximum=(now, LAST_ID))
        return [
            self._entries[request_id]
            for _, request_id in islice(ids, max_count)
        ]

    def next_urgent(self, tier: int, now: float) -> float:
        """Return when the next entry of a tier becomes urgent."""
        if tier not in self._tiers:
            return inf
        later = self._tiers[tier].by_urgency.irange(minimum=(now, LAST_ID))
        return next(later, (inf, ''))[0]

    def next_late(self, tier: int, after: float) -> float:
        """Return the next time after `after` at which an entry becomes late."""
        if tier not in self._tiers:
            return inf
        later = self._tiers[tier].by_objective.irange(minimum=(after, LAST_ID))
        return next(later, (inf, ''))[0]

    def next_expiry(self, tier: int) -> float:
        """Return the earliest of the latest start times in a tier."""
        expiry = self._tiers[tier].by_expiry if tier in self._tiers else ()
        return expiry[0][0] if expiry else inf

    def summary(self) -> tuple[dict[int, int], float]:
        """Return the number of entries of each tier and the oldest arrival.

        Without entries, the arrival is `inf`.
        """
        counts = {tier: len(self._tiers[tier]) for tier in sorted(self._tiers)}
        arrivals = (one.arrived_at for one in self._entries.values())
        return counts, min(arrivals, default=inf)

    def count_ahead(self, ask: SlotRequest) -> int:
        """Estimate the number of entries of its tier ahead of a new one."""
        return self._tier_queue(ask.tier).count_ahead(ask)

    def cost_ahead(self, ask: SlotRequest) -> float:
        """Estimate the cost queued ahead of a new entry, in all tiers."""
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
            lateness = LatenessTracker(self._standing_s)
            self._tiers[tier] = TierQueue(self._weights, self._fair, lateness)
        return self._tiers[tier]
