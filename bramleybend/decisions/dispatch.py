"""Selection of the next request to start, and of its runner.

Load pattern: saturation, where a full queue competes for each released slot.
Without it: the entry at the head goes to whichever runner became free, and the
prefix that another entry has cached there is evicted.

A released slot goes to the tier and workspace whose turn it is. Of that
workspace's next `WINDOW_ENTRIES` entries, the one with the least regret is
started: the extra cost of the best free runner over the best runner of all,
plus `POSITION_PENALTY_S` for each position in the queue. The penalty bounds how
often an entry is passed over. An entry is held for a busy runner that would
serve it `MIN_HOLD_GAIN_S` sooner, including the impact of its prefill on other
runs (`placement.PREFILL_IMPACT`), unless the entry is urgent, would start late,
or there are enough entries for all runners. Where more entries wait than there
are runners, an entry is held only for a runner that has its prefix cached. With
a free runner for each entry, an urgent entry that is expected to end too late
is tried rather than refused beside idle runners. `MAX_EVALUATED` bounds the
time of one decision.
"""

from dataclasses import dataclass, field
from math import inf

from bramleybend.decisions.actions import Action, Grant
from bramleybend.decisions.placement import (
    UNLIMITED,
    RunnerSnapshot,
    find_placement,
    snapshot_runners,
    time_left,
)
from bramleybend.decisions.random_placement import draw_runner
from bramleybend.decisions.runs import Runner
from bramleybend.decisions.shard import Shard
from bramleybend.decisions.tier_queue import WINDOW_ENTRIES, WaitingEntry
from bramleybend.models import Tier

POSITION_PENALTY_S = 0.05
MIN_HOLD_GAIN_S = 0.25
# A runner with an open connection is preferred if its cost is at most this much
# higher: a new connection costs both sides, and paces are not known more
# precisely.
CONNECTION_COST_S = 0.03
MAX_EVALUATED = 6 * WINDOW_ENTRIES  # entries, over as many windows as needed


@dataclass(frozen=True)
class Candidate:
    """A queued entry that may start, and its best runner."""

    entry: WaitingEntry
    runner: Runner
    regret: float  # seconds above the best runner, including busy ones
    saves_prefill: bool  # that best runner would prefill fewer tokens
    cost: float = field(default=0, compare=False)  # seconds on `runner`


def dispatch_waiting(
    shard: Shard, now: float, new_request_id: str | None = None
) -> list[Action]:
    """Start waiting requests on the free slots.

    `new_request_id` names the only request that arrived since no other could
    start.
    """
    actions = _dispatch_suspect(shard, now)
    while True:
        candidate = choose_next(shard, now, new_request_id)
        if candidate is None:
            return actions
        # A started run changes the wait of the other entries.
        new_request_id = None
        ask = candidate.entry.ask
        runner = _connected_runner(shard, candidate, now) or candidate.runner
        shard.start(ask, runner, now)
        actions.append(Grant(ask.request_id, runner.name))


def choose_next(
    shard: Shard, now: float, new_request_id: str | None = None
) -> Candidate | None:
    """Return the candidate to start next, or None.

    With `new_request_id`, only the window that holds this request is evaluated.
    """
    if not shard.queue or not shard.pool.has_room(now):
        return None
    snapshots = snapshot_runners(shard, now)
    max_prefill = max(snapshot.max_prefill_tokens() for snapshot in snapshots)
    evaluated = 0
    for window in shard.queue.windows(shard.lowest_startable_tier(now), now):
        eligible = [
            (position, entry)
            for position, entry in enumerate(window)
            if entry.min_prefill_tokens <= max_prefill
        ]
        if new_request_id is None or _contains_request(window, new_request_id):
            candidates = _candidates(
                shard, eligible, len(window), snapshots, now
            )
            if candidates:
                return min(candidates, key=_by_regret)
        evaluated += len(eligible)
        if evaluated >= MAX_EVALUATED:
            return None
    return None


def _connected_runner(
    shard: Shard, candidate: Candidate, now: float
) -> Runner | None:
    """Return a runner that costs about as much and needs no new connection."""
    ask = candidate.entry.ask
    names = ask.connected - ask.excluded
    if not names or shard.switches.spreading:
        return None
    snapshots = snapshot_runners(shard, now, names)
    placement = find_placement(snapshots, ask, time_left(ask, now))
    return (
        placement.runner
        if placement.cost <= candidate.cost + CONNECTION_COST_S
        else None
    )


def _contains_request(window: list[WaitingEntry], request_id: str) -> bool:
    return any(entry.ask.request_id == request_id for entry in window)


