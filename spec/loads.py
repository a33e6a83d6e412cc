"""Permits of the weight store: races, late appends, copies, lost holders.

Two issuers run the real `WeightLoads` with one load at a time. A tick is the
time after which a load whose end nobody told counts as lost; a load that
began is over by then, but who was paused with a permit may still hold it.
"""

from functools import lru_cache
from typing import Final, NamedTuple

from bramleybend.state.order_records import LoadBegunRecord, LoadEndedRecord
from bramleybend.state.order_rules import WeightLoads
from spec.checking import Model, Step, Transitions

LIMIT: Final = 1
MAX_LOG: Final = 4
LAST_TICK: Final = 1
Record = tuple[str, int]

NO_ORDER: Final = 'whoever has read no other load begins'
NO_LIMIT: Final = 'a permit is used however late'


class Holder(NamedTuple):
    """One issuer; `seen` has the tick at which it read each record."""

    phase: str = 'idle'
    asked_at: int = 0
    seen: tuple[int, ...] = ()


class State(NamedTuple):
    """The stream, appends under way, and the issuers."""

    tick: int = 0
    log: tuple[Record, ...] = ()
    flying: tuple[Record, ...] = ()
    holders: tuple[Holder, Holder] = (Holder(), Holder())
    over: int = 0  # loads that came to their end


@lru_cache(maxsize=None)
def rules_of(
    log: tuple[Record, ...],
    seen: tuple[int, ...],
    tick: int,
) -> WeightLoads:
    """Return the real rules after this reading."""
    rules = WeightLoads()
    for offset, read_at in enumerate(seen):
        kind, who = log[offset]
        record = (
            LoadBegunRecord(load_id=str(who), runner='engine')
            if kind == 'begun'
            else LoadEndedRecord(load_id=str(who))
        )
        rules.apply(offset, record.encode(), read_at)
    rules.expire(tick, 1)
    return rules


def with_holder(state: State, index: int, holder: Holder) -> State:
    """Change one issuer."""
    holders = list(state.holders)
    holders[index] = holder
    return state._replace(holders=(holders[0], holders[1]))


def holder_steps(state: State, index: int, mutant: str) -> list[Step]:
    """Return what one issuer may do next."""
    holder = state.holders[index]
    new = (state.tick,) * (len(state.log) - len(holder.seen))
    read = holder._replace(seen=holder.seen + new)
    steps: list[Step] = [(f'{index} reads', with_holder(state, index, read))]
    rules = rules_of(state.log, holder.seen, state.tick)
    match holder.phase:
        case 'idle' if rules.room(LIMIT):
            asking = holder._replace(phase='asked', asked_at=state.tick)
            asked = with_holder(state, index, asking)
            flying = (*state.flying, ('begun', index))
            steps.append((f'{index} asks', asked._replace(flying=flying)))
        case 'asked' if is_permitted(state, index, mutant):
            loading = holder._replace(phase='loading')
            steps.append(
                (f'{index} begins', with_holder(state, index, loading))
            )
        case 'loading':
            done = with_holder(state, index, holder._replace(phase='over'))
            flying = (*state.flying, ('ended', index))
            ended = done._replace(flying=flying, over=state.over + 1)
            steps.append((f'{index} ends', ended))
    return steps


def is_permitted(state: State, index: int, mutant: str) -> bool:
    """Whether an issuer may begin, by what it has read."""
    holder = state.holders[index]
    if mutant != NO_LIMIT and holder.asked_at != state.tick:
        return False
    rules = rules_of(state.log, holder.seen, state.tick)
    if mutant == NO_ORDER:
        return not [
            load for load in rules._open.values() if load.load_id != str(index)
        ]
    return rules.is_permitted(str(index), LIMIT)


def log_steps(state: State) -> list[Step]:
    """Return what the log does: appends land late, or twice."""
    steps: list[Step] = []
    for record in sorted(set(state.flying)):
        rest = list(state.flying)
        rest.remove(record)
        landed = state._replace(log=(*state.log, record))
        steps.append(
            (f'{record} lands', landed._replace(flying=tuple(rest))),
        )
        steps.append((f'a copy of {record} lands', landed))
    return steps


def build(mutant: str) -> Transitions:
    """Return the transitions with one safeguard off."""

    def transitions(raw: State) -> list[Step]:
        state = State(*raw)
        holders = (Holder(*state.holders[0]), Holder(*state.holders[1]))
        state = state._replace(holders=holders)
        steps = [
            *holder_steps(state, 0, mutant),
            *holder_steps(state, 1, mutant),
            *log_steps(state),
        ]
        if state.tick < LAST_TICK and not loading_in(holders):
            steps.append(('time passes', state._replace(tick=state.tick + 1)))
        return [(label, normal(after)) for label, after in steps]

    return transitions


def normal(state: State) -> State:
    """Return one state for all that can do the same.

    What can't land in a full log is left out.
    """
    landing = state.flying if len(state.log) < MAX_LOG else ()
    return state._replace(flying=tuple(sorted(landing)))


def loading_in(holders: tuple[Holder, ...]) -> int:
    """Return how many load now."""
    return sum(Holder(*holder).phase == 'loading' for holder in holders)


LOADS: Final = Model(
    name='loads from the weight store',
    initial=State(),
    build=build,
    invariants={
        'no more load at one time than the limit': lambda now: (
            loading_in(now['holders']) <= LIMIT
        ),
    },
    mutants=(NO_ORDER, NO_LIMIT),
    witnesses={
        'both load, one after the other': lambda now: now['over'] == 2,
        'a lost holder is waited for no longer': lambda now: (
            now['tick'] == LAST_TICK
            and {'loading', 'asked'}
            == {Holder(*holder).phase for holder in now['holders']}
        ),
    },
)
