"""Model of a request's dispatch: its home, the journal and another reader.

The model encodes real records and evaluates them with the production code:
`HomeJournal`, `JournalView`, `dispatch_mode`. It adds the environment: appends
that are lost, late or duplicated, a home that dies or is paused and taken for
dead, terms that change, a log that drops records, and records that are corrupt
or from a newer release.
"""

from collections.abc import Iterator
from functools import partial
from typing import Final

from bramleybend.models import JournalMode
from bramleybend.state.journal_rules import Ended, NotRun
from bramleybend.state.tickets import RequestId, dispatch_mode
from spec.checking import Model, Step, Transitions
from spec.dispatch_rules import (
    COMPLETE_SEAL,
    CORRUPT,
    INTENT,
    NEWER_SEAL,
    OUTCOME,
    SEAL,
    State,
    make_request_id,
    read_fate,
    read_journal,
)

MAX_LOG: Final = 4
MAX_INTENTS: Final = 2
MAX_FORGOTTEN: Final = 2


def home_steps(state: State, req: RequestId, mutant: str) -> Iterator[Step]:
    """Yield the home's steps."""
    if not state.alive:
        return
    yield 'home dies', state._replace(alive=False)
    if state.home == 'idle':
        yield from start_steps(state, req, mutant)
    if state.home == 'asked':
        yield from waiting_steps(state, mutant)
    if state.home == 'void' and mutant == 'a right given up is used':
        yield from dispatch_steps(state)
    if state.home == 'running':
        yield (
            'home answers the caller',
            send_append(state, OUTCOME)._replace(home='done', told_ended=True),
        )
    if state.next_offset < len(state.log):
        yield 'home reads its journal', read_journal(state, req, mutant)
    yield from stop_steps(state, mutant)


def start_steps(
    state: State,
    req: RequestId,
    mutant: str,
) -> Iterator[Step]:
    """Yield the first step of a new request at its home."""
    mode = dispatch_mode(req, state.mode)
    if mutant == 'home follows the terms against the mark':
        mode = state.mode
    if mode is JournalMode.BEFORE_DISPATCH:
        yield (
            'home sends the intent',
            send_append(state, INTENT)._replace(home='asked'),
        )
    else:
        yield (
            'home dispatches, the intent follows',
            send_append(state, INTENT)._replace(
                home='running', dispatch_count=state.dispatch_count + 1
            ),
        )


def waiting_steps(state: State, mutant: str) -> Iterator[Step]:
    """Yield the steps of a home that waits to read its intent back."""
    yield from dispatch_steps(state)
    if mutant == 'home trusts the reply to its append':
        yield from dispatch_steps(
            state._replace(may_dispatch=INTENT in state.log)
        )
    yield (
        'home gives up and says not run',
        state._replace(home='void', told_not_run=True),
    )
    if (state.log + state.in_flight).count(INTENT) < MAX_INTENTS:
        yield 'home sends the intent again', send_append(state, INTENT)


def dispatch_steps(state: State) -> Iterator[Step]:
    """Yield the dispatch, at any time after the intent was read back."""
    if state.may_dispatch:
        yield (
            'home dispatches',
            state._replace(
                home='running', dispatch_count=state.dispatch_count + 1
            ),
        )


def stop_steps(state: State, mutant: str) -> Iterator[Step]:
    """Yield the planned stop, if no dispatch is running or unconfirmed."""
    is_confirmed = state.may_dispatch or not state.dispatch_count
    if mutant == 'home seals before its intents stand':
        is_confirmed = True
    if state.home in {'idle', 'void', 'done'} and is_confirmed:
        yield (
            'home stops and seals',
            send_append(state, COMPLETE_SEAL)._replace(home='stopped'),
        )


