"""Replays the terms stream: all publishes, their outcomes and versions."""

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
# Documents have up to 1 MiB, and a reply of the log may have up to 16 MiB.
READ_BATCH_RECORDS: Final = 8
# Records searched for the last renewal. Terms are renewed every minute, and
# 4,800 changes a day are about three a minute.
LOOKBACK_RECORDS: Final = 64


@dataclass(frozen=True)
class Publish:
    """One publish record of the log."""

    offset: int
    version: int | None  # `None` if it was not accepted
    base: int
    by: str
    publish_id: str
    refused: str = ''


@dataclass(frozen=True)
class Version:
    """One accepted version of the terms."""

    number: int
    document: str
    by: str


class History:
    """Applies the terms stream by the same rules as every VM."""

    def __init__(self, log: LogService) -> None:
        """Start at the beginning of the stream."""
        self.publishes: list[Publish] = []
        self.versions: dict[int, Version] = {}
        self._log = log
        self._terms = TermsState(_validate)
        self._next_offset = 0

    @property
    def current(self) -> int:
        """The version in force after the last record read."""
        return self._terms.version

    @property
    def document(self) -> str:
        """The declaration of the current version."""
        return self._terms.document

    @property
    def is_anchored(self) -> bool:
        """Whether the log still determines which terms are in force."""
        return self._terms.is_gapless

    @property
    def next_offset(self) -> int:
        """The offset after the last record read."""
        return self._next_offset

    def outcome_of(self, publish_id: str) -> PublishOutcome:
        """Return the outcome of a publish, as far as the stream was read."""
        return self._terms.publish_outcome(publish_id)

    async def read_and_check(self) -> Result[None, Problem]:
        """Read to the tail; return an error if the log has lost the terms."""
        read = await self.read_to_tail()
        return read.and_then(lambda _: self._check_anchored())

    async def read_recent(self) -> Result[None, Problem]:
        """Read from the last renewal to the tail.

        Validating a large document takes up to half a second, and there may
        be thousands a day; most commands only need the newest.
        """
        first = await self._log.read(TERMS_STREAM, 0, 1)
        if first.is_err():
            return Err(first.unwrap_err())
        self._next_offset = await self._find_last_renewal(first.unwrap())
        return await self.read_and_check()

    async def read_to_tail(self) -> Result[None, Problem]:
        """Read from the end of the last read to the tail."""
        while True:
            start_offset = self._next_offset
            batch = await self._log.read(
                TERMS_STREAM, start_offset, READ_BATCH_RECORDS
            )
            if batch.is_err():
                return Err(batch.unwrap_err())
            self._apply_batch(batch.unwrap())
            if self._next_offset >= batch.unwrap().next_offset:
                return Ok(None)
            if self._next_offset == start_offset:
                return Err(_make_stuck_problem(start_offset))

    async def _find_last_renewal(self, first: LogBatch) -> int:
        end = first.next_offset
        lowest_offset = max(first.first_offset, end - LOOKBACK_RECORDS)
        while end > lowest_offset:
            start = max(lowest_offset, end - READ_BATCH_RECORDS)
            batch = await self._log.read(TERMS_STREAM, start, end - start)
            records = batch.map(lambda read: read.records).unwrap_or(())
            for record in reversed(records):
                if _is_renewal(record):
                    return record.offset
            end = start
        return first.first_offset

    def _apply_batch(self, batch: LogBatch) -> None:
        self._terms.advance_first_offset(batch.first_offset)
        self._next_offset = max(self._next_offset, batch.first_offset)
        for record in batch.records:
            self._next_offset = record.offset + 1
            self._apply_record(record)

    def _apply_record(self, record: LogRecord) -> None:
        verdict = self._terms.apply(record.offset, record.data)
        decoded = decode_terms_record(record.data).ok()
        match decoded:
            case PublishRecord():
                self._add_publish(record.offset, decoded, verdict)
            case RenewRecord() if isinstance(verdict, Renewed):
                version = Version(
                    decoded.version,
                    decoded.document,
                    RENEWED_BY,
                )
                self.versions.setdefault(version.number, version)

    def _add_publish(
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
        if self.is_anchored:
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


def _make_stuck_problem(offset: int) -> Problem:
    return Problem(
        ErrorKind.LOG_UNAVAILABLE,
        f'the log shows records after offset {offset} but returns none',
        'check the log service; nothing was appended',
    )
