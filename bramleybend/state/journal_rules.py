"""What a home's journal proves, to the home itself and to others.

The log's order is the only judge. A seal ends the stream: an intent gives a
right only if it stands before every seal, so whoever reads a seal knows that
nothing it has not yet read can become a right. Lost replies and duplicate or
late appends change nothing, since only places in the stream count.
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
    decode,
)
from bramleybend.state.json_record import SCHEMA_VERSION
from bramleybend.state.tickets import RequestId, parse_request_id

_Kept = TypeVar('_Kept')

KEPT_EPOCHS: Final = 4  # as long as a home remembers its ids


@dataclass(frozen=True)
class Ended:
    """The request ended; `record.answer` is None where the body is lost."""

    record: OutcomeRecord


@dataclass(frozen=True)
class NotRun:
    """Proved: the request was not dispatched and never will be."""


@dataclass(frozen=True)
class Unknown:
    """The request may have run or may still."""

    reason: str


Fate = Ended | NotRun | Unknown


@dataclass(frozen=True)
class _Lost:
    """Records forgotten or not understood; any of them may be an intent."""

    may_be_seal: bool


@dataclass
class _Stream:
    """Reads one stream in order, from offset 0 on."""

    next_offset: int = 0
    bad_records: int = 0

    def follow(
        self,
        records: Iterable[LogRecord],
    ) -> Iterator[JournalRecord | _Lost]:
        """Yield what the records say; those already read are passed over."""
        for record in records:
            if record.offset < self.next_offset:
                continue
            if record.offset > self.next_offset:
                yield _Lost(may_be_seal=True)
            self.next_offset = record.offset + 1
            yield self._understand(record.data)

    def _understand(self, text: str) -> JournalRecord | _Lost:
        decoded = decode(text)
        if decoded.is_err():
            self.bad_records += 1
        # A newer program may have written a seal, and another VM that reads
        # it says `not run`. What is no record for any program can't be taken
        # for a seal, and it keeps all VMs from saying `not run`.
        return decoded.unwrap_or(_Lost(may_be_seal=_is_newer(text)))


@dataclass
class HomeJournal:
    """A home's own stream as far as it was read back.

    Without the read-back a home that was paused over its append would
    dispatch after another VM had sealed the stream and told the caller that
    the request was not run.
    """

    sealed: bool = False
    _stream: _Stream = field(default_factory=_Stream)

    @classmethod
    def resume(cls, next_offset: int, *, sealed: bool) -> Self:
        """Go on where an earlier reading ended."""
        return cls(sealed=sealed, _stream=_Stream(next_offset))

    @property
    def next_offset(self) -> int:
        """Return where to read on."""
        return self._stream.next_offset

    @property
    def bad_records(self) -> int:
        """Return how many records were not understood."""
        return self._stream.bad_records

    def read(self, records: Iterable[LogRecord]) -> frozenset[str]:
        """Read on; return the ids whose right to be dispatched now stands.

        Once sealed it returns none ever again: this incarnation takes no more
        `before_dispatch` work, and its VM starts a new one.
        """
        rights: set[str] = set()
        for seen in self._stream.follow(records):
            self.sealed = self.sealed or _may_be_seal(seen)
            if isinstance(seen, IntentRecord) and not self.sealed:
                rights.add(seen.req)
        return frozenset(rights)


@dataclass
class JournalView:
    """A gone home's stream as another VM has read it.

    Ids are kept for as many ticket epochs as a home keeps them; what is older
    is `unknown`.
    """

    sealed: bool = False
    whole: bool = True  # nothing was lost before the first seal
    complete: bool = False  # the home's last seal tells of every dispatch
    _intact: bool = True
    _newest_epoch: int = 0
    _stream: _Stream = field(default_factory=_Stream)
    _intents: dict[int, set[str]] = field(default_factory=dict)
    _outcomes: dict[int, dict[str, OutcomeRecord]] = field(
        default_factory=dict,
    )

    @property
    def next_offset(self) -> int:
        """Return where to read on."""
        return self._stream.next_offset

    @property
    def bad_records(self) -> int:
        """Return how many records were not understood."""
        return self._stream.bad_records

    def add(self, records: Iterable[LogRecord]) -> None:
        """Read on from `next_offset`."""
        for seen in self._stream.follow(records):
            if isinstance(seen, _Lost):
                self._lose(seen)
            elif isinstance(seen, SealRecord):
                self.sealed = True
                self.complete |= seen.complete and self._intact
            else:
                self._remember(seen)

    def fate(self, request_id: RequestId) -> Fate:
        """Say what became of a request whose home is gone.

        A missing intent is proof only where the home needed one for this very
        id, which the ticket's mark tells, and only once a seal keeps a late
        intent from becoming a right.
        """
        epoch = request_id.ticket.epoch
        ended = self._outcomes.get(epoch, {}).get(str(request_id))
        if ended is not None:
            return NotRun() if _never_ran(ended) else Ended(ended)
        if str(request_id) in self._intents.get(epoch, ()):
            return Unknown('it was about to run when its home was lost')
        if epoch <= self._newest_epoch - KEPT_EPOCHS:
            return Unknown('its ticket is older than what is remembered')
        return self._without_record(request_id)

    def _without_record(self, request_id: RequestId) -> Fate:
        if self.complete:
            return NotRun()
        if not request_id.ticket.intent_first:
            return Unknown('its home may have run it before telling the log')
        if self.sealed and self.whole:
            return NotRun()
        return Unknown('the journal of its home has no seal or has gaps')

    def _lose(self, lost: _Lost) -> None:
        # What is lost after the seal hides no right: `whole` stays.
        self.whole = self.whole and self.sealed
        self._intact = False
        self.sealed = self.sealed or lost.may_be_seal

    def _remember(self, record: IntentRecord | OutcomeRecord) -> None:
        ticket = parse_request_id(record.req).unwrap().ticket
        epoch = ticket.epoch
        self._newest_epoch = max(self._newest_epoch, epoch)
        if isinstance(record, OutcomeRecord):
            outcomes = self._outcomes.setdefault(epoch, {})
            outcomes.setdefault(record.req, record)
        elif not (self.sealed and ticket.intent_first):
            # A marked id's intent behind the seal gives its home no right.
            self._intents.setdefault(epoch, set()).add(record.req)
        _drop_epochs(self._intents, self._newest_epoch - KEPT_EPOCHS)
        _drop_epochs(self._outcomes, self._newest_epoch - KEPT_EPOCHS)


def fate(records: Iterable[LogRecord], request_id: RequestId) -> Fate:
    """Say what became of a gone home's request, from its whole stream."""
    view = JournalView()
    view.add(records)
    return view.fate(request_id)


def _may_be_seal(seen: JournalRecord | _Lost) -> bool:
    if isinstance(seen, _Lost):
        return seen.may_be_seal
    return isinstance(seen, SealRecord)


def _never_ran(ended: OutcomeRecord) -> bool:
    return ended.outcome is Outcome.NOT_RUN


def _drop_epochs(by_epoch: dict[int, _Kept], newest: int) -> None:
    for epoch in sorted(by_epoch):
        if epoch <= newest:
            by_epoch.pop(epoch)


def _is_newer(text: str) -> bool:
    try:
        parsed = json.loads(text)
    except (json.JSONDecodeError, RecursionError):
        return False
    version = parsed.get('v') if isinstance(parsed, dict) else None
    return isinstance(version, int) and version != SCHEMA_VERSION
