"""Model of weight store permits: races, late and duplicate appends, pauses.

Two issuers use the production `WeightLoads` with a limit of one load. A tick
is the timeout of a load whose end was not reported. A load that has begun is
over by then, but an issuer that was paused may still hold an unused permit.
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

IGNORED_LOG_ORDER: Final = 'whoever has read no other load begins'
UNLIMITED_PERMIT: Final = 'a permit is used however late'


class Issuer(NamedTuple):
    """One issuer; `read_ticks` has the tick at which it read each record."""

    phase: str = 'idle'
    requested_at: int = 0
    read_ticks: tuple[int, ...] = ()


class State(NamedTuple):
    """The stream, the appends in flight and the issuers."""

    tick: int = 0
    log: tuple[Record, ...] = ()
    in_flight: tuple[Record, ...] = ()
    issuers: tuple[Issuer, Issuer] = (Issuer(), Issuer())
    completed: int = 0  # loads that ended


@lru_cache(maxsize=None)
def replay_log(
    log: tuple[Record, ...],
    read_ticks: tuple[int, ...],
    tick: int,
) -> WeightLoads:
    """Return the loads known to an issuer that read the log at these ticks."""
    rules = WeightLoads()
    for offset, read_at in enumerate(read_ticks):
        kind, issuer = log[offset]
        record = (
            LoadBegunRecord(load_id=str(issuer), runner='engine')
            if kind == 'begun'
            else LoadEndedRecord(load_id=str(issuer))
        )
        rules.apply(offset, record.encode(), read_at)
    rules.expire(tick, 1)
    return rules


def replace_issuer(state: State, index: int, issuer: Issuer) -> State:
    """Return the state with one issuer replaced."""
    issuers = list(state.issuers)
    issuers[index] = issuer
    return state._replace(issuers=(issuers[0], issuers[1]))


def issuer_steps(state: State, index: int, mutant: str) -> list[Step]:
    """Return the steps of one issuer."""
    issuer = state.issuers[index]
    new_ticks = (state.tick,) * (len(state.log) - len(issuer.read_ticks))
    read = issuer._replace(read_ticks=issuer.read_ticks + new_ticks)
    steps: list[Step] = [(f'{index} reads', replace_issuer(state, index, read))]
    rules = replay_log(state.log, issuer.read_ticks, state.tick)
    match issuer.phase:
        case 'idle' if rules.free_permits(LIMIT):
            asking = issuer._replace(phase='asked', requested_at=state.tick)
            asked = replace_issuer(state, index, asking)
            in_flight = (*state.in_flight, ('begun', index))
            steps.append((f'{index} asks', asked._replace(in_flight=in_flight)))
        case 'asked' if is_permitted(state, index, mutant):
            loading = issuer._replace(phase='loading')
            steps.append(
                (f'{index} begins', replace_issuer(state, index, loading))
            )
        case 'loading':
            done = replace_issuer(state, index, issuer._replace(phase='over'))
            in_flight = (*state.in_flight, ('ended', index))
            ended = done._replace(
                in_flight=in_flight, completed=state.completed + 1
            )
            steps.append((f'{index} ends', ended))
    return steps


def is_permitted(state: State, index: int, mutant: str) -> bool:
    """Whether an issuer may begin its load, by the records it has read."""
    issuer = state.issuers[index]
    if mutant != UNLIMITED_PERMIT and issuer.requested_at != state.tick:
        return False
    rules = replay_log(state.log, issuer.read_ticks, state.tick)
    if mutant == IGNORED_LOG_ORDER:
        return not [
            load for load in rules._open.values() if load.load_id != str(index)
        ]
    return rules.is_permitted(str(index), LIMIT)


def log_steps(state: State) -> list[Step]:
    """Return the steps of the log: appends land late, or twice."""
    steps: list[Step] = []
    for record in sorted(set(state.in_flight)):
        rest = list(state.in_flight)
        rest.remove(record)
        landed = state._replace(log=(*state.log, record))
        steps.append(
            (f'{record} lands', landed._replace(in_flight=tuple(rest))),
        )
        steps.append((f'a copy of {record} lands', landed))
    return steps


def build(mutant: str) -> Transitions:
    """Return a mutant's transitions, or the protocol's for an empty name."""

    def transitions(raw: State) -> list[Step]:
        state = State(*raw)
        issuers = (Issuer(*state.issuers[0]), Issuer(*state.issuers[1]))
        state = state._replace(issuers=issuers)
        steps = [
            *issuer_steps(state, 0, mutant),
            *issuer_steps(state, 1, mutant),
            *log_steps(state),
        ]
        if state.tick < LAST_TICK and not count_loading(issuers):
            steps.append(('time passes', state._replace(tick=state.tick + 1)))
        return [(label, normalize(after)) for label, after in steps]

    return transitions


def normalize(state: State) -> State:
    """Return the representative of all states with the same future steps.

    Removes appends in flight that can't land because the log is full.
    """
    landing = state.in_flight if len(state.log) < MAX_LOG else ()
    return state._replace(in_flight=tuple(sorted(landing)))


def count_loading(issuers: tuple[Issuer, ...]) -> int:
    """Return how many issuers are loading."""
    return sum(Issuer(*issuer).phase == 'loading' for issuer in issuers)


LOADS: Final = Model(
    name='loads from the weight store',
    initial=State(),
    build=build,
    invariants={
        'no more load at one time than the limit': lambda now: (
            count_loading(now['issuers']) <= LIMIT
        ),
    },
    mutants=(IGNORED_LOG_ORDER, UNLIMITED_PERMIT),
    witnesses={
        'both load, one after the other': lambda now: now['completed'] == 2,
        'a lost holder is waited for no longer': lambda now: (
            now['tick'] == LAST_TICK
            and {'loading', 'asked'}
            == {Issuer(*issuer).phase for issuer in now['issuers']}
        ),
    },
)
