"""Writes the journal of one home to its stream in the log service.

Records are appended in batches, so that each home causes few appends a second
at any load. A request that needs its intent in the log before dispatch waits
until the batch has been appended and read back; other records are queued and
written later.
"""

import asyncio
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from typing import Final

from result import Err, Ok

from bramleybend.clients.log_service import LogBatch, LogService
from bramleybend.errors import ErrorKind
from bramleybend.events import EventLog
from bramleybend.metrics import Metric, Metrics
from bramleybend.state.journal_records import encode_seal, stream_of
from bramleybend.state.journal_rules import HomeJournal

# Delays each waiting request so that intents are batched. 5 ms allow a home at
# most 200 appends a second; in practice the log's round trips limit them.
INTENT_BATCH_DELAY_S: Final = 0.005
RECORD_FLUSH_INTERVAL_S: Final = 0.25
LOG_DOWN_RETRY_S: Final = 0.5
MAX_BATCH: Final = 200
# A planned stop must not wait for the end of a log outage. A journal that is
# not sealed as complete only proves less: more requests end as `unknown`.
CLOSE_TIMEOUT_S: Final = 5.0
CLOSE_RETRY_DELAY_S: Final = 0.1
MAYBE_APPENDED: Final = frozenset((None, ErrorKind.LOG_REPLY_LOST))
# Limits memory in a log outage: 20,000 records of 200 bytes are 4 MB. Records
# beyond that are dropped; a request without its record may end as `unknown`.
MAX_QUEUED_RECORDS: Final = 20_000


@dataclass(frozen=True)
class PendingIntent:
    """An intent record, and the result that its request waits for."""

    request_id: str
    record: str
    may_dispatch: asyncio.Future[bool]


class JournalWriter:
    """Appends the intents and outcomes of one incarnation."""

    def __init__(
        self,
        log: LogService,
        incarnation: str,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        """Start with an empty stream; `run` does the writing."""
        self.journal = HomeJournal()
        self.log_ok = True
        self._log = log
        self._stream = stream_of(incarnation)
        self._incarnation = incarnation
        self._events = events
        self._metrics = metrics
        self._pending_intents: deque[PendingIntent] = deque()
        self._queued_records: deque[str] = deque(maxlen=MAX_QUEUED_RECORDS)
        self._intent_added = asyncio.Event()
        self._queue_lock = asyncio.Lock()

    @property
    def is_sealed(self) -> bool:
        """Whether a seal has been read, so that no intent counts any more."""
        return self.journal.sealed

    def queue_record(self, record: str) -> None:
        """Queue a record to be written later."""
        self._queued_records.append(record)

    async def write_intent(self, request_id: str, record: str) -> bool:
        """Write an intent; return whether its request may be dispatched.

        False is final: the request must not be dispatched, even if the append
        succeeds later.
        """
        if self.is_sealed:
            return False
        may_dispatch: asyncio.Future[bool] = asyncio.Future()
        self._pending_intents.append(
            PendingIntent(request_id, record, may_dispatch)
        )
        self._intent_added.set()
        return await may_dispatch

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self._wait_for_work()
            if self._pending_intents:
                await self._write_intents()
            elif self._queued_records:
                await self._write_queued()

    async def close(self) -> None:
        """Write the queued records and a seal, for a planned stop.

        The seal marks the journal as complete. To a reader, a request without
        a record was then never dispatched.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._flush_and_seal()

    async def _flush_and_seal(self) -> None:
        while self._queued_records:
            await self._write_queued()
            if not self.log_ok:
                await asyncio.sleep(CLOSE_RETRY_DELAY_S)
        # A batch that `run` is appending is no longer in the queue. Without
        # the lock it could land behind a seal that says "complete".
        async with self._queue_lock:
            if not self._queued_records and not self.is_sealed:
                await self._seal()

    async def _seal(self) -> None:
        seal = encode_seal(self._incarnation, complete=True)
        await self._log.append(self._stream, (seal,))

    async def _wait_for_work(self) -> None:
        wait_s = RECORD_FLUSH_INTERVAL_S if self.log_ok else LOG_DOWN_RETRY_S
        try:
            async with asyncio.timeout(wait_s):
                await self._intent_added.wait()
        except TimeoutError:
            return
        self._intent_added.clear()
        await asyncio.sleep(INTENT_BATCH_DELAY_S)

    async def _write_intents(self) -> None:
        count = min(len(self._pending_intents), MAX_BATCH)
        batch = [self._pending_intents.popleft() for _ in range(count)]
        failure = await self._append([intent.record for intent in batch])
        allowed: frozenset[str] = frozenset()
        if failure in MAYBE_APPENDED:
            allowed = await self._read_back(may_repeat=failure is None)
        for intent in batch:
            if not intent.may_dispatch.done():
                intent.may_dispatch.set_result(intent.request_id in allowed)
        if self._pending_intents:
            self._intent_added.set()

    async def _write_queued(self) -> None:
        async with self._queue_lock:
            count = min(len(self._queued_records), MAX_BATCH)
            batch = [self._queued_records.popleft() for _ in range(count)]
            if batch and await self._append(batch) is not None:
                # The append may have succeeded although its reply was lost.
                # Readers ignore a second copy of a record.
                self._queued_records.extendleft(reversed(batch))

    async def _append(self, records: list[str]) -> ErrorKind | None:
        """Append records; return the kind of error, or None if it succeeded."""
        match await self._log.append(self._stream, records):
            case Ok():
                self.log_ok = True
                return None
            case Err(problem):
                self.log_ok = False
                self._metrics.count(Metric.LOG_ERRORS)
                self._events.record('journal_append_failed', kind=problem.kind)
                return problem.kind
        return None

    async def _read_back(self, *, may_repeat: bool) -> frozenset[str]:
        """Return the ids that may be dispatched; without a reply, none.

        With `may_repeat`, a failed read is repeated once.
        """
        # While this home is paused in an append, another VM may seal the
        # stream and tell the caller `not_run`. Only intents before the first
        # seal may be dispatched, so the stream is read back first.
        allowed: frozenset[str] = frozenset()
        is_at_tail = False
        while not is_at_tail:
            batch = await self._read()
            if batch is None and may_repeat:
                # The log has just accepted the append, so a failed read is
                # more likely due to a pause of this process than to an
                # outage. A reply that arrived meanwhile is too old to use.
                may_repeat = False
                continue
            if batch is None:
                return allowed
            allowed |= self.journal.read(batch.records)
            is_at_tail = (
                not batch.records
                or self.journal.next_offset >= batch.next_offset
            )
        return allowed

    async def _read(self) -> LogBatch | None:
        """Read the next records of the stream; None if the read failed."""
        match await self._log.read(self._stream, self.journal.next_offset):
            case Ok(batch):
                return batch
            case Err(problem):
                self._metrics.count(Metric.LOG_ERRORS, kind='read')
                self._events.record(
                    'journal_read_failed',
                    detail=problem.detail,
                )
                return None
        return None
