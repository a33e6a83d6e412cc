"""What starts next, and where.

Load pattern: saturation, where each freed slot meets a whole queue.
Without it: the entry at the head goes to whichever runner came free, and the
prefix that another entry has there is thrown away.

A freed slot goes to the tier and workspace whose turn it is; of that
workspace's next `WINDOW` entries the one is taken that costs the runner
least, each place down the line counting as `PLACE_S`, so an entry is passed
over a bounded number of times. An entry is held for a busy runner that would
serve it `HOLD_S` sooner, prefill weighed in (`places.OTHERS`), unless it is
urgent, would start late, or there are entries enough for all runners; where
more wait than there are runners, only for one that has its prefix cached.
With a free runner for each entry, one that is expected to end too late is tried
once it is urgent, rather than refused beside idle runners.
`MOST_WEIGHED` bounds the time of one decision.
"""

from dataclasses import dataclass, field
from math import inf

from bramleybend.decisions.actions import Action, Grant
from bramleybend.decisions.places import (
    UNLIMITED,
    Place,
    best_of,
    places_of,
    time_left,
)
from bramleybend.decisions.runs import Runner
from bramleybend.decisions.shard import Shard
from bramleybend.decisions.spreading import draw
from bramleybend.decisions.tier_queue import WINDOW, Waiting
from bramleybend.models import Tier

PLACE_S = 0.05
HOLD_S = 0.25
# Seconds that a run may take longer where it spares a new connection, which
# costs both sides; paces are not known more exactly than this.
CONNECTED_S = 0.03
MOST_WEIGHED = 6 * WINDOW  # entries, in as many windows as that takes


@dataclass(frozen=True)
class Choice:
    """An entry that may start, and where."""

    entry: Waiting
    runner: Runner
    regret: float  # seconds, beside the best it could wait for
    saves_work: bool  # waiting for that one would fill fewer tokens
    cost: float = field(default=0, compare=False)  # seconds, there


def start_waiting(
    shard: Shard, now: float, added: str | None = None
) -> list[Action]:
    """Fill the free slots.

    `added` names the only request that came since nothing else could start.
    """
    actions = _start_suspect(shard, now)
    while True:
        choice = choose(shard, now, added)
        if choice is None:
            return actions
        # What starts changes for how long others would wait.
        added = None
        ask = choice.entry.ask
        runner = _connected_runner(shard, choice, now) or choice.runner
        shard.start(ask, runner, now)
        actions.append(Grant(ask.request_id, runner.name))


def choose(shard: Shard, now: float, added: str | None = None) -> Choice | None:
    """Return what starts next, if anything may.

    With `added`, only the window that this request came to is weighed.
    """
    if not shard.queue or not shard.pool.has_room(now):
        return None
    places = places_of(shard, now)
    longest = max(place.most_prefill() for place in places)
    weighed = 0
    for window in shard.queue.windows(shard.lowest_tier(now), now):
        able = [
            (position, entry)
            for position, entry in enumerate(window)
            if entry.least_prefill <= longest
        ]
        if added is None or _holds(window, added):
            choices = _choices(shard, able, len(window), places, now)
            if choices:
                return min(choices, key=_by_regret)
        weighed += len(able)
        if weighed >= MOST_WEIGHED:
            return None
    return None


def _connected_runner(
    shard: Shard, choice: Choice, now: float
) -> Runner | None:
    """Return a runner that costs about as much and spares a connection."""
    ask = choice.entry.ask
    names = ask.connected - ask.excluded
    if not names or shard.switches.spreading:
        return None
    places = places_of(shard, now, names)
    best = best_of(places, ask, time_left(ask, now))
    return best.runner if best.cost <= choice.cost + CONNECTED_S else None


def _holds(window: list[Waiting], request_id: str) -> bool:
    return any(entry.ask.request_id == request_id for entry in window)


def _choices(
    shard: Shard,
    able: list[tuple[int, Waiting]],
    length: int,
    places: list[Place],
    now: float,
) -> list[Choice]:
    is_free_for_all = len(shard.queue) <= sum(one.free for one in places)
    weighed = (
        _weigh(
            shard,
            entry,
            position,
            places,
            now,
            shard.switches.expiry
            and not (is_free_for_all and entry.urgent_from <= now),
        )
        for position, entry in able
    )
    found = [choice for choice in weighed if choice is not None]
    # Enough entries for all runners will use them all; none is held.
    few = length < min(len(places), WINDOW)
    if not (few and shard.switches.holding):
        return found
    are_few_waiting = len(shard.queue) < len(places)
    return [
        choice for choice in found if not _is_held(choice, now, are_few_waiting)
    ]


def _is_held(choice: Choice, now: float, are_few_waiting: bool) -> bool:
    if choice.regret < HOLD_S:
        return False
    # A long queue uses the faster runners anyway: held for their pace alone,
    # it would leave the others idle.
    if not (are_few_waiting or choice.saves_work):
        return False
    entry = choice.entry
    return now < min(entry.urgent_from, entry.on_time_until - HOLD_S)


def _weigh(
    shard: Shard,
    entry: Waiting,
    position: int,
    places: list[Place],
    now: float,
    in_time: bool,
) -> Choice | None:
    """Weigh the free runners against waiting for a busy one."""
    ask = entry.ask
    able = places
    if ask.excluded:
        able = [one for one in places if one.runner.name not in ask.excluded]
    left = time_left(ask, now) if in_time else UNLIMITED
    if shard.switches.spreading:
        runner = draw(able, ask, left, shard.rng)
        if runner is None:
            return None
        return Choice(entry, runner, position * PLACE_S, saves_work=False)
    standing = best_of(able, ask, left)
    if standing.runner is None:
        return None
    regret = standing.cost - standing.least + position * PLACE_S
    saves_work = standing.least_prefill < standing.prefill
    return Choice(entry, standing.runner, regret, saves_work, standing.cost)


def _by_regret(choice: Choice) -> float:
    return choice.regret


def _start_suspect(shard: Shard, now: float) -> list[Action]:
    window = next(shard.suspects.windows(shard.lowest_tier(now)), None)
    if not window or any(run.ask.suspect for run in shard.runs.values()):
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

    Ramps and floors end, what is held for a better runner gets urgent, and
    a runner that named a limit takes its next request.
    """
    if not shard.queue and not shard.suspects:
        return inf
    times = list(shard.floors.values())
    times.extend(shard.queue.next_urgent(tier, now) for tier in Tier)
    times.extend(
        shard.queue.next_late(tier, now + HOLD_S) - HOLD_S for tier in Tier
    )
    times.extend(
        runner.ramp.next_step(runner.limit.value, now) for runner in shard.pool
    )
    times.extend(
        now + runner.rate.wait_s(now) for runner in shard.pool if runner.rate
    )
    return min((time for time in times if time > now), default=inf)
