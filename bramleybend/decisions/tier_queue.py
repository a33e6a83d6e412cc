"""The waiting requests of one tier.

Load pattern: saturation, where some requests can still be on time and others
can't.
Without it: a late request of one workspace makes a request of another late.

The workspace with the least served cost per weight is next (start-time fair
queueing). Entries that can no longer be on time start after the entries of all
workspaces that still can: in a queue longer than the objective, order of
arrival alone makes every request late, including new ones. Every
`LATE_START_INTERVAL`th start goes to an urgent late entry, so that late entries
are served, too. The ablation is `on_time_first`.
"""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import inf

from sortedcontainers import SortedKeyList, SortedList

from bramleybend.decisions.overload import LatenessTracker
from bramleybend.decisions.prefixes import prefix_tokens
from bramleybend.models import SlotRequest

LATE_START_INTERVAL = 6  # starts, one of which goes to a late entry
LATE_KEY_MIN = (True, -inf, '')  # lower bound of the late entries
# Entries of a workspace among which the best prefix match is chosen.
WINDOW_ENTRIES = 12


@dataclass(frozen=True)
class WaitingEntry:
    """One queued request."""

    ask: SlotRequest
    arrived_at: float
    latest_start: float  # seconds; it expires then
    urgent_at: float  # seconds; its deadline is at risk from then on
    rank: float  # arrival plus ageing, seconds
    on_time_until: float = inf
    is_late: bool = False

    @property
    def min_prefill_tokens(self) -> int:
        """Return the prompt tokens to compute after a full cache hit."""
        count = len(self.ask.prefixes)
        covered = prefix_tokens(count - 1) if count else 0
        return max(self.ask.prompt_tokens - covered, 0)

    @property
    def sort_key(self) -> tuple[bool, float, str]:
        """Sort late entries last, then by rank; the ID makes the order total."""
        return (self.is_late, self.rank, self.ask.request_id)

    @property
    def expiry_key(self) -> tuple[float, str]:
        """Sort by latest start."""
        return (self.latest_start, self.ask.request_id)

    @property
    def urgency_key(self) -> tuple[float, str]:
        """Sort by the time from which the entry is urgent."""
        return (self.urgent_at, self.ask.request_id)

    @property
    def objective_key(self) -> tuple[float, str]:
        """Sort by the time until which the entry can be on time."""
        return (self.on_time_until, self.ask.request_id)


