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
    Overload,
    Standing,
    StartShares,
)
from bramleybend.decisions.tier_queue import TierQueue, Waiting
from bramleybend.models import Ask, Tier

AGEING = 0.0005  # seconds of later arrival that a unit of cost counts as
AGEING_SHARE = 0.125  # of the time left for a start, at most
SURE = 0.5  # of the least seconds; only what is surely too late is given up
LIKELY = 1.0  # times the least seconds: what a run takes
LEAD_S = 1.0  # before that: a preemption takes a round trip and a cleanup
LAST_ID = '\U0010ffff'  # sorts after every id, so a time's own entries count


@dataclass(frozen=True)
class LeastTime:
    """The least seconds that a request takes on an idle runner."""

    begin: float  # until its first token
    end: float  # until its last


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
        self._ranked = tiers
        self._fair = fair
        self._ageing = AGEING if short_first else 0
        self._tiers: dict[int, TierQueue] = {}
        self._entries: dict[str, Waiting] = {}

    def __len__(self) -> int:
        """Count the entries."""
        return len(self._entries)

    def __contains__(self, request_id: str) -> bool:
        """Tell whether a request waits."""
        return request_id in self._entries

    def add(self, ask: Ask, now: float, least: LeastTime) -> None:
        """Queue a request that takes so long at least."""
        # An estimate that is wrong leaves at least half of the time to try.
        end_s = min(least.end, max(ask.deadline - now, 0) / 2)
        begin_s = min(least.begin, max(ask.begin_by - now, 0) / 2)
        latest_start = min(
            ask.begin_by - begin_s * SURE, ask.deadline - end_s * SURE
        )
        most_ageing = max(latest_start - now, 0) * AGEING_SHARE
        entry = Waiting(
            ask,
            now,
            latest_start,
            min(ask.begin_by - begin_s * LIKELY, ask.deadline - end_s * LIKELY)
            - LEAD_S,
            now + min(ask.cost * self._ageing, most_ageing),
            ask.on_time_until,
        )
        self._entries[ask.request_id] = entry
        self._tier(ask.tier).add(entry)

    def remove(self, request_id: str) -> Waiting | None:
        """Take a request out, if it waits."""
        entry = self._entries.pop(request_id, None)
        if entry is not None:
            line = self._tier(entry.ask.tier)
            line.remove(entry)
            if not len(line):
                line.standing.note_empty()
        return entry

    def pass_over_late(self, now: float) -> bool:
        """Move back what can't be on time any more; tells whether any was."""
        has_moved = False
        for line in self._tiers.values():
            ids = tuple(line.objectives.irange(maximum=(now, LAST_ID)))
            for _, request_id in ids:
                entry = self._entries[request_id]
                line.standing.note_late(now)
                line.remove(entry)
                moved = replace(entry, on_time_until=inf, is_late=True)
                self._entries[request_id] = moved
                line.add(moved)
                has_moved = True
        return has_moved

    def charge(self, ask: Ask, cost: float) -> None:
        """Count cost as served to the request's workspace."""
        self._tier(ask.tier).charge(ask, cost)

    def count_start(self, entry: Waiting) -> None:
        """Count a start towards the next turns of other entries."""
        self._tier(entry.ask.tier).count_start(entry)
        waiting = [tier for tier, line in self._tiers.items() if len(line)]
        self._shares.started(entry.ask.tier, waiting)

    def windows(
        self, lowest: int, now: float = -inf
    ) -> Iterator[list[Waiting]]:
        """Go over the next entries by tier, down to `lowest`.

        By `now`, in seconds, late entries are at risk or not.
        """
        for tier in self._shares.order(self._tiers):
            if tier <= lowest:
                yield from self._tiers[tier].windows(now)

    def overdue(self, now: float) -> list[Waiting]:
        """Return the late entries of queues that stand.

        Where none can be on time, the late ones have the runners.
        """
        overdue: list[Waiting] = []
        for line in self._tiers.values():
            if line.standing.holds(now) and line.has_on_time():
                overdue.extend(line.late())
        return overdue

    def due(self, before: float, tier: int) -> list[Waiting]:
        """Return the tier's entries whose latest start is before a time."""
        if tier not in self._tiers:
            return []
        ids = self._tiers[tier].expiry.irange(maximum=(before, LAST_ID))
        return [self._entries[request_id] for _, request_id in ids]

    def urgent(self, now: float, tier: int, most: int) -> list[Waiting]:
        """Return the tier's entries that are most at risk."""
        if tier not in self._tiers:
            return []
        ids = self._tiers[tier].urgent.irange(maximum=(now, LAST_ID))
        return [
            self._entries[request_id] for _, request_id in islice(ids, most)
        ]

    def next_urgent(self, tier: int, now: float) -> float:
        """Return when the next entry of a tier gets at risk."""
        if tier not in self._tiers:
            return inf
        later = self._tiers[tier].urgent.irange(minimum=(now, LAST_ID))
        return next(later, (inf, ''))[0]

    def next_late(self, tier: int, after: float) -> float:
        """Return the next time after which an entry would start late."""
        if tier not in self._tiers:
            return inf
        later = self._tiers[tier].objectives.irange(minimum=(after, LAST_ID))
        return next(later, (inf, ''))[0]

    def next_due(self, tier: int) -> float:
        """Return the earliest latest start in a tier."""
        expiry = self._tiers[tier].expiry if tier in self._tiers else ()
        return expiry[0][0] if expiry else inf

    def counts(self) -> dict[int, int]:
        """Count the entries of each tier."""
        return {tier: len(self._tiers[tier]) for tier in sorted(self._tiers)}

    def oldest(self) -> float:
        """Return when the entry that waits longest was queued."""
        return min((one.arrived for one in self._entries.values()), default=inf)

    def count_ahead(self, ask: Ask) -> int:
        """Estimate how many of its tier a new entry waits behind."""
        return self._tier(ask.tier).count_ahead(ask)

    def cost_ahead(self, ask: Ask) -> float:
        """Estimate the cost that a new entry waits behind."""
        above = sum(
            line.cost for tier, line in self._tiers.items() if tier < ask.tier
        )
        return above + self._tier(ask.tier).cost_ahead(ask)

    def _tier(self, tier: int) -> TierQueue:
        if not self._ranked:
            tier = Tier.CRITICAL
        if tier not in self._tiers:
            standing = Standing(self._standing_s)
            self._tiers[tier] = TierQueue(self._weights, self._fair, standing)
        return self._tiers[tier]
