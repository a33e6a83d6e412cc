"""Model of the tier floor with two shards, one of which changes its owner.

Time is in ticks; an owner's clock gains up to `DRIFT_TICKS` during a hold.
Shard 1 moves from owner A to owner B, while A may be alive and either gateway
may not know of B yet. The gateway `caller` wants to shed a request of a higher
tier. The gateway `other` runs one of a lower tier and may be frozen, with its
run registered with no owner. Traces are replayed against `ShedPermits`,
`Settling` and `ShardPolicy`.
"""

from collections.abc import Iterator
from functools import partial
from typing import Final

from spec.checking import Model, Step, Transitions
from spec.floor_state import (
    DRIFT_TICKS,
    EARLY_LOAD,
    FIRST_REPLY,
    FRESH_TICKS,
    FROM_REPLY,
    GRACE_TICKS,
    GRANT_SENT,
    GRANT_UNCOUNTED,
    HOLD_TICKS,
    MARGIN_TICKS,
    NO_FLOOR,
    NO_LOAD,
    NO_MARGIN,
    NO_RUN,
    OLD_ROUND,
    RUN_FORGOTTEN,
    SETTLED_AT_ONCE,
    STALE_GRANT,
    STALE_ROUND,
    STARTS_AT_ONCE,
    UNDER_A,
    UNDER_B,
    State,
    replace_at,
    tick,
)


def lower_steps(state: State, mutant: str) -> Iterator[Step]:
    """Yield the starts and ends of the lower tier's runs."""
    if state.run0:
        yield 'shard 0 ends its run', state._replace(run0=False)
    elif not state.floors_left[0]:
        yield 'shard 0 starts a run', state._replace(run0=True)
    if state.run1 != NO_RUN:
        yield 'the run on shard 1 ends', state._replace(run1=NO_RUN)
    elif not state.floors_left[1]:
        yield 'A grants a run', state._replace(run1=GRANT_SENT)
    if state.run1 == GRANT_SENT and is_grant_usable(state, mutant):
        yield 'the grant of A is used', state._replace(run1=UNDER_A)
    if state.run1 == NO_RUN and can_b_start(state, mutant):
        yield 'B starts a run', state._replace(run1=UNDER_B)
    if state.run1 == UNDER_A and state.other_knows:
        yield (
            'the run is registered with B',
            state._replace(
                run1=UNDER_B,
                lost_run_left=0
                if mutant == RUN_FORGOTTEN
                else GRACE_TICKS - DRIFT_TICKS,
            ),
        )


def is_grant_usable(state: State, mutant: str) -> bool:
    """Whether the other gateway still regards A as the owner."""
    if mutant == STALE_GRANT:
        return not state.other_knows
    return not state.taken_over or (
        state.fresh_left > 0 and not state.other_knows
    )


def can_b_start(state: State, mutant: str) -> bool:
    """Whether B may start a run of the lower tier."""
    is_waiting = state.grace_left > 0 and mutant != STARTS_AT_ONCE
    return state.taken_over and not is_waiting and not state.floors_left[2]


def takeover_steps(state: State, mutant: str) -> Iterator[Step]:
    """Yield the takeover by B and how the gateways learn of it."""
    if not state.taken_over:
        yield (
            'B takes shard 1 over',
            state._replace(
                taken_over=True,
                grace_left=GRACE_TICKS - DRIFT_TICKS,
                fresh_left=FRESH_TICKS,
            ),
        )
        return
    if not state.caller_knows:
        yield 'the caller hears of B', state._replace(caller_knows=True)
    if not state.other_knows:
        yield 'the other hears of B', state._replace(other_knows=True)
    fenced = state.fresh_left == 0 or mutant == EARLY_LOAD
    if fenced and state.run1 != UNDER_A and not state.load_clear:
        yield (
            'a load report shows no surplus',
            state._replace(load_clear=True),
        )


def round_steps(
    state: State,
    mutant: str,
    *,
    uses_load: bool,
) -> Iterator[Step]:
    """Yield the caller's round of requests to all owners, and the replies."""
    is_stale = (
        state.taken_over and not state.fresh_left and not state.caller_knows
    )
    if not state.round_left and (not is_stale or mutant == STALE_ROUND):
        old_oks = tuple(
            old or reply == 'ok'
            for old, reply in zip(state.old_oks, state.messages, strict=True)
        )
        yield (
            'the caller opens a round',
            state._replace(
                round_left=HOLD_TICKS,
                messages=('to', 'to'),
                asks_b=state.caller_knows,
                old_oks=old_oks,
            ),
        )
    for shard in (0, 1):
        if state.messages[shard] == 'to':
            yield from owner_steps(state, shard, mutant, uses_load=uses_load)
        if state.messages[shard] in {'ok', 'no'}:
            yield (
                f'reply of shard {shard} arrives',
                receive_reply(state, shard, mutant),
            )
        if state.old_oks[shard]:
            yield from late_steps(state, shard, mutant)


