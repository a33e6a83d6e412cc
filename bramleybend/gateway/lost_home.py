"""Answers for requests whose home is lost, from the home's journal.

No other VM may dispatch the requests of a lost home. The caller is told the
outcome that the journal proves, or `unknown` if it proves none.
"""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import timedelta
from http import HTTPStatus
from typing import Final

from bramleybend.answers import Answer, Outcome, answer_not_run, answer_unknown
from bramleybend.clients.log_service import LogBatch, LogService
from bramleybend.clock import Clock
from bramleybend.events import EventLog
from bramleybend.gateway.run import Run
from bramleybend.state.journal_records import (
    OutcomeRecord,
    encode_seal,
    stream_of,
)
from bramleybend.state.journal_rules import (
    Ended,
    JournalView,
    NotRun,
    Unknown,
)
from bramleybend.state.tickets import RequestId

MAX_CACHED_JOURNALS: Final = 32
READ_ATTEMPTS: Final = 2
MAX_SETTLE_S: Final = 4.0
# Subtracted from the time left, so that the answer arrives before the deadline.
ANSWER_MARGIN_S: Final = 0.2
MIN_SETTLE_S: Final = 0.5
RETRY_AFTER: Final = timedelta(seconds=1)
LOG_DOWN_REASON: Final = 'its home is gone and the log that would tell is down'


@dataclass(frozen=True)
class LockedJournal:
    """A journal as far as it was read; one request at a time reads on."""

    view: JournalView = field(default_factory=JournalView)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class LostHomes:
    """Reads the journals of lost homes; caches those that were used last."""

    def __init__(
        self,
        log: LogService,
        vm: str,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Start with no journal read."""
        self._log = log
        self._clock = clock
        self._vm = vm
        self._events = events
        self._journals: OrderedDict[str, LockedJournal] = OrderedDict()

    async def finish_from_journal(
        self, request_id: RequestId, run: Run
    ) -> None:
        """Finish the run with the answer that the home's journal proves."""
        answer = await self._find_answer_in_time(request_id, run)
        self._events.record(
            'home_lost',
            str(request_id),
            outcome=answer.outcome,
        )
        run.finish(answer)

    async def _find_answer_in_time(
        self, request_id: RequestId, run: Run
    ) -> Answer:
        # When a VM dies, all its callers ask at once, and their reads of its
        # journal queue for the lock. If the log hangs, the last would wait far
        # beyond its deadline, so the limit includes the wait for the lock.
        journal = self._open_journal(request_id.ticket.incarnation)
        try:
            async with asyncio.timeout(self._time_limit_s(run)), journal.lock:
                return await self._find_answer(request_id, run, journal.view)
        except TimeoutError:
            return answer_unknown(LOG_DOWN_REASON)

    def _time_limit_s(self, run: Run) -> float:
        left_s = run.req.deadline - self._clock.monotonic() - ANSWER_MARGIN_S
        return min(max(left_s, MIN_SETTLE_S), MAX_SETTLE_S)

    async def _find_answer(
        self,
        request_id: RequestId,
        run: Run,
        view: JournalView,
    ) -> Answer:
        if not await self._read_to_tail(request_id, view):
            return answer_unknown(LOG_DOWN_REASON)
        if request_id.ticket.intent_first and not view.sealed:
            # If the home is still alive, it reads the seal back before its
            # next dispatch, and dispatches nothing reported as `not_run` here.
            await self._seal(request_id)
            if (
                not await self._read_to_tail(request_id, view)
                or not view.sealed
            ):
                return answer_unknown(LOG_DOWN_REASON)
        match view.fate(request_id):
            case Ended(record):
                return _repeat_outcome(record, run)
            case NotRun():
                return answer_not_run(
                    'its home was lost before it ran', RETRY_AFTER
                )
            case Unknown(reason):
                return answer_unknown(reason)
        raise AssertionError(request_id)

    def _open_journal(self, incarnation: str) -> LockedJournal:
        journal = self._journals.pop(incarnation, None) or LockedJournal()
        self._journals[incarnation] = journal
        if len(self._journals) > MAX_CACHED_JOURNALS:
            self._journals.popitem(last=False)
        return journal

    async def _read_to_tail(
        self, request_id: RequestId, view: JournalView
    ) -> bool:
        """Read the journal to its end; false if the log gave an error."""
        stream = stream_of(request_id.ticket.incarnation)
        while True:
            batch = await self._read_batch(stream, view.next_offset)
            if batch is None:
                return False
            view.add(batch.records)
            if not batch.records:
                return view.next_offset >= batch.next_offset

    async def _read_batch(self, stream: str, start: int) -> LogBatch | None:
        """Read the next records; None if `READ_ATTEMPTS` reads failed."""
        # If this process is paused during a read, the read fails as if the
        # log were down, since its reply is too old to use.
        for _ in range(READ_ATTEMPTS):
            batch = (await self._log.read(stream, start)).ok()
            if batch is not None:
                return batch
        return None

    async def _seal(self, request_id: RequestId) -> None:
        stream = stream_of(request_id.ticket.incarnation)
        # The result of the append is ignored: the next read shows whether the
        # seal was written, and a second seal changes nothing.
        await self._log.append(stream, (encode_seal(self._vm),))


def _repeat_outcome(record: OutcomeRecord, run: Run) -> Answer:
    """Return the recorded outcome; add the recorded body to the run."""
    if record.outcome is not Outcome.DONE:
        status = HTTPStatus(record.status) if record.status else None
        return Answer(
            record.outcome,
            'as its home wrote down before it was lost',
            'mint a new id if it is to be run again',
            status=status,
        )
    if record.answer is None:
        return answer_unknown('it ran to its end, but the answer was lost')
    run.content_type = record.content_type
    run.add_chunk(record.answer)
    return Answer(Outcome.DONE, 'whole')