def reader_steps(state: State, req: RequestId, mutant: str) -> Iterator[Step]:
    """Yield the steps of a VM that considers the home lost, rightly or not."""
    if SEAL not in state.log + state.in_flight:
        yield 'another VM seals', send_append(state, SEAL)
    for newer in (False, True):
        fate = read_fate(
            state.log,
            state.first_offset,
            state.mode,
            req,
            mutant,
            newer=newer,
        )
        reader = 'a newer VM' if newer else 'another VM'
        if isinstance(fate, NotRun):
            yield f'{reader} says not run', state._replace(told_not_run=True)
        elif isinstance(fate, Ended):
            yield f'{reader} repeats the end', state._replace(told_ended=True)
        elif mutant == 'another VM runs what is unknown':
            yield (
                f'{reader} runs it',
                state._replace(dispatch_count=state.dispatch_count + 1),
            )


def environment_steps(state: State) -> Iterator[Step]:
    """Yield the steps of the log, the operators and the network."""
    for token in sorted(set(state.in_flight)):
        rest = list(state.in_flight)
        rest.remove(token)
        remaining = state._replace(in_flight=tuple(rest))
        yield f'{token} is lost', remaining
        if len(state.log) < MAX_LOG:
            yield f'{token} lands', remaining._replace(log=(*state.log, token))
    if len(state.log) < MAX_LOG:
        for token in (CORRUPT, NEWER_SEAL):
            if token not in state.log:
                yield f'{token} lands', state._replace(log=(*state.log, token))
    if state.first_offset < min(len(state.log), MAX_FORGOTTEN):
        yield (
            'the log forgets',
            state._replace(first_offset=state.first_offset + 1),
        )
    other = (
        JournalMode.BEHIND
        if state.mode is JournalMode.BEFORE_DISPATCH
        else JournalMode.BEFORE_DISPATCH
    )
    yield 'operators change the mode', state._replace(mode=other)


def send_append(state: State, token: str) -> State:
    """Add an append in flight, which may land at any time or never."""
    return state._replace(in_flight=tuple(sorted((*state.in_flight, token))))


def build(marked: bool, mutant: str) -> Transitions:
    """Return the transitions for an id with or without the intent mark."""
    req = make_request_id(marked=marked)

    def transitions(state: State) -> list[Step]:
        typed_state = state if isinstance(state, State) else State(*state)
        return [
            step
            for step in (
                *home_steps(typed_state, req, mutant),
                *reader_steps(typed_state, req, mutant),
                *environment_steps(typed_state),
            )
            if step[1][State._fields.index('dispatch_count')] <= 2
        ]

    return transitions


INVARIANTS: Final = {
    'a request is dispatched at most once': lambda now: (
        now['dispatch_count'] <= 1
    ),
    'told not run means not run': lambda now: (
        not (now['told_not_run'] and now['dispatch_count'])
    ),
    'an answer is told only of a request that ran': lambda now: (
        not now['told_ended'] or now['dispatch_count'] > 0
    ),
}
COMMON_MUTANTS: Final = (
    'reader overlooks forgotten records',
    'reader skips corrupt records',
    'a right given up is used',
    'another VM runs what is unknown',
)
MARKED: Final = Model(
    name='dispatch, intent first',
    initial=State(),
    build=partial(build, True),
    invariants=INVARIANTS,
    mutants=(
        *COMMON_MUTANTS,
        'home trusts the reply to its append',
        'home overlooks forgotten records',
        'home skips records of newer programs',
        'home follows the terms against the mark',
        'reader needs no seal',
    ),
    witnesses={
        'another VM says not run of a home that died': lambda now: (
            now['told_not_run'] and not now['alive'] and now['home'] == 'asked'
        ),
        'what stood before the seal still runs': lambda now: (
            now['dispatch_count'] and now['sealed']
        ),
    },
)
PLAIN: Final = Model(
    name='dispatch, terms decide',
    initial=State(),
    build=partial(build, False),
    invariants=INVARIANTS,
    mutants=(
        *COMMON_MUTANTS,
        'home seals before its intents stand',
        'reader takes the mode from the terms',
    ),
    witnesses={
        'a home runs on without the log': lambda now: (
            now['home'] == 'done' and not now['log']
        ),
        'not run is proved after a planned stop': lambda now: (
            now['told_not_run'] and now['home'] == 'stopped'
        ),
    },
)
