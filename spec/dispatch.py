"""Dispatch right: one id, its home, its journal and another VM that reads it.

The records are real ones and are judged by the code that runs in production:
`HomeJournal`, `JournalView`, `dispatch_mode`. The model adds what surrounds
them: appends that are lost, late or doubled, a home that dies or is taken for
dead while it is paused, terms that change, a log that forgets, records that
are corrupt or from a newer program.
"""

from collections.abc import Iterator
from functools import partial
from typing import Final

from bramleybend.models import JournalMode
from bramleybend.state.journal_rules import Ended, NotRun
from bramleybend.state.tickets import RequestId, dispatch_mode
from spec.checking import Model, Step, Transitions
from spec.dispatch_rules import (
    COMPLETE,
    CORRUPT,
    INTENT,
    NEWER,
    OUTCOME,
    SEAL,
    State,
    read_back,
    reader_fate,
    request,
)

MAX_LOG: Final = 4
MAX_INTENTS: Final = 2
MAX_FORGOTTEN: Final = 2


def home_steps(state: State, req: RequestId, mutant: str) -> Iterator[Step]:
    """Yield what the home may do next."""
    if not state.alive:
        return
    yield 'home dies', state._replace(alive=False)
    if state.home == 'idle':
        yield from accept_steps(state, req, mutant)
    if state.home == 'asked':
        yield from asked_steps(state, mutant)
    if state.home == 'void' and mutant == 'a right given up is used':
        yield from dispatch_steps(state)
    if state.home == 'running':
        yield (
            'home answers the caller',
            fly(state, OUTCOME)._replace(home='done', told_ended=True),
        )
    if state.read < len(state.log):
        yield 'home reads its journal', read_back(state, req, mutant)
    yield from stop_steps(state, mutant)


def accept_steps(
    state: State,
    req: RequestId,
    mutant: str,
) -> Iterator[Step]:
    """Yield how a new request starts at its home."""
    mode = dispatch_mode(req, state.mode)
    if mutant == 'home follows the terms against the mark':
        mode = state.mode
    if mode is JournalMode.BEFORE_DISPATCH:
        yield 'home sends the intent', fly(state, INTENT)._replace(home='asked')
    else:
        yield (
            'home dispatches, the intent follows',
            fly(state, INTENT)._replace(home='running', ran=state.ran + 1),
        )


def asked_steps(state: State, mutant: str) -> Iterator[Step]:
    """Yield what a home does that waits for its intent to stand."""
    yield from dispatch_steps(state)
    if mutant == 'home trusts the reply to its append':
        yield from dispatch_steps(state._replace(right=INTENT in state.log))
    yield (
        'home gives up and says not run',
        state._replace(home='void', told_not_run=True),
    )
    if (state.log + state.flying).count(INTENT) < MAX_INTENTS:
        yield 'home sends the intent again', fly(state, INTENT)


def dispatch_steps(state: State) -> Iterator[Step]:
    """Yield the dispatch, however long after the right was read."""
    if state.right:
        yield (
            'home dispatches',
            state._replace(home='running', ran=state.ran + 1),
        )


def stop_steps(state: State, mutant: str) -> Iterator[Step]:
    """Yield the planned stop, once nothing is in flight."""
    confirmed = state.right or not state.ran
    if mutant == 'home seals before its intents stand':
        confirmed = True
    if state.home in {'idle', 'void', 'done'} and confirmed:
        yield (
            'home stops and seals',
            fly(state, COMPLETE)._replace(home='stopped'),
        )


def reader_steps(state: State, req: RequestId, mutant: str) -> Iterator[Step]:
    """Yield what a VM does that takes the home for gone, rightly or not."""
    if SEAL not in state.log + state.flying:
        yield 'another VM seals', fly(state, SEAL)
    for newer in (False, True):
        fate = reader_fate(
            state.log,
            state.first,
            state.mode,
            req,
            mutant,
            newer=newer,
        )
        who = 'a newer VM' if newer else 'another VM'
        if isinstance(fate, NotRun):
            yield f'{who} says not run', state._replace(told_not_run=True)
        elif isinstance(fate, Ended):
            yield f'{who} repeats the end', state._replace(told_ended=True)
        elif mutant == 'another VM runs what is unknown':
            yield f'{who} runs it', state._replace(ran=state.ran + 1)


def world_steps(state: State) -> Iterator[Step]:
    """Yield what the log, the operators and the network do."""
    for token in sorted(set(state.flying)):
        left = list(state.flying)
        left.remove(token)
        gone = state._replace(flying=tuple(left))
        yield f'{token} is lost', gone
        if len(state.log) < MAX_LOG:
            yield f'{token} lands', gone._replace(log=(*state.log, token))
    if len(state.log) < MAX_LOG:
        for token in (CORRUPT, NEWER):
            if token not in state.log:
                yield f'{token} lands', state._replace(log=(*state.log, token))
    if state.first < min(len(state.log), MAX_FORGOTTEN):
        yield 'the log forgets', state._replace(first=state.first + 1)
    other = (
        JournalMode.BEHIND
        if state.mode is JournalMode.BEFORE_DISPATCH
        else JournalMode.BEFORE_DISPATCH
    )
    yield 'operators change the mode', state._replace(mode=other)


def fly(state: State, token: str) -> State:
    """Send an append, which may land at any time or never."""
    return state._replace(flying=tuple(sorted((*state.flying, token))))


def build(marked: bool, mutant: str) -> Transitions:
    """Return the transitions for a marked or a plain id."""
    req = request(marked=marked)

    def transitions(state: State) -> list[Step]:
        bound = state if isinstance(state, State) else State(*state)
        return [
            step
            for step in (
                *home_steps(bound, req, mutant),
                *reader_steps(bound, req, mutant),
                *world_steps(bound),
            )
            if step[1][State._fields.index('ran')] <= 2
        ]

    return transitions


INVARIANTS: Final = {
    'a request is dispatched at most once': lambda now: now['ran'] <= 1,
    'told not run means not run': lambda now: (
        not (now['told_not_run'] and now['ran'])
    ),
    'an answer is told only of a request that ran': lambda now: (
        not now['told_ended'] or now['ran'] > 0
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
            now['ran'] and now['sealed']
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