def owner_steps(
    state: State,
    shard: int,
    mutant: str,
    *,
    uses_load: bool,
) -> Iterator[Step]:
    """Yield the step in which an owner sets its floor and replies."""
    by_b = shard == 1 and state.asks_b
    if shard == 0:
        agrees = not state.run0
    elif by_b:
        agrees = does_b_agree(state, mutant, uses_load=uses_load)
    else:
        counted = (
            {UNDER_A} if mutant == GRANT_UNCOUNTED else {GRANT_SENT, UNDER_A}
        )
        agrees = state.run1 not in counted and not state.lost_run_left
    floor = shard + by_b
    floors = state.floors_left
    if mutant != NO_FLOOR:
        floors = replace_at(floors, floor, HOLD_TICKS - DRIFT_TICKS)
    yield (
        f'owner {"0AB"[floor]} says {"yes" if agrees else "no"}',
        state._replace(
            floors_left=floors,
            messages=replace_at(
                state.messages, shard, 'ok' if agrees else 'no'
            ),
        ),
    )


def does_b_agree(state: State, mutant: str, *, uses_load: bool) -> bool:
    """Whether B has settled, by load reports or by time, and runs nothing."""
    if uses_load:
        settled = state.load_clear or mutant == NO_LOAD
    else:
        settled = state.grace_left == 0 or mutant == SETTLED_AT_ONCE
    return settled and state.run1 != UNDER_B


def receive_reply(state: State, shard: int, mutant: str) -> State:
    """Let the caller receive a reply to the open round."""
    if not state.round_left:
        return state._replace(messages=replace_at(state.messages, shard, ''))
    if state.messages[shard] == 'no':
        return state._replace(round_left=0)
    messages = replace_at(state.messages, shard, 'agreed')
    if messages != ('agreed', 'agreed') and mutant != FIRST_REPLY:
        return state._replace(messages=messages)
    ticks_left = HOLD_TICKS if mutant == FROM_REPLY else state.round_left
    margin = 0 if mutant == NO_MARGIN else MARGIN_TICKS
    return state._replace(
        messages=('', ''),
        round_left=0,
        permit_left=max(state.permit_left, ticks_left - margin),
    )


def late_steps(state: State, shard: int, mutant: str) -> Iterator[Step]:
    """Yield the arrival of a reply to an old round."""
    old_oks = replace_at(state.old_oks, shard, value=False)
    dropped = state._replace(old_oks=old_oks)
    if mutant == OLD_ROUND and state.round_left:
        counted = dropped._replace(
            messages=replace_at(state.messages, shard, 'ok')
        )
        yield (
            f'old reply of {shard} counts',
            receive_reply(counted, shard, mutant),
        )
    else:
        yield f'old reply of {shard} is dropped', dropped


def shed_steps(state: State) -> Iterator[Step]:
    """Yield the shedding of a request of the higher tier."""
    if state.permit_left:
        served = state.run0 or state.run1 in {UNDER_A, UNDER_B}
        yield (
            'the caller sheds',
            state._replace(
                shed=True,
                shed_wrongly=served,
                shed_by_b=state.asks_b,
            ),
        )


def tick_steps(state: State, *, uses_load: bool) -> Iterator[Step]:
    """Yield a tick, unless a gateway has to act before it.

    Without load reports B knows only of registered runs. The invariant then
    requires that a gateway registers or ends its run before its view is
    stale; with load reports it may be frozen for any time.
    """
    if uses_load or state.fresh_left != 1 or state.run1 != UNDER_A:
        yield 'a tick', tick(state)


def build(mutant: str, *, takeover: bool, uses_load: bool) -> Transitions:
    """Return the transitions, with or without a takeover."""

    def transitions(raw: State) -> list[Step]:
        state = State(*raw)
        if state.shed:
            return []
        steps = [
            *tick_steps(state, uses_load=uses_load),
            *lower_steps(state, mutant),
            *round_steps(state, mutant, uses_load=uses_load),
            *shed_steps(state),
        ]
        if not takeover:
            return steps
        return [
            (label, after._replace(old_oks=(False, False)))
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
    build=partial(build, takeover=False, uses_load=True),
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
    build=partial(build, takeover=True, uses_load=True),
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
    build=partial(build, takeover=True, uses_load=False),
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
