"""The dispatch models' state, and the production rules applied to it."""

from functools import lru_cache
from typing import Final, NamedTuple

from bramleybend.answers import Outcome
from bramleybend.clients.log_service import LogRecord
from bramleybend.models import JournalMode
from bramleybend.state.journal_records import (
    encode_intent,
    encode_outcome,
    encode_seal,
)
from bramleybend.state.journal_rules import Fate, HomeJournal, JournalView
from bramleybend.state.tickets import RequestId, Ticket

INTENT: Final = 'intent'
OUTCOME: Final = 'outcome'
SEAL: Final = 'seal'
COMPLETE: Final = 'complete seal'
CORRUPT: Final = 'corrupt record'
NEWER: Final = 'seal of a newer program'


class State(NamedTuple):
    """The log, the home, what was told to the caller."""

    log: tuple[str, ...] = ()
    first: int = 0  # records below are forgotten
    flying: tuple[str, ...] = ()  # appends that may land, late or never
    mode: JournalMode = JournalMode.BEFORE_DISPATCH  # of the profile, now
    alive: bool = True
    home: str = 'idle'  # asked, running, done, void, stopped
    read: int = 0
    sealed: bool = False
    right: bool = False
    ran: int = 0
    told_not_run: bool = False
    told_ended: bool = False


def request(*, marked: bool) -> RequestId:
    """Return the one id of the model."""
    return RequestId(Ticket('10.0.0.1', 8080, 'a1', 0, marked), 'slot-7')


@lru_cache
def encode(token: str, req: RequestId) -> str:
    """Return the record that a token of the model stands for."""
    return {
        INTENT: encode_intent(req),
        OUTCOME: encode_outcome(req, Outcome.DONE, 200, 'text/plain', b'ok'),
        SEAL: encode_seal('another VM'),
        COMPLETE: encode_seal('the home', complete=True),
        CORRUPT: '{"v":1,"kind":"inte',
        NEWER: '{"v":2,"kind":"seal","by":"a newer VM"}',
    }[token]


def records(
    log: tuple[str, ...],
    start: int,
    req: RequestId,
) -> list[LogRecord]:
    """Return what a read from `start` gets."""
    return [
        LogRecord(offset, encode(token, req))
        for offset, token in enumerate(log)
        if offset >= start
    ]


def read_back(state: State, req: RequestId, mutant: str) -> State:
    """Let the home read its stream on, by the real rules."""
    start, sealed, right = _home_reads(
        state.log,
        state.first,
        state.read,
        state.sealed,
        req,
        mutant,
    )
    return state._replace(
        read=start,
        sealed=sealed,
        right=state.right or right,
    )


@lru_cache(maxsize=None)
def _home_reads(
    log: tuple[str, ...],
    first: int,
    start: int,
    sealed: bool,
    req: RequestId,
    mutant: str,
) -> tuple[int, bool, bool]:
    if mutant == 'home overlooks forgotten records':
        start = max(start, first)
    journal = HomeJournal.resume(start, sealed=sealed)
    fresh = records(log, max(start, first), req)
    if mutant == 'home skips records of newer programs':
        fresh = [
            LogRecord(item.offset, item.data.replace('"v":2', '"v":'))
            for item in fresh
        ]
    rights = journal.read(fresh)
    return journal.next_offset, journal.sealed, str(req) in rights


@lru_cache(maxsize=None)
def reader_fate(
    log: tuple[str, ...],
    first: int,
    mode: JournalMode,
    req: RequestId,
    mutant: str,
    *,
    newer: bool,
) -> Fate:
    """Let another VM read the whole stream, by the real rules."""
    tokens = list(enumerate(log))[first:]
    if newer:
        tokens = [(at, SEAL if it == NEWER else it) for at, it in tokens]
    if mutant == 'reader skips corrupt records':
        tokens = [(at, it) for at, it in tokens if it != CORRUPT]
    if mutant == 'reader needs no seal':
        tokens.append((len(log), SEAL))
    if mutant in {
        'reader skips corrupt records',
        'reader overlooks forgotten records',
    }:
        tokens = [(at, it) for at, (_, it) in enumerate(tokens)]
    if mutant == 'reader takes the mode from the terms':
        marked = mode is JournalMode.BEFORE_DISPATCH
        req = request(marked=marked)
    view = JournalView()
    view.add(LogRecord(at, encode(it, req)) for at, it in tokens)
    return view.fate(req)
