"""In which order waiting requests start.

Load pattern: a queue in which a few workspaces hold most of the entries and
a few long prompts stand among many short ones, while tiers differ.
Without it: in arrival order a debrief of 20,000 tokens stands before ten
bookings, and a workspace that sends a thousand drafts takes the shard.

Tiers go strictly first. Within a tier the workspace with the least cost
served per weight is next (start-time fair queueing). Within a workspace an
entry is ordered by arrival plus `AGEING` seconds for each unit of cost, so a
short one overtakes a long one only if it came soon after; the key never
changes, so a long one is passed over for a bounded time, of which
`AGEING_SHARE` leaves it most of what its caller waits. Trials with four
times the ageing changed nothing beyond noise, and the ablation `short_first`
shows no loss (docs/BENCHMARKS.md): `places` already lets short prompts pass.

An entry whose answer would no longer be on time goes back by `LATE_S`: in a
queue longer than the objective, order of arrival alone makes everybody late,
whoever has just come included. Late ones are passed over for a bounded time,
and still served. Trials without processor time counted, one run each of four
heavy days: worth 0.787 to 0.804, 0.876 to 0.886, 0.837 to 0.840 and 0.881 to
0.901; with 8 seconds 0.802, 0.866, 0.838 and 0.892. The ablation is
`on_time_first`.

`SURE`, `LIKELY` and `LEAD_S` say when an entry is too late and when at risk,
from the least time it needs; `LIKELY` was 2 and cost goodput at saturation,
see docs/design/decisions.md.
"""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from itertools import islice
from math import inf

from sortedcontainers import SortedKeyList, SortedList

from bramleybend.decisions.prefixes import prefix_tokens
from bramleybend.models import Ask, Tier

AGEING = 0.0005  # seconds of later arrival that a unit of cost counts as
AGEING_SHARE = 0.125  # of the time left for a start, at most
SURE = 0.5  # of the least seconds; only what is surely too late is given up
LIKELY = 1.0  # times the least seconds: what a run takes
LEAD_S = 1.0  # before that: a preemption takes a round trip and a cleanup
LATE_S = 2.0  # of later arrival that being late counts as
LAST_ID = '\U0010ffff'  # sorts after every id, so a time's own entries count
WINDOW = 12  # entries a free runner may choose its best prefix match from


@dataclass(frozen=True)
class LeastTime:
    """The least seconds that a request takes on an idle runner."""

    begin: float  # until its first token
    end: float  # until its last


@dataclass(frozen=True)
class Waiting:
    """One queued request."""

    ask: Ask
    arrived: float
    latest_start: float  # later it is surely too late
    urgent_from: float  # later it is at risk
    rank: float
    on_time_until: float = inf

    @property
    def least_prefill(self) -> int:
        """Return the prompt tokens that no prefix covers."""
        count = len(self.ask.prefixes)
        covered = prefix_tokens(count - 1) if count else 0
        return max(self.ask.prompt_tokens - covered, 0)

    @property
    def order(self) -> tuple[float, str]:
        """Sort by rank; the id makes it total."""
        return (self.rank, self.ask.request_id)

    @property
    def due(self) -> tuple[float, str]:
        """Sort by latest start."""
        return (self.latest_start, self.ask.request_id)

    @property
    def urgency(self) -> tuple[float, str]:
        """Sort by the time from which it is at risk."""
        return (self.urgent_from, self.ask.request_id)

    @property
    def objective(self) -> tuple[float, str]:
        """Sort by the time until which it can be on time."""
        return (self.on_time_until, self.ask.request_id)


