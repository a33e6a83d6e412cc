"""Which run is stopped for a more important request.

Load pattern: runners full of long low-tier work when a high tier arrives.
Without it: a booking waits out a debrief, and is shed while the debrief is
still being served.

The victim has the lowest tier of all, and of these loses least prefill: the
tokens computed so far, counting a started prompt as computed. Work that can't
be cancelled is never a victim.
"""

from collections.abc import Iterable
from math import inf

from bramleybend.decisions.actions import Action, Preempt
from bramleybend.decisions.places import Place, places_of
from bramleybend.decisions.queueing import Waiting
from bramleybend.decisions.runs import Run
from bramleybend.decisions.shard import Shard
from bramleybend.models import Tier


def choose_victim(runs: Iterable[Run], tier: int) -> Run | None:
    """Pick the run that yields to a request of a tier, if there is one."""
    lower = [run for run in runs if _may_yield(run, tier)]
    return min(lower, key=_loss, default=None)


def _may_yield(run: Run, tier: int) -> bool:
    return run.ask.cancellable and run.yields_to is None and run.ask.tier > tier


def _loss(run: Run) -> tuple[int, int, float]:
    # The latest started has decoded least; it breaks ties.
    return (-run.ask.tier, run.prefill_tokens, -run.started)


def preempt(shard: Shard, now: float) -> list[Action]:
    """Order a preemption for each urgent entry that has a victim."""
    if not shard.switches.preemption or not shard.queue:
        return []
    actions: list[Action] = []
    for tier in Tier:
        actions.extend(_preempt_for(shard, tier, now))
    return actions


def next_preemption(shard: Shard, now: float) -> float:
    """Return when the next entry becomes urgent."""
    if not shard.switches.preemption or not shard.queue:
        return inf
    times = [
        shard.queue.next_urgent(tier) for tier in Tier if shard.lower_runs(tier)
    ]
    return min((time for time in times if time > now), default=inf)


def _preempt_for(shard: Shard, tier: Tier, now: float) -> list[Action]:
    actions: list[Action] = []
    places = places_of(shard.pool, now)
    for entry in _urgent(shard, tier, now):
        if entry.ask.request_id in shard.victims:
            continue
        runners = _of_use(entry, places, now)
        runs = [run for run in shard.runs.values() if run.runner in runners]
        victim = choose_victim(runs, tier)
        if victim is not None:
            victim.yields_to = tier
            shard.victims[entry.ask.request_id] = victim.ask.request_id
            actions.append(Preempt(victim.ask.request_id, tier))
    return actions


def _of_use(entry: Waiting, places: list[Place], now: float) -> set[str]:
    """Name the full runners on which the request would end in time."""
    able = [
        place for place in places if place.runner.name not in entry.ask.excluded
    ]
    if any(place.free for place in able):
        return set()
    left = entry.ask.deadline - now
    return {
        place.runner.name for place in able if place.seconds(entry.ask) < left
    }


def _urgent(shard: Shard, tier: Tier, now: float) -> list[Waiting]:
    if not shard.lower_runs(tier):
        return []
    # Under a floor a gateway is about to shed: everything here is urgent.
    floored = any(tier <= floor for floor in shard.floors)
    return shard.queue.urgent(inf if floored else now, tier)