class TierQueue:
    """The entries of one tier, in fair order of their workspaces."""

    def __init__(
        self,
        weights: Mapping[str, float],
        fair: bool,
        lateness: LatenessTracker,
    ) -> None:
        """Start empty."""
        self.lateness = lateness
        self._weights = weights
        self._fair = fair
        self._lanes: dict[str, SortedKeyList] = {}
        self._virtual_times: dict[str, float] = {}
        self._lane_order = SortedList()
        self._min_virtual_time = float(0)
        self._costs: defaultdict[str, float] = defaultdict(float)
        # Starts since the last start of a late entry.
        self._starts_since_late = 0
        self.cost = float(0)
        self.by_expiry = SortedList()
        self.by_urgency = SortedList()
        self.by_objective = SortedList()

    def __len__(self) -> int:
        """Return the number of entries."""
        return sum(len(lane) for lane in self._lanes.values())

    def add(self, entry: WaitingEntry) -> None:
        """Add an entry to its workspace's lane."""
        name = self._lane_of(entry.ask)
        if name not in self._lanes:
            self._lanes[name] = SortedKeyList(key=_sort_key_of)
            # An idle workspace earns no credit: it resumes at the minimum
            # virtual time.
            served = max(
                self._virtual_times.get(name, self._min_virtual_time),
                self._min_virtual_time,
            )
            self._virtual_times[name] = served
            self._lane_order.add((served, name))
        self._lanes[name].add(entry)
        self.by_expiry.add(entry.expiry_key)
        self.by_urgency.add(entry.urgency_key)
        self.by_objective.add(entry.objective_key)
        self._costs[name] += entry.ask.cost
        self.cost += entry.ask.cost

    def remove(self, entry: WaitingEntry) -> None:
        """Remove an entry, and its lane if it was the last entry there."""
        name = self._lane_of(entry.ask)
        lane = self._lanes[name]
        lane.remove(entry)
        self.by_expiry.remove(entry.expiry_key)
        self.by_urgency.remove(entry.urgency_key)
        self.by_objective.remove(entry.objective_key)
        self._costs[name] -= entry.ask.cost
        self.cost -= entry.ask.cost
        if not lane:
            self._costs.pop(name)
            self._lanes.pop(name)
            self._lane_order.remove((self._virtual_times[name], name))

    def charge(self, ask: SlotRequest, cost: float) -> None:
        """Count cost as served to the request's workspace."""
        name = self._lane_of(ask)
        before = self._virtual_times.get(name, self._min_virtual_time)
        after = max(before + cost / self._weight(name), 0)
        if name in self._lanes:
            self._lane_order.remove((before, name))
            self._lane_order.add((after, name))
            self._virtual_times[name] = after
        elif after > self._min_virtual_time:
            self._virtual_times[name] = after
        else:
            self._virtual_times.pop(name, None)
        if self._lane_order:
            self._min_virtual_time = max(
                self._min_virtual_time, self._lane_order[0][0]
            )

    def record_start(self, entry: WaitingEntry) -> None:
        """Count a start towards the next turn of late entries."""
        self._starts_since_late = (
            0 if entry.is_late else self._starts_since_late + 1
        )

    def windows(self, now: float) -> Iterator[list[WaitingEntry]]:
        """Yield windows of the next entries of each workspace, in turn.

        Late entries come last, unless it is their turn and some of them are
        urgent.
        """
        if self._starts_since_late < LATE_START_INTERVAL - 1:
            yield from self._on_time_windows()
            yield from self._late_windows()
            return
        late = list(self._late_windows())
        yield from (window for window in late if window[0].urgent_at <= now)
        yield from self._on_time_windows()
        yield from (window for window in late if window[0].urgent_at > now)

    def late_entries(self) -> list[WaitingEntry]:
        """Return the entries that can't be on time any more."""
        return [
            entry
            for lane in self._lanes.values()
            for entry in lane[lane.bisect_key_left(LATE_KEY_MIN) :]
        ]

    def has_on_time(self) -> bool:
        """Tell whether a waiting entry can still be on time."""
        return any(not lane[0].is_late for lane in self._lanes.values())

    def count_ahead(self, ask: SlotRequest) -> int:
        """Return the workspace's own entries times the number of workspaces."""
        own = len(self._lanes.get(self._lane_of(ask), ()))
        return min(own * max(len(self._lanes), 1), len(self))

    def cost_ahead(self, ask: SlotRequest) -> float:
        """Return the workspace's own cost times the number of workspaces."""
        name = self._lane_of(ask)
        turns = max(len(self._lanes), 1)
        return min(self._costs.get(name, 0) * turns, self.cost)

    def _on_time_windows(self) -> Iterator[list[WaitingEntry]]:
        for _, name in self._lane_order:
            window = self._lanes[name].islice(0, WINDOW_ENTRIES)
            on_time = [entry for entry in window if not entry.is_late]
            if on_time:
                yield on_time

    def _late_windows(self) -> Iterator[list[WaitingEntry]]:
        for _, name in self._lane_order:
            lane = self._lanes[name]
            first = lane.bisect_key_left(LATE_KEY_MIN)
            if first < len(lane):
                yield list(lane.islice(first, first + WINDOW_ENTRIES))

    def _lane_of(self, ask: SlotRequest) -> str:
        return ask.workspace if self._fair else ''

    def _weight(self, name: str) -> float:
        weight = self._weights.get(name, 1)
        return weight if weight > 0 else 1


def _sort_key_of(entry: WaitingEntry) -> tuple[bool, float, str]:
    return entry.sort_key
