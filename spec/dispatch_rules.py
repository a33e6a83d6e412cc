"""State of the dispatch models, and the production rules applied to it."""

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
COMPLETE_SEAL: Final = 'complete seal'
CORRUPT: Final = 'corrupt record'
NEWER_SEAL: Final = 'seal of a newer program'


class State(NamedTuple):
    """State of the log and the home, and what the caller was told."""

    log: tuple[str, ...] = ()
    first_offset: int = 0  # the log dropped the records below
    in_flight: tuple[str, ...] = ()  # appends that may land, late or never
    mode: JournalMode = JournalMode.BEFORE_DISPATCH  # by the terms
    alive: bool = True
    home: str = 'idle'  # asked, running, done, void, stopped
    next_offset: int = 0
    sealed: bool = False
    may_dispatch: bool = False
    dispatch_count: int = 0
    told_not_run: bool = False
    told_ended: bool = False


def make_request_id(*, marked: bool) -> RequestId:
    """Return the only request id of the model."""
    return RequestId(Ticket('10.0.0.1', 8080, 'a1', 0, marked), 'slot-7')


@lru_cache
def encode_token(token: str, req: RequestId) -> str:
    """Return the record that a token of the model represents."""
    return {
        INTENT: encode_intent(req),
        OUTCOME: encode_outcome(req, Outcome.DONE, 200, 'text/plain', b'ok'),
        SEAL: encode_seal('another VM'),
        COMPLETE_SEAL: encode_seal('the home', complete=True),
        CORRUPT: '{"v":1,"kind":"inte',
        NEWER_SEAL: '{"v":2,"kind":"seal","by":"a newer VM"}',
    }[token]


def read_records(
    log: tuple[str, ...],
    start: int,
    req: RequestId,
) -> list[LogRecord]:
    """Return the records that a read from `start` returns."""
    return [
        LogRecord(offset, encode_token(token, req))
        for offset, token in enumerate(log)
        if offset >= start
    ]


def read_journal(state: State, req: RequestId, mutant: str) -> State:
    """Let the home read the rest of its journal, by the production rules."""
    next_offset, sealed, is_dispatchable = _read_as_home(
        state.log,
        state.first_offset,
        state.next_offset,
        state.sealed,
        req,
        mutant,
    )
    return state._replace(
        next_offset=next_offset,
        sealed=sealed,
        may_dispatch=state.may_dispatch or is_dispatchable,
    )


@lru_cache(maxsize=None)
def _read_as_home(
    log: tuple[str, ...],
    first_offset: int,
    next_offset: int,
    sealed: bool,
    req: RequestId,
    mutant: str,
) -> tuple[int, bool, bool]:
    if mutant == 'home overlooks forgotten records':
        next_offset = max(next_offset, first_offset)
    journal = HomeJournal.resume(next_offset, sealed=sealed)
    unread = read_records(log, max(next_offset, first_offset), req)
    if mutant == 'home skips records of newer programs':
        unread = [
            LogRecord(item.offset, item.data.replace('"v":2', '"v":'))
            for item in unread
        ]
    dispatchable_ids = journal.read(unread)
    return journal.next_offset, journal.sealed, str(req) in dispatchable_ids


@lru_cache(maxsize=None)
def read_fate(
    log: tuple[str, ...],
    first_offset: int,
    mode: JournalMode,
    req: RequestId,
    mutant: str,
    *,
    newer: bool,
) -> Fate:
    """Return what another VM concludes from the whole journal."""
    entries = list(enumerate(log))[first_offset:]
    if newer:
        entries = [(at, SEAL if it == NEWER_SEAL else it) for at, it in entries]
    if mutant == 'reader skips corrupt records':
        entries = [(at, it) for at, it in entries if it != CORRUPT]
    if mutant == 'reader needs no seal':
        entries.append((len(log), SEAL))
    if mutant in {
        'reader skips corrupt records',
        'reader overlooks forgotten records',
    }:
        entries = [(at, it) for at, (_, it) in enumerate(entries)]
    if mutant == 'reader takes the mode from the terms':
        marked = mode is JournalMode.BEFORE_DISPATCH
        req = make_request_id(marked=marked)
    view = JournalView()
    view.add(LogRecord(at, encode_token(it, req)) for at, it in entries)
    return view.fate(req)