def _candidates(
    shard: Shard,
    eligible: list[tuple[int, WaitingEntry]],
    window_length: int,
    snapshots: list[RunnerSnapshot],
    now: float,
) -> list[Candidate]:
    has_slot_for_each = len(shard.queue) <= sum(
        one.is_free for one in snapshots
    )
    evaluated = (
        _evaluate(
            shard,
            entry,
            position,
            snapshots,
            now,
            shard.switches.expiry
            and not (has_slot_for_each and entry.urgent_at <= now),
        )
        for position, entry in eligible
    )
    found = [candidate for candidate in evaluated if candidate is not None]
    # With enough entries for all runners, no entry is held: each runner gets
    # one.
    are_few_candidates = window_length < min(len(snapshots), WINDOW_ENTRIES)
    if not (are_few_candidates and shard.switches.holding):
        return found
    are_few_waiting = len(shard.queue) < len(snapshots)
    return [
        candidate
        for candidate in found
        if not _is_held(candidate, now, are_few_waiting)
    ]


def _is_held(candidate: Candidate, now: float, are_few_waiting: bool) -> bool:
    if candidate.regret < MIN_HOLD_GAIN_S:
        return False
    # A long queue keeps the faster runners busy anyway: entries held for their
    # pace alone would leave the other runners idle.
    if not (are_few_waiting or candidate.saves_prefill):
        return False
    entry = candidate.entry
    return now < min(entry.urgent_at, entry.on_time_until - MIN_HOLD_GAIN_S)


def _evaluate(
    shard: Shard,
    entry: WaitingEntry,
    position: int,
    snapshots: list[RunnerSnapshot],
    now: float,
    must_end_in_time: bool,
) -> Candidate | None:
    """Compare the free runners with waiting for a busy one."""
    ask = entry.ask
    eligible = snapshots
    if ask.excluded:
        eligible = [
            one for one in snapshots if one.runner.name not in ask.excluded
        ]
    left = time_left(ask, now) if must_end_in_time else UNLIMITED
    if shard.switches.spreading:
        runner = draw_runner(eligible, ask, left, shard.rng)
        if runner is None:
            return None
        return Candidate(
            entry, runner, position * POSITION_PENALTY_S, saves_prefill=False
        )
    placement = find_placement(eligible, ask, left)
    if placement.runner is None:
        return None
    regret = placement.cost - placement.min_cost + position * POSITION_PENALTY_S
    saves_prefill = placement.min_cost_prefill < placement.prefill
    return Candidate(
        entry, placement.runner, regret, saves_prefill, placement.cost
    )


def _by_regret(candidate: Candidate) -> float:
    return candidate.regret


def _dispatch_suspect(shard: Shard, now: float) -> list[Action]:
    window = next(
        shard.suspects.windows(shard.lowest_startable_tier(now)), None
    )
    if not window or any(run.ask.suspect for run in shard.runs.values()):
        return []
    ask = window[0].ask
    runner = _least_loaded(shard, ask.excluded)
    for other in shard.pool:
        other.reserved_for = None
    if runner is None:
        return []
    # The runner is drained for the suspect, which would otherwise never find an
    # idle runner.
    runner.reserved_for = ask.request_id
    if runner.in_flight:
        return []
    shard.start(ask, runner, now)
    return [Grant(ask.request_id, runner.name)]


def _least_loaded(shard: Shard, excluded: frozenset[str]) -> Runner | None:
    eligible = [
        runner
        for runner in shard.pool
        if not runner.leaving and runner.name not in excluded
    ]
    return min(eligible, key=_load_key, default=None)


def _load_key(runner: Runner) -> tuple[int, bool]:
    # Among equals, the runner that is already reserved for the suspect.
    return (len(runner.in_flight), runner.reserved_for is None)


def next_start_at(shard: Shard, now: float) -> float:
    """Return when an entry may start without any further event.

    Ramps and floors end, entries that are held for a better runner become
    urgent, and runners with a start rate accept their next request.
    """
    if not shard.queue and not shard.suspects:
        return inf
    times = list(shard.floor_ends.values())
    times.extend(shard.queue.next_urgent(tier, now) for tier in Tier)
    times.extend(
        shard.queue.next_late(tier, now + MIN_HOLD_GAIN_S) - MIN_HOLD_GAIN_S
        for tier in Tier
    )
    times.extend(
        runner.ramp.next_step_at(runner.limit.value, now)
        for runner in shard.pool
    )
    times.extend(
        now + runner.start_rate.wait_s(now)
        for runner in shard.pool
        if runner.start_rate
    )
    return min((time for time in times if time > now), default=inf)
