"""Which run is stopped for a more important request.

Load pattern: runners full of long low-tier work when a high tier arrives.
Without it: a booking waits out a debrief, and is shed while the debrief is
still being served.

The victim has the lowest tier of all, and of these loses least prefill: the
tokens computed so far, counting a started prompt as computed. Work that can't
be cancelled is never a victim. Where slots are to spare, only a floor makes
victims of prompts being filled: doing so for every urgent request cost total
goodput (docs/design/decisions.md). The ablation is `preemption`.
"""

from collections.abc import Iterable

from bramleybend.decisions.actions import Action, Preempt
from bramleybend.decisions.places import Place, places_of
from bramleybend.decisions.queueing import Waiting
from bramleybend.decisions.runs import Run
from bramleybend.decisions.shard import Shard
from bramleybend.models import Ask, Tier

MOST_AT_ONCE = 8  # victims ordered in one step; bounds its time


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


def _preempt_for(shard: Shard, tier: Tier, now: float) -> list[Action]:
    urgent = _urgent(shard, tier, now)
    found = places_of(shard, now) if urgent else []
    places = {place.runner.name: place for place in found}
    victims = [_order_victim(shard, entry, places, now) for entry in urgent]
    return [
        Preempt(victim.ask.request_id, tier)
        for victim in victims
        if victim is not None
    ]


def _order_victim(
    shard: Shard,
    entry: Waiting,
    places: dict[str, Place],
    now: float,
) -> Run | None:
    ask = entry.ask
    if ask.request_id in shard.victims or _can_start(ask, places):
        return None
    if not _is_floored(shard, ask.tier) and _has_slot(ask, places):
        return None
    runs = _in_the_way(shard, entry, places, now)
    victim = choose_victim(runs, ask.tier)
    if victim is not None:
        victim.yields_to = ask.tier
        shard.victims[ask.request_id] = victim.ask.request_id
    return victim


def _in_the_way(
    shard: Shard,
    entry: Waiting,
    places: dict[str, Place],
    now: float,
) -> list[Run]:
    """Return the runs in whose stead the request could end in time."""
    left = entry.ask.deadline - now
    return [
        run
        for run in shard.runs.values()
        if run.runner in places
        and run.runner not in entry.ask.excluded
        and _makes_way(run, entry.ask, places[run.runner], left)
    ]


def _has_slot(ask: Ask, places: dict[str, Place]) -> bool:
    return any(
        place.free for name, place in places.items() if name not in ask.excluded
    )


def _can_start(ask: Ask, places: dict[str, Place]) -> bool:
    return any(
        place.takes(ask)
        for name, place in places.items()
        if name not in ask.excluded
    )


def _makes_way(run: Run, ask: Ask, place: Place, left: float) -> bool:
    # With slots to spare it is the prompts being filled that are in the way.
    if place.free and not run.in_backlog:
        return False
    filled = run.in_backlog / place.pace.prefill
    return place.seconds(ask) - filled < left


def _is_floored(shard: Shard, tier: Tier) -> bool:
    return any(tier <= floor for floor in shard.floors)


def _urgent(shard: Shard, tier: Tier, now: float) -> list[Waiting]:
    if not shard.lower_runs(tier):
        return []
    # Those that already have a victim stand first; a few more may get one.
    most = len(shard.victims) + MOST_AT_ONCE
    return shard.queue.urgent(now, tier, most)