class TierQueue:
    """The entries of one tier, fair between workspaces."""

    def __init__(self, weights: Mapping[str, float], fair: bool) -> None:
        """Start empty."""
        self._weights = weights
        self._fair = fair
        self._lanes: dict[str, SortedKeyList] = {}
        self._served: dict[str, float] = {}
        self._order = SortedList()
        self._floor = float(0)
        self._costs: defaultdict[str, float] = defaultdict(float)
        self.cost = float(0)
        self.expiry = SortedList()
        self.urgent = SortedList()
        self.objectives = SortedList()

    def __len__(self) -> int:
        """Count the entries."""
        return sum(len(lane) for lane in self._lanes.values())

    def add(self, entry: Waiting) -> None:
        """Queue an entry in its workspace's lane."""
        name = self._lane_name(entry.ask)
        if name not in self._lanes:
            self._lanes[name] = SortedKeyList(key=_order_of)
            # An idle workspace saves up no claim: it rejoins at the floor.
            served = max(self._served.get(name, self._floor), self._floor)
            self._served[name] = served
            self._order.add((served, name))
        self._lanes[name].add(entry)
        self.expiry.add(entry.due)
        self.urgent.add(entry.urgency)
        self.objectives.add(entry.objective)
        self._costs[name] += entry.ask.cost
        self.cost += entry.ask.cost

    def remove(self, entry: Waiting) -> None:
        """Take an entry out; its lane goes with the last one."""
        name = self._lane_name(entry.ask)
        lane = self._lanes[name]
        lane.remove(entry)
        self.expiry.remove(entry.due)
        self.urgent.remove(entry.urgency)
        self.objectives.remove(entry.objective)
        self._costs[name] -= entry.ask.cost
        self.cost -= entry.ask.cost
        if not lane:
            self._costs.pop(name)
            self._lanes.pop(name)
            self._order.remove((self._served[name], name))

    def charge(self, ask: Ask, cost: float) -> None:
        """Count cost as served to the request's workspace."""
        name = self._lane_name(ask)
        before = self._served.get(name, self._floor)
        after = max(before + cost / self._weight(name), 0)
        if name in self._lanes:
            self._order.remove((before, name))
            self._order.add((after, name))
            self._served[name] = after
        elif after > self._floor:
            self._served[name] = after
        else:
            self._served.pop(name, None)
        if self._order:
            self._floor = max(self._floor, self._order[0][0])

    def windows(self) -> Iterator[list[Waiting]]:
        """Go over the next entries of each workspace, in turn."""
        for _, name in self._order:
            yield list(self._lanes[name].islice(0, WINDOW))

    def cost_ahead(self, ask: Ask) -> float:
        """Return the workspace's own cost times those it takes turns with."""
        name = self._lane_name(ask)
        turns = max(len(self._lanes), 1)
        return min(self._costs.get(name, 0) * turns, self.cost)

    def _lane_name(self, ask: Ask) -> str:
        return ask.workspace if self._fair else ''

    def _weight(self, name: str) -> float:
        weight = self._weights.get(name, 1)
        return weight if weight > 0 else 1


class WaitingQueue:
    """All that waits in a shard."""

    def __init__(
        self,
        weights: Mapping[str, float],
        *,
        tiers: bool = True,
        fair: bool = True,
        short_first: bool = True,
    ) -> None:
        """Start empty; the switches exist for the ablations."""
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
            self._tier(entry.ask.tier).remove(entry)
        return entry

    def pass_over_late(self, now: float) -> bool:
        """Move back what can't be on time any more; tells whether any was."""
        has_moved = False
        for line in self._tiers.values():
            ids = tuple(line.objectives.irange(maximum=(now, LAST_ID)))
            for _, request_id in ids:
                entry = self._entries[request_id]
                line.remove(entry)
                moved = replace(
                    entry, rank=entry.rank + LATE_S, on_time_until=inf
                )
                self._entries[request_id] = moved
                line.add(moved)
                has_moved = True
        return has_moved

    def charge(self, ask: Ask, cost: float) -> None:
        """Count cost as served to the request's workspace."""
        self._tier(ask.tier).charge(ask, cost)

    def windows(self, lowest: int) -> Iterator[list[Waiting]]:
        """Go over the next entries, tier by tier down to `lowest`."""
        for tier in sorted(self._tiers):
            if tier <= lowest:
                yield from self._tiers[tier].windows()

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
            self._tiers[tier] = TierQueue(self._weights, self._fair)
        return self._tiers[tier]


def _order_of(entry: Waiting) -> tuple[float, str]:
    return entry.order
