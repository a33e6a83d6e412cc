"""Which terms are in force: a function of the log's order alone.

Every VM that has read the stream up to the same offset is in the same state.
A VM that has missed records does not guess: it takes the state over from a
peer that has read further, or from a renewal that stands exactly where its
writer expected it, and keeps the terms it has until then.
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
    decode,
    encode_renew,
)

RENEW_EVERY_S: Final = 60.0
KEPT_OUTCOMES: Final = 1000
Validate: TypeAlias = Callable[[str], Result[object, Problem]]


@dataclass(frozen=True)
class Applied:
    """The record put this version in force."""

    version: int


@dataclass(frozen=True)
class Renewed:
    """The record holds the terms in force for VMs that start later."""

    version: int


@dataclass(frozen=True)
class Ignored:
    """The record changed nothing."""

    problem: Problem


@dataclass(frozen=True)
class Accepted:
    """The publish is in force as this version, or was until a later one."""

    version: int


@dataclass(frozen=True)
class Lost:
    """Another publish, named here, was first to follow the same base."""

    publish_id: str
    by: str
    version: int


@dataclass(frozen=True)
class Refused:
    """The document is not a valid declaration."""

    problem: Problem


@dataclass(frozen=True)
class Unseen:
    """Not read here: it may stand further on, or may never have landed."""


PublishOutcome = Accepted | Lost | Refused | Unseen


class TermsLog:
    """The terms as far as this VM has read the stream."""

    def __init__(self, validate: Validate) -> None:
        """Start before offset 0, with version 0, which has no document."""
        self.version = 0
        self.document = ''
        self.position = 0  # the next offset to apply
        self.ignored = 0
        self._validate = validate
        self._first_offset = 0
        self._outcomes: OrderedDict[str, PublishOutcome] = OrderedDict()
        self._winners: OrderedDict[int, Lost] = OrderedDict()

    @property
    def anchored(self) -> bool:
        """Whether no record was missed.

        A VM that is not anchored holds terms that were in force once; it
        takes no caller's work on them, and it publishes and renews nothing.
        """
        return self.position >= self._first_offset

    def see_first_offset(self, first_offset: int) -> None:
        """Note what the log has forgotten; call before `apply` of a batch."""
        self._first_offset = max(self._first_offset, first_offset)

    def apply(self, offset: int, data: str) -> Applied | Renewed | Ignored:
        """Apply one record, in the log's order."""
        if offset < self.position:
            return _ignored('already applied', 'read on from `position`')
        if offset > self.position:
            self.see_first_offset(offset)
        verdict = self._judge(offset, decode(data))
        if self.anchored:
            self.position = offset + 1
        self.ignored += isinstance(verdict, Ignored)
        return verdict

    def learn(self, version: int, position: int, document: str) -> bool:
        """Take over a peer's state; never a lower version.

        `position` is the peer's `position`, so the state is the one that this
        VM would have after reading as far.
        """
        if position <= self.position or version < self.version:
            return False
        self._adopt(version, position, document)
        return True

    def outcome_of(self, publish_id: str) -> PublishOutcome:
        """Settle a publish whose reply was lost, or name who won.

        `Unseen` is not final: append the same record again or read on.
        """
        return self._outcomes.get(publish_id, Unseen())

    def renewal(self) -> str | None:
        """Return the record to append, if this VM can vouch for the terms."""
        if not self.anchored or not self.version:
            return None
        return encode_renew(self.version, self.document, self.position)

    def _judge(
        self,
        offset: int,
        decoded: Result[TermsRecord, Problem],
    ) -> Applied | Renewed | Ignored:
        record = decoded.ok()
        if isinstance(record, RenewRecord):
            return self._renew(offset, record)
        if not self.anchored:
            return _ignored(
                'records before it were missed',
                'ask a peer for terms or wait for a renewal',
            )
        if record is None:
            return Ignored(decoded.unwrap_err())
        return self._publish(record)

    def _renew(self, offset: int, record: RenewRecord) -> Renewed | Ignored:
        # A renewal that was overtaken by a publish is older than what it
        # follows. A VM that started on it would bring back old terms.
        if record.at != offset or record.version < self.version:
            return _ignored(
                'the renewal was overtaken by another record',
                'renew again from the terms now in force',
            )
        # A VM's renewal has the version in force. A higher one is an operator's
        # who found no terms on the log; were it taken by new VMs alone, they
        # and a VM that still holds terms would part for good.
        if not self.anchored or record.version > self.version:
            self._adopt(record.version, offset, record.document)
        return Renewed(record.version)

    def _publish(self, record: PublishRecord) -> Applied | Ignored:
        if record.base != self.version:
            return self._lose(record)
        validated = self._validate(record.document)
        if validated.is_err():
            problem = validated.unwrap_err()
            self._settle(record.publish_id, Refused(problem))
            return Ignored(problem)
        self.version = record.base + 1
        self.document = record.document
        self._settle(record.publish_id, Accepted(self.version))
        self._winners[self.version] = Lost(
            record.publish_id,
            record.by,
            self.version,
        )
        _trim(self._winners)
        return Applied(self.version)

    def _lose(self, record: PublishRecord) -> Ignored:
        winner = self._winners.get(record.base + 1)
        named = f' by {winner.by}' if winner else ''
        # Without the winner's name this may be a second copy of the winner
        # itself, whose publisher must not be told that it lost.
        if winner is not None and winner.publish_id != record.publish_id:
            self._settle(record.publish_id, winner)
        return Ignored(
            Problem(
                ErrorKind.CONFLICT,
                f'publish {record.publish_id} is based on version '
                + f'{record.base}, in force is {self.version}{named}',
                'read the terms in force and publish again from them',
            ),
        )

    def _settle(self, publish_id: str, outcome: PublishOutcome) -> None:
        self._outcomes[publish_id] = outcome
        _trim(self._outcomes)

    def _adopt(self, version: int, position: int, document: str) -> None:
        self.version = version
        self.document = document
        self.position = position


@dataclass
class RenewalTimer:
    """When this VM must write the terms again, on its monotonic clock.

    Only a renewal seen to land counts: one read at start may be about to be
    forgotten, and then no VM that starts later would find the terms.
    """

    every_s: float = RENEW_EVERY_S
    _seen_at: float | None = None

    def saw_renewal(self, now: float) -> None:
        """Note a `Renewed` that was read at the log's tail."""
        self._seen_at = now

    def due(self, now: float) -> bool:
        """Whether no renewal landed for `every_s`."""
        return self._seen_at is None or now - self._seen_at >= self.every_s


def _ignored(detail: str, remedy: str) -> Ignored:
    return Ignored(Problem(ErrorKind.BAD_RECORD, detail, remedy))


def _trim(
    kept: OrderedDict[str, PublishOutcome] | OrderedDict[int, Lost],
) -> None:
    while len(kept) > KEPT_OUTCOMES:
        kept.popitem(last=False)
