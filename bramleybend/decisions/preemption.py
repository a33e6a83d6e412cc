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

from collections.abc import Iterable, Iterator

from bramleybend.decisions.actions import Action, Preempt
from bramleybend.decisions.places import Place, places_of
from bramleybend.decisions.runs import Run
from bramleybend.decisions.shard import Shard
from bramleybend.decisions.tier_queue import Waiting
from bramleybend.models import Ask, Tier

MOST_AT_ONCE = 8  # victims ordered in one step; bounds its time


def yielding(runs: Iterable[Run], tier: int) -> list[Run]:
    """Return the runs that may yield to a tier, the least loss first."""
    return sorted((run for run in runs if _may_yield(run, tier)), key=_loss)


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
    # Sorted once for all entries: for each of them anew, it took a third of
    # the time that an owner spends under saturation.
    able = yielding(shard.runs.values(), tier) if urgent else []
    victims = [
        _order_victim(shard, entry, able, places, now) for entry in urgent
    ]
    return [
        Preempt(victim.ask.request_id, tier)
        for victim in victims
        if victim is not None
    ]


def _order_victim(
    shard: Shard,
    entry: Waiting,
    able: list[Run],
    places: dict[str, Place],
    now: float,
) -> Run | None:
    ask = entry.ask
    if ask.request_id in shard.victims or _can_start(ask, places):
        return None
    if not _is_floored(shard, ask.tier) and _has_slot(ask, places):
        return None
    victim = next(_in_the_way(ask, able, places, now), None)
    if victim is not None:
        able.remove(victim)
        victim.yields_to = ask.tier
        shard.victims[ask.request_id] = victim.ask.request_id
    return victim


def _in_the_way(
    ask: Ask,
    able: list[Run],
    places: dict[str, Place],
    now: float,
) -> Iterator[Run]:
    """Go over the runs in whose stead the request could end in time."""
    left = ask.deadline - now
    # No run's prompt is longer than all that its runner has to fill, so most
    # runners are ruled out without a look at their runs.
    fast = {
        name
        for name, place in places.items()
        if name not in ask.excluded and place.seconds(ask) - place.fill < left
    }
    return (
        run
        for run in able
        if run.ask.tier > ask.tier
        and run.runner in fast
        and _makes_way(run, ask, places[run.runner], left)
    )


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
