"""Selection of runs to stop for a more important request.

Load pattern: runners full of long low-tier work when requests of a high tier
arrive.
Without it: a booking waits until a debrief ends, and is shed while the debrief
is still being served.

The victim is of the lowest tier and, within it, loses the least prefill: the
tokens computed so far, where a started prompt counts as computed. Work that
can't be cancelled is never a victim. While slots are free, only a floor makes
victims of runs in prefill: preempting them for every urgent request cost total
goodput (docs/design/decisions.md). The ablation is `preemption`.
"""

from collections.abc import Iterable, Iterator

from bramleybend.decisions.actions import Action, Preempt
from bramleybend.decisions.placement import RunnerSnapshot, snapshot_runners
from bramleybend.decisions.runs import Run
from bramleybend.decisions.shard import Shard
from bramleybend.decisions.tier_queue import WaitingEntry
from bramleybend.models import SlotRequest, Tier

MAX_VICTIMS_PER_STEP = 8  # bounds the time of one step


def preemptible_runs(runs: Iterable[Run], tier: int) -> list[Run]:
    """Return the runs that a tier may preempt, the cheapest loss first."""
    return sorted(
        (run for run in runs if _is_preemptible(run, tier)),
        key=_preemption_cost,
    )


def _is_preemptible(run: Run, tier: int) -> bool:
    return (
        run.ask.cancellable
        and run.preempted_for is None
        and run.ask.tier > tier
    )


def _preemption_cost(run: Run) -> tuple[int, int, float]:
    # The run that started last has decoded least; it breaks ties.
    return (-run.ask.tier, run.prefill_tokens, -run.started_at)


def preempt(shard: Shard, now: float) -> list[Action]:
    """Order a preemption for each urgent entry that has a victim."""
    if not shard.switches.preemption or not shard.queue:
        return []
    actions: list[Action] = []
    for tier in Tier:
        actions.extend(_preempt_for(shard, tier, now))
    return actions


def _preempt_for(shard: Shard, tier: Tier, now: float) -> list[Action]:
    urgent = _urgent_entries(shard, tier, now)
    runners = snapshot_runners(shard, now) if urgent else []
    snapshots = {snapshot.runner.name: snapshot for snapshot in runners}
    # Sorted once for all entries: sorting for each of them took a third of an
    # owner's time under saturation.
    candidates = preemptible_runs(shard.runs.values(), tier) if urgent else []
    victims = [
        _order_victim(shard, entry, candidates, snapshots, now)
        for entry in urgent
    ]
    return [
        Preempt(victim.ask.request_id, tier)
        for victim in victims
        if victim is not None
    ]


def _order_victim(
    shard: Shard,
    entry: WaitingEntry,
    candidates: list[Run],
    snapshots: dict[str, RunnerSnapshot],
    now: float,
) -> Run | None:
    ask = entry.ask
    if ask.request_id in shard.victims or _can_start(ask, snapshots):
        return None
    if not _has_floor(shard, ask.tier) and _has_slot(ask, snapshots):
        return None
    victim = next(_possible_victims(ask, candidates, snapshots, now), None)
    if victim is not None:
        candidates.remove(victim)
        victim.preempted_for = ask.tier
        shard.victims[ask.request_id] = victim.ask.request_id
    return victim


def _possible_victims(
    ask: SlotRequest,
    candidates: list[Run],
    snapshots: dict[str, RunnerSnapshot],
    now: float,
) -> Iterator[Run]:
    """Yield the runs whose preemption lets the request end in time."""
    time_left_s = ask.deadline - now
    # No run's prompt is longer than its runner's backlog, so most runners are
    # ruled out without checking their runs.
    fast_runners = {
        name
        for name, snapshot in snapshots.items()
        if name not in ask.excluded
        and snapshot.estimate_run_s(ask) - snapshot.backlog_s < time_left_s
    }
    return (
        run
        for run in candidates
        if run.ask.tier > ask.tier
        and run.runner in fast_runners
        and _frees_enough(run, ask, snapshots[run.runner], time_left_s)
    )


def _has_slot(ask: SlotRequest, snapshots: dict[str, RunnerSnapshot]) -> bool:
    return any(
        snapshot.is_free
        for name, snapshot in snapshots.items()
        if name not in ask.excluded
    )


def _can_start(ask: SlotRequest, snapshots: dict[str, RunnerSnapshot]) -> bool:
    return any(
        snapshot.can_start(ask)
        for name, snapshot in snapshots.items()
        if name not in ask.excluded
    )


def _frees_enough(
    run: Run, ask: SlotRequest, snapshot: RunnerSnapshot, time_left_s: float
) -> bool:
    # While a slot is free, only a prompt in prefill can block the request.
    if snapshot.is_free and not run.backlog_tokens:
        return False
    freed_s = run.backlog_tokens / snapshot.pace.prefill_per_s
    return snapshot.estimate_run_s(ask) - freed_s < time_left_s


def _has_floor(shard: Shard, tier: Tier) -> bool:
    return any(tier <= floor for floor in shard.floor_ends)


def _urgent_entries(shard: Shard, tier: Tier, now: float) -> list[WaitingEntry]:
    if not shard.runs_below(tier):
        return []
    # Entries that already have a victim come first; a few more may get one.
    max_count = len(shard.victims) + MAX_VICTIMS_PER_STEP
    return shard.queue.urgent_entries(now, tier, max_count)
