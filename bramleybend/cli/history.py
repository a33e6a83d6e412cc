"""The terms stream, read to its tail: what was published and what became."""

from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from bramleybend.clients.log_service import (
    TERMS_STREAM,
    LogBatch,
    LogRecord,
    LogService,
)
from bramleybend.declarations import parse_terms
from bramleybend.errors import ErrorKind, Problem
from bramleybend.models import Terms
from bramleybend.state.terms_records import (
    PublishRecord,
    RenewRecord,
    decode_terms_record,
)
from bramleybend.state.terms_rules import (
    Applied,
    Ignored,
    PublishOutcome,
    Renewed,
    TermsState,
)

RENEWED_BY: Final = '(renewal)'
# Documents are up to 1 MiB, and a reply of the log may have 16 MiB.
READ_AT_ONCE: Final = 8
# Terms are renewed every minute, and 4,800 changes a day are three a minute.
LOOK_BACK: Final = 64


@dataclass(frozen=True)
class Publish:
    """One publish on the log, in the log's order."""

    offset: int
    version: int | None  # none if it was not accepted
    base: int
    by: str
    publish_id: str
    refused: str = ''


@dataclass(frozen=True)
class Version:
    """One accepted version."""

    number: int
    document: str
    by: str


class History:
    """Follows the stream by the same rules as every VM."""

    def __init__(self, log: LogService) -> None:
        """Start before the first record."""
        self.publishes: list[Publish] = []
        self.versions: dict[int, Version] = {}
        self._log = log
        self._terms = TermsState(_validate)
        self._next = 0

    @property
    def current(self) -> int:
        """The version in force at the tail that was read."""
        return self._terms.version

    @property
    def document(self) -> str:
        """The text of the current version."""
        return self._terms.document

    @property
    def anchored(self) -> bool:
        """Whether the terms in force are known from the log."""
        return self._terms.is_gapless

    @property
    def next_offset(self) -> int:
        """The offset after the last record read."""
        return self._next

    def outcome_of(self, publish_id: str) -> PublishOutcome:
        """Return what became of a publish, as far as was read."""
        return self._terms.publish_outcome(publish_id)

    async def read_on(self) -> Result[None, Problem]:
        """Read to the tail; a log that has forgotten the terms is an error."""
        read = await self.read_to_tail()
        return read.and_then(lambda _: self._check_anchored())

    async def read_recent(self) -> Result[None, Problem]:
        """Read from the last renewal on, as a VM that starts late may.

        Each document costs a validation, up to half a second for a large one,
        and a day may bring thousands; most commands need the newest alone.
        """
        first = await self._log.read(TERMS_STREAM, 0, 1)
        if first.is_err():
            return Err(first.unwrap_err())
        self._next = await self._last_renewal(first.unwrap())
        return await self.read_on()

    async def read_to_tail(self) -> Result[None, Problem]:
        """Read from where the last read ended to the tail."""
        while True:
            before = self._next
            batch = await self._log.read(TERMS_STREAM, before, READ_AT_ONCE)
            if batch.is_err():
                return Err(batch.unwrap_err())
            self._take(batch.unwrap())
            if self._next >= batch.unwrap().next_offset:
                return Ok(None)
            if self._next == before:
                return Err(_stuck(before))

    async def _last_renewal(self, first: LogBatch) -> int:
        end = first.next_offset
        lowest = max(first.first_offset, end - LOOK_BACK)
        while end > lowest:
            start = max(lowest, end - READ_AT_ONCE)
            batch = await self._log.read(TERMS_STREAM, start, end - start)
            records = batch.map(lambda read: read.records).unwrap_or(())
            for record in reversed(records):
                if _is_renewal(record):
                    return record.offset
            end = start
        return first.first_offset

    def _take(self, batch: LogBatch) -> None:
        self._terms.advance_first_offset(batch.first_offset)
        self._next = max(self._next, batch.first_offset)
        for record in batch.records:
            self._next = record.offset + 1
            self._apply(record)

    def _apply(self, record: LogRecord) -> None:
        verdict = self._terms.apply(record.offset, record.data)
        decoded = decode_terms_record(record.data).ok()
        match decoded:
            case PublishRecord():
                self._note_publish(record.offset, decoded, verdict)
            case RenewRecord() if isinstance(verdict, Renewed):
                version = Version(
                    decoded.version,
                    decoded.document,
                    RENEWED_BY,
                )
                self.versions.setdefault(version.number, version)

    def _note_publish(
        self,
        offset: int,
        record: PublishRecord,
        verdict: Applied | Renewed | Ignored,
    ) -> None:
        number = verdict.version if isinstance(verdict, Applied) else None
        refused = str(verdict.problem) if isinstance(verdict, Ignored) else ''
        self.publishes.append(
            Publish(
                offset,
                number,
                record.base,
                record.by,
                record.publish_id,
                refused,
            ),
        )
        if number is not None:
            version = Version(number, record.document, record.by)
            self.versions[number] = version

    def _check_anchored(self) -> Result[None, Problem]:
        if self.anchored:
            return Ok(None)
        return Err(
            Problem(
                ErrorKind.LOG_UNAVAILABLE,
                'the log has forgotten the terms and holds no renewal of them',
                'wait a minute for a VM to renew them; if no VM is left that '
                'knows them, see `bramleybend-ctl recover --help`',
            ),
        )


def _validate(document: str) -> Result[Terms, Problem]:
    return parse_terms(document, 0)


def _is_renewal(record: LogRecord) -> bool:
    renewal = decode_terms_record(record.data).ok()
    return isinstance(renewal, RenewRecord) and renewal.at == record.offset


def _stuck(offset: int) -> Problem:
    return Problem(
        ErrorKind.LOG_UNAVAILABLE,
        f'the log shows records after offset {offset} but returns none',
        'see to the log service; nothing was appended',
    )
