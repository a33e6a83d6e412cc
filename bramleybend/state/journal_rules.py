"""Rules by which a home's journal decides which requests may be dispatched.

Only the order of the records in the log counts. A seal ends the stream: an
intent allows a dispatch only if it precedes every seal. A VM that has read a
seal therefore knows that no record behind it can allow another dispatch. Lost
replies, duplicate appends and late appends don't affect the result.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final, Self, TypeVar

from bramleybend.answers import Outcome
from bramleybend.clients.log_service import LogRecord
from bramleybend.state.journal_records import (
    IntentRecord,
    JournalRecord,
    OutcomeRecord,
    SealRecord,
    decode_journal_record,
)
from bramleybend.state.json_record import SCHEMA_VERSION
from bramleybend.state.tickets import RequestId, parse_request_id

_EpochValue = TypeVar('_EpochValue')

RETAINED_EPOCHS: Final = 4  # as many as a home keeps in its id table


@dataclass(frozen=True)
class Ended:
    """The request ended; `record.answer` is None if no body was recorded."""

    record: OutcomeRecord


@dataclass(frozen=True)
class NotRun:
    """The journal proves that the request never was or will be dispatched."""


@dataclass(frozen=True)
class Unknown:
    """The request may have been dispatched, or may still be."""

    reason: str


Fate = Ended | NotRun | Unknown


@dataclass(frozen=True)
class _Unreadable:
    """Records that the log dropped or that failed to decode.

    Any of them may be an intent.
    """

    may_be_seal: bool


@dataclass
class _StreamReader:
    """Decodes the records of one stream in order, starting at offset 0."""

    next_offset: int = 0
    bad_record_count: int = 0

    def read(
        self,
        records: Iterable[LogRecord],
    ) -> Iterator[JournalRecord | _Unreadable]:
        """Yield the decoded records; skip those that were read before."""
        for record in records:
            if record.offset < self.next_offset:
                continue
            if record.offset > self.next_offset:
                yield _Unreadable(may_be_seal=True)
            self.next_offset = record.offset + 1
            yield self._decode_record(record.data)

    def _decode_record(self, text: str) -> JournalRecord | _Unreadable:
        decoded = decode_journal_record(text)
        if decoded.is_err():
            self.bad_record_count += 1
        # A record of another schema version may be a seal, and a VM that can
        # decode it would report `not run`; so it is treated as a seal. Text
        # that no release can decode is not a seal for any VM, and it keeps
        # every VM from reporting `not run`.
        return decoded.unwrap_or(
            _Unreadable(may_be_seal=_has_other_version(text))
        )


@dataclass
class HomeJournal:
    """A home's own journal, as far as the home has read it back.

    A home dispatches only after it has read its intent back. If it relied on
    the reply to its append, a home that was paused could dispatch after
    another VM had sealed the stream and reported `not run` to the caller.
    """

    sealed: bool = False
    _stream: _StreamReader = field(default_factory=_StreamReader)

    @classmethod
    def resume(cls, next_offset: int, *, sealed: bool) -> Self:
        """Continue at the offset where an earlier read ended."""
        return cls(sealed=sealed, _stream=_StreamReader(next_offset))

    @property
    def next_offset(self) -> int:
        """Return the next offset to read."""
        return self._stream.next_offset

    @property
    def bad_record_count(self) -> int:
        """Return how many records failed to decode."""
        return self._stream.bad_record_count

    def read(self, records: Iterable[LogRecord]) -> frozenset[str]:
        """Apply the next records; return the ids that may now be dispatched.

        Returns no id once the journal is sealed. This incarnation then accepts
        no more `before_dispatch` work, and its VM starts a new incarnation.
        """
        dispatchable_ids: set[str] = set()
        for record in self._stream.read(records):
            self.sealed = self.sealed or _may_be_seal(record)
            if isinstance(record, IntentRecord) and not self.sealed:
                dispatchable_ids.add(record.req)
        return frozenset(dispatchable_ids)


@dataclass
class JournalView:
    """The journal of a lost home, as far as another VM has read it.

    Keeps ids for as many ticket epochs as a home does; older ids are reported
    as `Unknown`.
    """

    sealed: bool = False
    is_gapless_to_seal: bool = True  # all records up to the first seal read
    complete: bool = False  # the home's last seal covers every dispatch
    _is_gapless: bool = True  # no unreadable record so far
    _newest_epoch: int = 0
    _stream: _StreamReader = field(default_factory=_StreamReader)
    _intents: dict[int, set[str]] = field(default_factory=dict)
    _outcomes: dict[int, dict[str, OutcomeRecord]] = field(
        default_factory=dict,
    )

    @property
    def next_offset(self) -> int:
        """Return the next offset to read."""
        return self._stream.next_offset

    @property
    def bad_record_count(self) -> int:
        """Return how many records failed to decode."""
        return self._stream.bad_record_count

    def add(self, records: Iterable[LogRecord]) -> None:
        """Apply records from `next_offset` on."""
        for record in self._stream.read(records):
            if isinstance(record, _Unreadable):
                self._apply_unreadable(record)
            elif isinstance(record, SealRecord):
                self.sealed = True
                self.complete |= record.complete and self._is_gapless
            else:
                self._store_record(record)

    def fate(self, request_id: RequestId) -> Fate:
        """Return what the journal proves about a request of the lost home.

        A missing intent proves `NotRun` only if the home needed an intent for
        this id, which the mark of its ticket shows, and only if a seal keeps
        a late intent from allowing a dispatch.
        """
        epoch = request_id.ticket.epoch
        ended = self._outcomes.get(epoch, {}).get(str(request_id))
        if ended is not None:
            return NotRun() if _is_not_run(ended) else Ended(ended)
        if str(request_id) in self._intents.get(epoch, ()):
            return Unknown('it was about to run when its home was lost')
        if epoch <= self._newest_epoch - RETAINED_EPOCHS:
            return Unknown('its ticket is older than what is remembered')
        return self._fate_without_record(request_id)

    def _fate_without_record(self, request_id: RequestId) -> Fate:
        if self.complete:
            return NotRun()
        if not request_id.ticket.intent_first:
            return Unknown('its home may have run it before telling the log')
        if self.sealed and self.is_gapless_to_seal:
            return NotRun()
        return Unknown('the journal of its home has no seal or has gaps')

    def _apply_unreadable(self, lost: _Unreadable) -> None:
        # An intent behind the seal allows no dispatch, so records that are
        # unreadable there don't hide a dispatch.
        self.is_gapless_to_seal = self.is_gapless_to_seal and self.sealed
        self._is_gapless = False
        self.sealed = self.sealed or lost.may_be_seal

    def _store_record(self, record: IntentRecord | OutcomeRecord) -> None:
        ticket = parse_request_id(record.req).unwrap().ticket
        epoch = ticket.epoch
        self._newest_epoch = max(self._newest_epoch, epoch)
        if isinstance(record, OutcomeRecord):
            outcomes = self._outcomes.setdefault(epoch, {})
            outcomes.setdefault(record.req, record)
        elif not (self.sealed and ticket.intent_first):
            # An intent behind the seal doesn't allow the home to dispatch an
            # id under an `intent_first` ticket, so such intents are skipped.
            self._intents.setdefault(epoch, set()).add(record.req)
        _drop_epochs(self._intents, self._newest_epoch - RETAINED_EPOCHS)
        _drop_epochs(self._outcomes, self._newest_epoch - RETAINED_EPOCHS)


def fate(records: Iterable[LogRecord], request_id: RequestId) -> Fate:
    """Resolve the request of a lost home from the home's whole journal."""
    view = JournalView()
    view.add(records)
    return view.fate(request_id)


def _may_be_seal(record: JournalRecord | _Unreadable) -> bool:
    if isinstance(record, _Unreadable):
        return record.may_be_seal
    return isinstance(record, SealRecord)


def _is_not_run(ended: OutcomeRecord) -> bool:
    return ended.outcome is Outcome.NOT_RUN


def _drop_epochs(by_epoch: dict[int, _EpochValue], last_dropped: int) -> None:
    for epoch in sorted(by_epoch):
        if epoch <= last_dropped:
            by_epoch.pop(epoch)


def _has_other_version(text: str) -> bool:
    try:
        parsed = json.loads(text)
    except (json.JSONDecodeError, RecursionError):
        return False
    version = parsed.get('v') if isinstance(parsed, dict) else None
    return isinstance(version, int) and version != SCHEMA_VERSION
