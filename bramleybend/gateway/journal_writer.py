"""Writes a home's journal: one task that owns its stream.

Records are appended in batches, so that the log sees a few appends a second
from each home whatever the load. Work whose intent must stand in the log
waits for its batch and for reading it back; other records follow behind.
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

# Waiting callers pay for the pause, the log pays without it: at 5 ms a home
# makes at most 200 appends a second, and in practice as many as its round
# trips allow.
INTENT_BATCH_DELAY_S: Final = 0.005
RECORD_FLUSH_INTERVAL_S: Final = 0.25
LOG_DOWN_RETRY_S: Final = 0.5
MAX_BATCH: Final = 200
# A journal that can't be finished stays unsealed, which is only less proof;
# a planned stop must not wait out a log outage for it.
CLOSE_TIMEOUT_S: Final = 5.0
CLOSE_RETRY_DELAY_S: Final = 0.1
MAYBE_APPENDED: Final = frozenset((None, ErrorKind.LOG_REPLY_LOST))
# A log outage must not fill the memory: 20,000 records of 200 bytes are
# 4 MB, and what is dropped only turns a later answer into `unknown`.
MAX_QUEUED_RECORDS: Final = 20_000


@dataclass(frozen=True)
class PendingIntent:
    """An intent and the request that waits for its right."""

    request_id: str
    record: str
    may_dispatch: asyncio.Future[bool]


class JournalWriter:
    """Appends intents and outcomes of one incarnation."""

    def __init__(
        self,
        log: LogService,
        incarnation: str,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        """Start with an empty stream; `work` does the writing."""
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
        """Whether this incarnation may dispatch by intent no more."""
        return self.journal.sealed

    def queue_record(self, record: str) -> None:
        """Write a record behind the work that it tells of."""
        self._queued_records.append(record)

    async def write_intent(self, request_id: str, record: str) -> bool:
        """Write an intent; true once its right to be dispatched stands.

        False is final: the request must not be dispatched, even if the
        append lands later.
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
        """Write what is left and seal, for a planned stop.

        The seal says that the journal is complete, so that whoever reads it
        can tell a request that never ran from one that is not written down.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._flush_and_seal()

    async def _flush_and_seal(self) -> None:
        while self._queued_records:
            await self._write_queued()
            if not self.log_ok:
                await asyncio.sleep(CLOSE_RETRY_DELAY_S)
        # Without the lock a batch that `work` is just appending would look
        # written, and land behind a seal that calls the journal complete.
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
        failure = await self._append([each.record for each in batch])
        allowed: frozenset[str] = frozenset()
        if failure in MAYBE_APPENDED:
            allowed = await self._read_back(may_repeat=failure is None)
        for each in batch:
            if not each.may_dispatch.done():
                each.may_dispatch.set_result(each.request_id in allowed)
        if self._pending_intents:
            self._intent_added.set()

    async def _write_queued(self) -> None:
        async with self._queue_lock:
            count = min(len(self._queued_records), MAX_BATCH)
            batch = [self._queued_records.popleft() for _ in range(count)]
            if batch and await self._append(batch) is not None:
                # A second copy of a record changes nothing for its readers,
                # so an append whose reply was lost is simply made again.
                self._queued_records.extendleft(reversed(batch))

    async def _append(self, records: list[str]) -> ErrorKind | None:
        """Append; return what went wrong, if anything did."""
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
        """Return the rights that stand; no word means no right.

        With `may_repeat`, a read that failed is made once more.
        """
        # Without this read, a home that was paused over its append would
        # dispatch after another VM had sealed the stream and answered
        # `not_run`. A right counts only from before the first seal.
        allowed: frozenset[str] = frozenset()
        is_at_tail = False
        while not is_at_tail:
            read = await self._read()
            if read is None and may_repeat:
                # The log took the append a moment ago. A read that fails now
                # tells rather of a pause of this process than of an outage,
                # and its reply, if there is one, is too old to count.
                may_repeat = False
                continue
            if read is None:
                return allowed
            allowed |= self.journal.read(read.records)
            is_at_tail = (
                not read.records or self.journal.next_offset >= read.next_offset
            )
        return allowed

    async def _read(self) -> LogBatch | None:
        """Read on from what is known; None if the log gave nothing."""
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
