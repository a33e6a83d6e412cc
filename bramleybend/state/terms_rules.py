"""Rules by which the log's records decide which terms are in force.

The result depends only on the order of the records, so all VMs that have read
the stream up to the same offset are in the same state. A VM that has missed
records keeps its terms until it can adopt the state of a peer that has read
further, or a renewal that landed at the offset its writer expected.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeAlias

from result import Result

from bramleybend.errors import ErrorKind, Problem
from bramleybend.state.terms_records import (
    PublishRecord,
    RenewRecord,
    TermsRecord,
    decode_terms_record,
    encode_renew,
)

RENEW_EVERY_S: Final = 60.0
MAX_OUTCOMES: Final = 1000
DocumentValidator: TypeAlias = Callable[[str], Result[object, Problem]]


@dataclass(frozen=True)
class Applied:
    """The record put this version in force."""

    version: int


@dataclass(frozen=True)
class Renewed:
    """The record repeats the terms in force for VMs that start later."""

    version: int


@dataclass(frozen=True)
class Ignored:
    """The record changed nothing."""

    problem: Problem


@dataclass(frozen=True)
class PublishAccepted:
    """The publish became this version; a later one may have replaced it."""

    version: int


@dataclass(frozen=True)
class PublishConflict:
    """Another publish, identified here, followed the same base first."""

    publish_id: str
    publisher: str
    version: int


@dataclass(frozen=True)
class PublishRejected:
    """The document is not a valid declaration."""

    problem: Problem


@dataclass(frozen=True)
class PublishNotSeen:
    """Not read yet: it may be further on in the log, or was never appended."""


PublishOutcome = (
    PublishAccepted | PublishConflict | PublishRejected | PublishNotSeen
)


class TermsState:
    """The terms according to the records that this VM has read."""

    def __init__(self, validate: DocumentValidator) -> None:
        """Start at offset 0 with version 0, which has no document."""
        self.version = 0
        self.document = ''
        self.next_offset = 0  # the next offset to apply
        self.ignored_count = 0
        self._validate = validate
        self._first_offset = 0
        self._outcomes: OrderedDict[str, PublishOutcome] = OrderedDict()
        self._winners: OrderedDict[int, PublishConflict] = OrderedDict()

    @property
    def is_gapless(self) -> bool:
        """Whether no record was missed.

        After a gap a VM holds terms that may have been replaced. It accepts no
        work from callers under them, and publishes and renews nothing.
        """
        return self.next_offset >= self._first_offset

    def advance_first_offset(self, first_offset: int) -> None:
        """Set the log's first offset; call it before `apply` for each batch."""
        self._first_offset = max(self._first_offset, first_offset)

    def apply(self, offset: int, data: str) -> Applied | Renewed | Ignored:
        """Apply one record, in the log's order."""
        if offset < self.next_offset:
            return _make_ignored(
                'already applied', 'read on from `next_offset`'
            )
        if offset > self.next_offset:
            self.advance_first_offset(offset)
        verdict = self._apply_decoded(offset, decode_terms_record(data))
        if self.is_gapless:
            self.next_offset = offset + 1
        self.ignored_count += isinstance(verdict, Ignored)
        return verdict

    def adopt_peer_state(
        self, version: int, next_offset: int, document: str
    ) -> bool:
        """Adopt a peer's state if it has read further; return whether it did.

        `next_offset` is the peer's, so this VM gets the state that it would
        have after reading that far. A lower version is never adopted.
        """
        if next_offset <= self.next_offset or version < self.version:
            return False
        self._set_state(version, next_offset, document)
        return True

    def publish_outcome(self, publish_id: str) -> PublishOutcome:
        """Return what became of a publish, also after a lost reply.

        `PublishNotSeen` isn't final: append the same record again or read on.
        """
        return self._outcomes.get(publish_id, PublishNotSeen())

    def build_renewal(self) -> str | None:
        """Return a renewal to append, or None if records were missed."""
        if not self.is_gapless or not self.version:
            return None
        return encode_renew(self.version, self.document, self.next_offset)

    def _apply_decoded(
        self,
        offset: int,
        decoded: Result[TermsRecord, Problem],
    ) -> Applied | Renewed | Ignored:
        record = decoded.ok()
        if isinstance(record, RenewRecord):
            return self._apply_renewal(offset, record)
        if not self.is_gapless:
            return _make_ignored(
                'records before it were missed',
                'ask a peer for terms or wait for a renewal',
            )
        if record is None:
            return Ignored(decoded.unwrap_err())
        return self._apply_publish(record)

    def _apply_renewal(
        self, offset: int, record: RenewRecord
    ) -> Renewed | Ignored:
        # If a publish landed before the renewal, the renewal repeats terms
        # that were replaced. A VM that started from it would revert them.
        if record.at != offset or record.version < self.version:
            return _make_ignored(
                'the renewal was overtaken by another record',
                'renew again from the terms now in force',
            )
        # A VM's renewal repeats the version in force. A higher version is from
        # an operator who found no terms on the log. If only new VMs adopted
        # it, they and a VM that still holds terms would differ for good.
        if not self.is_gapless or record.version > self.version:
            self._set_state(record.version, offset, record.document)
        return Renewed(record.version)

    def _apply_publish(self, record: PublishRecord) -> Applied | Ignored:
        if record.base != self.version:
            return self._ignore_conflict(record)
        validated = self._validate(record.document)
        if validated.is_err():
            problem = validated.unwrap_err()
            self._record_outcome(record.publish_id, PublishRejected(problem))
            return Ignored(problem)
        self.version = record.base + 1
        self.document = record.document
        self._record_outcome(record.publish_id, PublishAccepted(self.version))
        self._winners[self.version] = PublishConflict(
            record.publish_id,
            record.by,
            self.version,
        )
        _evict_oldest(self._winners)
        return Applied(self.version)

    def _ignore_conflict(self, record: PublishRecord) -> Ignored:
        winner = self._winners.get(record.base + 1)
        by_winner = f' by {winner.publisher}' if winner else ''
        # If the winner isn't known, this record may be a second copy of the
        # winner itself, whose publisher must not be told of a conflict.
        if winner is not None and winner.publish_id != record.publish_id:
            self._record_outcome(record.publish_id, winner)
        return Ignored(
            Problem(
                ErrorKind.CONFLICT,
                f'publish {record.publish_id} is based on version '
                + f'{record.base}, in force is {self.version}{by_winner}',
                'read the terms in force and publish again from them',
            ),
        )

    def _record_outcome(self, publish_id: str, outcome: PublishOutcome) -> None:
        self._outcomes[publish_id] = outcome
        _evict_oldest(self._outcomes)

    def _set_state(self, version: int, next_offset: int, document: str) -> None:
        self.version = version
        self.document = document
        self.next_offset = next_offset


@dataclass
class RenewalTimer:
    """Decides when this VM has to append a renewal, by the monotonic clock.

    Only a renewal that this VM saw land counts. The log may soon drop one that
    was there at the start, and VMs that start later would find no terms.
    """

    every_s: float = RENEW_EVERY_S
    _renewed_at: float | None = None

    def saw_renewal(self, now: float) -> None:
        """Record the time at which a renewal was read at the log's tail."""
        self._renewed_at = now

    def due(self, now: float) -> bool:
        """Whether no renewal has landed for `every_s`."""
        return (
            self._renewed_at is None or now - self._renewed_at >= self.every_s
        )


def _make_ignored(detail: str, remedy: str) -> Ignored:
    return Ignored(Problem(ErrorKind.BAD_RECORD, detail, remedy))


def _evict_oldest(
    kept: OrderedDict[str, PublishOutcome] | OrderedDict[int, PublishConflict],
) -> None:
    while len(kept) > MAX_OUTCOMES:
        kept.popitem(last=False)
