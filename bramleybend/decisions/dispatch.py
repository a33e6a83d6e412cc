"""What starts next, and where.

Load pattern: saturation, where each freed slot meets a whole queue.
Without it: the entry at the head goes to whichever runner came free, and the
prefix that another entry has there is thrown away.

A freed slot goes to the tier and workspace whose turn it is; of that
workspace's next `WINDOW` entries the one is taken that costs the runner
least, each place down the line counting as `PLACE_S`, so an entry is passed
over a bounded number of times. An entry is held for a busy runner that would
serve it `HOLD_S` sooner, prefill weighed in (`places.OTHERS`), unless it is
urgent or there are entries enough for all runners. `MOST_WINDOWS` bounds the
time of one decision. The three were set by judgement; the ablation `holding`
in docs/BENCHMARKS.md shows what holding is worth.
"""

from dataclasses import dataclass, replace
from itertools import islice
from math import inf

from bramleybend.decisions.actions import Action, Grant
from bramleybend.decisions.places import Place, places_of
from bramleybend.decisions.queueing import WINDOW, Waiting
from bramleybend.decisions.runs import Runner
from bramleybend.decisions.shard import Shard
from bramleybend.models import Tier

PLACE_S = 0.05
HOLD_S = 0.25
MOST_WINDOWS = 6


@dataclass(frozen=True)
class _Choice:
    entry: Waiting
    runner: Runner
    seconds: float
    regret: float = 0


def start_waiting(shard: Shard, now: float) -> list[Action]:
    """Fill the free slots."""
    actions = _start_suspect(shard, now)
    while True:
        choice = _choose(shard, now)
        if choice is None:
            return actions
        shard.start(choice.entry.ask, choice.runner, now)
        actions.append(
            Grant(choice.entry.ask.request_id, choice.runner.name),
        )


def _choose(shard: Shard, now: float) -> _Choice | None:
    places = places_of(shard, now) if shard.queue else []
    if not any(place.free for place in places):
        return None
    most = max(place.most_prefill() for place in places)
    windows = shard.queue.windows(shard.lowest_tier(now))
    for window in islice(windows, MOST_WINDOWS):
        # Enough entries for all runners will use them all; none is held.
        few = len(window) < min(len(places), WINDOW)
        hold = few and shard.switches.holding
        choices = [
            choice
            for position, entry in enumerate(window)
            if entry.least_prefill <= most
            for choice in _weigh(
                entry, position, places, now, shard.switches.expiry
            )
            if not hold or choice.regret < HOLD_S or now > entry.urgent_from
        ]
        if choices:
            return min(choices, key=_by_regret)
    return None


def _weigh(
    entry: Waiting,
    position: int,
    places: list[Place],
    now: float,
    in_time: bool,
) -> list[_Choice]:
    """Weigh the free runners against waiting for a busy one."""
    ask = entry.ask
    left = ask.deadline - now
    able = places
    if ask.excluded:
        able = [one for one in places if one.runner.name not in ask.excluded]
    taken = [
        _Choice(entry, place.runner, place.cost(ask))
        for place in able
        if place.takes(ask) and (not in_time or place.in_time(ask, left))
    ]
    best = min(taken, key=_by_seconds, default=None)
    if best is None:
        return []
    least = min(place.cost(ask) + place.wait for place in able)
    regret = best.seconds - least + position * PLACE_S
    return [replace(best, regret=regret)]


def _by_seconds(choice: _Choice) -> float:
    return choice.seconds


def _by_regret(choice: _Choice) -> float:
    return choice.regret


def _start_suspect(shard: Shard, now: float) -> list[Action]:
    window = next(shard.suspects.windows(shard.lowest_tier(now)), [])
    running = [run for run in shard.runs.values() if run.ask.suspect]
    if running or not window:
        return []
    ask = window[0].ask
    runner = _emptiest(shard, ask.excluded)
    for other in shard.pool:
        other.alone = None
    if runner is None:
        return []
    # Held empty for the suspect, or it would never find a runner to itself.
    runner.alone = ask.request_id
    if runner.in_flight:
        return []
    shard.start(ask, runner, now)
    return [Grant(ask.request_id, runner.name)]


def _emptiest(shard: Shard, excluded: frozenset[str]) -> Runner | None:
    able = [
        runner
        for runner in shard.pool
        if not runner.leaving and runner.name not in excluded
    ]
    return min(able, key=_emptiness, default=None)


def _emptiness(runner: Runner) -> tuple[int, bool]:
    # Of equals, the one that is already held for the suspect.
    return (len(runner.in_flight), runner.alone is None)


def next_start(shard: Shard, now: float) -> float:
    """Return when something may start without any event.

    Ramps and floors end, and what is held for a better runner gets urgent.
    """
    if not shard.queue and not shard.suspects:
        return inf
    times = list(shard.floors.values())
    times.extend(shard.queue.next_urgent(tier) for tier in Tier)
    times.extend(
        runner.ramp.next_step(runner.limit.value, now) for runner in shard.pool
    )
    return min((time for time in times if time > now), default=inf)
