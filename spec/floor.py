"""Tier floor: two shards, an owner that is replaced, one that may be frozen.

Time runs in ticks; an owner's clock gains up to `DRIFT` over a hold. Shard 1
passes from owner A to owner B, while A may be alive and either gateway may not
have heard of B yet. `caller` wants to shed a request of a higher tier; `other`
runs a lower tier's and may be frozen, with its run registered nowhere. Traces
are replayed against `ShedPermits`, `TakeoverState` and `ShardPolicy`.
"""

from collections.abc import Iterator
from functools import partial
from typing import Final

from spec.checking import Model, Step, Transitions
from spec.floor_state import (
    DRIFT,
    EARLY_LOAD,
    FIRST_REPLY,
    FRESH,
    FROM_REPLY,
    GRACE,
    GRANT_UNCOUNTED,
    HOLD,
    MARGIN,
    NO_FLOOR,
    NO_LOAD,
    NO_MARGIN,
    NONE,
    OLD_ROUND,
    RUN_FORGOTTEN,
    SENT,
    SETTLED_AT_ONCE,
    STALE_GRANT,
    STALE_ROUND,
    STARTS_AT_ONCE,
    UNDER_A,
    UNDER_B,
    State,
    put,
    tick,
)


def lower_steps(state: State, mutant: str) -> Iterator[Step]:
    """Yield how runs of the lower tier start and end."""
    if state.run0:
        yield 'shard 0 ends its run', state._replace(run0=False)
    elif not state.floors[0]:
        yield 'shard 0 starts a run', state._replace(run0=True)
    if state.run1 != NONE:
        yield 'the run on shard 1 ends', state._replace(run1=NONE)
    elif not state.floors[1]:
        yield 'A grants a run', state._replace(run1=SENT)
    if state.run1 == SENT and usable(state, mutant):
        yield 'the grant of A is used', state._replace(run1=UNDER_A)
    if state.run1 == NONE and b_may_start(state, mutant):
        yield 'B starts a run', state._replace(run1=UNDER_B)
    if state.run1 == UNDER_A and state.other_knows:
        yield (
            'the run is registered with B',
            state._replace(
                run1=UNDER_B,
                lost_run=0 if mutant == RUN_FORGOTTEN else GRACE - DRIFT,
            ),
        )


def usable(state: State, mutant: str) -> bool:
    """Whether the other gateway still takes A for the owner."""
    if mutant == STALE_GRANT:
        return not state.other_knows
    return not state.taken or (state.fresh > 0 and not state.other_knows)


def b_may_start(state: State, mutant: str) -> bool:
    """Whether B's floor lets a lower tier start."""
    waiting = state.grace > 0 and mutant != STARTS_AT_ONCE
    return state.taken and not waiting and not state.floors[2]


def takeover_steps(state: State, mutant: str) -> Iterator[Step]:
    """Yield how B takes over and others hear of it."""
    if not state.taken:
        yield (
            'B takes shard 1 over',
            state._replace(taken=True, grace=GRACE - DRIFT, fresh=FRESH),
        )
        return
    if not state.caller_knows:
        yield 'the caller hears of B', state._replace(caller_knows=True)
    if not state.other_knows:
        yield 'the other hears of B', state._replace(other_knows=True)
    fenced = state.fresh == 0 or mutant == EARLY_LOAD
    if fenced and state.run1 != UNDER_A and not state.load_clear:
        yield (
            'a load report shows no surplus',
            state._replace(load_clear=True),
        )


def round_steps(
    state: State,
    mutant: str,
    *,
    load: bool,
) -> Iterator[Step]:
    """Yield the caller's question to all owners and their replies."""
    stale = state.taken and not state.fresh and not state.caller_knows
    if not state.round_left and (not stale or mutant == STALE_ROUND):
        late = tuple(
            old or reply == 'ok'
            for old, reply in zip(state.late, state.asked, strict=True)
        )
        yield (
            'the caller opens a round',
            state._replace(
                round_left=HOLD,
                asked=('to', 'to'),
                asks_b=state.caller_knows,
                late=late,
            ),
        )
    for shard in (0, 1):
        if state.asked[shard] == 'to':
            yield from owner_steps(state, shard, mutant, load=load)
        if state.asked[shard] in {'ok', 'no'}:
            yield f'reply of shard {shard} arrives', hear(state, shard, mutant)
        if state.late[shard]:
            yield from late_steps(state, shard, mutant)


def owner_steps(
    state: State,
    shard: int,
    mutant: str,
    *,
    load: bool,
) -> Iterator[Step]:
    """Yield an owner that sets its floor and replies."""
    by_b = shard == 1 and state.asks_b
    if shard == 0:
        agrees = not state.run0
    elif by_b:
        agrees = b_agrees(state, mutant, load=load)
    else:
        counted = {UNDER_A} if mutant == GRANT_UNCOUNTED else {SENT, UNDER_A}
        agrees = state.run1 not in counted and not state.lost_run
    floor = shard + by_b
    floors = state.floors
    if mutant != NO_FLOOR:
        floors = put(floors, floor, HOLD - DRIFT)
    yield (
        f'owner {"0AB"[floor]} says {"yes" if agrees else "no"}',
        state._replace(
            floors=floors,
            asked=put(state.asked, shard, 'ok' if agrees else 'no'),
        ),
    )


def b_agrees(state: State, mutant: str, *, load: bool) -> bool:
    """Whether B is settled, by load reports or by time, and runs nothing."""
    if load:
        settled = state.load_clear or mutant == NO_LOAD
    else:
        settled = state.grace == 0 or mutant == SETTLED_AT_ONCE
    return settled and state.run1 != UNDER_B


def hear(state: State, shard: int, mutant: str) -> State:
    """Take a reply to the open round."""
    if not state.round_left:
        return state._replace(asked=put(state.asked, shard, ''))
    if state.asked[shard] == 'no':
        return state._replace(round_left=0)
    asked = put(state.asked, shard, 'agreed')
    if asked != ('agreed', 'agreed') and mutant != FIRST_REPLY:
        return state._replace(asked=asked)
    left = HOLD if mutant == FROM_REPLY else state.round_left
    margin = 0 if mutant == NO_MARGIN else MARGIN
    return state._replace(
        asked=('', ''),
        round_left=0,
        permit=max(state.permit, left - margin),
    )


def late_steps(state: State, shard: int, mutant: str) -> Iterator[Step]:
    """Yield the arrival of a reply to an old round."""
    late = put(state.late, shard, value=False)
    dropped = state._replace(late=late)
    if mutant == OLD_ROUND and state.round_left:
        counted = dropped._replace(asked=put(state.asked, shard, 'ok'))
        yield f'old reply of {shard} counts', hear(counted, shard, mutant)
    else:
        yield f'old reply of {shard} is dropped', dropped


def shed_steps(state: State) -> Iterator[Step]:
    """Yield the shedding of a request of the higher tier."""
    if state.permit:
        served = state.run0 or state.run1 in {UNDER_A, UNDER_B}
        yield (
            'the caller sheds',
            state._replace(
                shed=True,
                shed_wrongly=served,
                shed_by_b=state.asks_b,
            ),
        )


def ticks(state: State, *, load: bool) -> Iterator[Step]:
    """Yield a tick, unless a gateway has to act before it.

    Without load reports B knows only what is registered. The promise then
    needs a gateway that registers its run, or ends it, before its view is
    stale; with load reports it may be frozen for as long as it likes.
    """
    if load or state.fresh != 1 or state.run1 != UNDER_A:
        yield 'a tick', tick(state)


def build(mutant: str, *, takeover: bool, load: bool) -> Transitions:
    """Return the transitions, of steady owners or around a takeover."""

    def transitions(raw: State) -> list[Step]:
        state = State(*raw)
        if state.shed:
            return []
        steps = [
            *ticks(state, load=load),
            *lower_steps(state, mutant),
            *round_steps(state, mutant, load=load),
            *shed_steps(state),
        ]
        if not takeover:
            return steps
        return [
            (label, after._replace(late=(False, False)))
            for label, after in (*steps, *takeover_steps(state, mutant))
        ]

    return transitions


INVARIANTS: Final = {
    'no higher tier is shed while a lower one is served': (
        lambda now: not now['shed_wrongly']
    ),
}
FLOOR: Final = Model(
    name='tier floor, steady owners',
    initial=State(),
    build=partial(build, takeover=False, load=True),
    invariants=INVARIANTS,
    mutants=(
        NO_FLOOR,
        FIRST_REPLY,
        FROM_REPLY,
        NO_MARGIN,
        OLD_ROUND,
        GRANT_UNCOUNTED,
    ),
    witnesses={
        'a request is shed under a permit': lambda now: now['shed'],
    },
)
TAKEOVER: Final = Model(
    name='tier floor, takeover of engines',
    initial=State(),
    build=partial(build, takeover=True, load=True),
    invariants=INVARIANTS,
    mutants=(
        STARTS_AT_ONCE,
        STALE_GRANT,
        STALE_ROUND,
        NO_LOAD,
        EARLY_LOAD,
        RUN_FORGOTTEN,
    ),
    witnesses={
        'a request is shed after B has settled': lambda now: now['shed_by_b'],
    },
)
PLAIN_TAKEOVER: Final = Model(
    name='tier floor, takeover of plain services',
    initial=State(),
    build=partial(build, takeover=True, load=False),
    invariants=INVARIANTS,
    mutants=(
        SETTLED_AT_ONCE,
        STARTS_AT_ONCE,
        STALE_GRANT,
        STALE_ROUND,
        RUN_FORGOTTEN,
    ),
    witnesses=TAKEOVER.witnesses,
)
