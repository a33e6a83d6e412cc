"""Answers for homes that are gone, from their journals.

No other VM ever takes over a home's right to run an id. What the journal
proves is told; what it does not prove is told to be unknown.
"""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import timedelta
from http import HTTPStatus
from typing import Final

from bramleybend.answers import Answer, Outcome, not_run, unknown
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
# Of what is left to the deadline, so that the answer arrives before it.
ANSWER_MARGIN_S: Final = 0.2
MIN_SETTLE_S: Final = 0.5
RETRY_AFTER: Final = timedelta(seconds=1)
LOG_DOWN_REASON: Final = 'its home is gone and the log that would tell is down'


@dataclass(frozen=True)
class LockedJournal:
    """A journal as it was read here; one request reads on at a time."""

    view: JournalView = field(default_factory=JournalView)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class LostHomes:
    """Reads journals of gone homes, a few kept at a time."""

    def __init__(
        self,
        log: LogService,
        vm: str,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Have read nothing yet."""
        self._log = log
        self._clock = clock
        self._vm = vm
        self._events = events
        self._journals: OrderedDict[str, LockedJournal] = OrderedDict()

    async def settle(self, request_id: RequestId, run: Run) -> None:
        """Give a run the answer that the home's journal proves."""
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
        # A VM dies with many requests, and their callers all come at once. If
        # the log hangs just then, each would wait for the reads of all that
        # came before it, long past its deadline.
        journal = self._open_journal(request_id.ticket.incarnation)
        try:
            async with asyncio.timeout(self._time_limit_s(run)), journal.lock:
                return await self._find_answer(request_id, run, journal.view)
        except TimeoutError:
            return unknown(LOG_DOWN_REASON)

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
            return unknown(LOG_DOWN_REASON)
        if request_id.ticket.intent_first and not view.sealed:
            # A home that is not dead after all reads this back before its
            # next dispatch, and so runs nothing that is told `not_run` here.
            await self._seal(request_id)
            if (
                not await self._read_to_tail(request_id, view)
                or not view.sealed
            ):
                return unknown(LOG_DOWN_REASON)
        match view.fate(request_id):
            case Ended(record):
                return _repeat_outcome(record, run)
            case NotRun():
                return not_run('its home was lost before it ran', RETRY_AFTER)
            case Unknown(reason):
                return unknown(reason)
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
        """Read the journal to its tail."""
        stream = stream_of(request_id.ticket.incarnation)
        while True:
            batch = await self._read_batch(stream, view.next_offset)
            if batch is None:
                return False
            view.add(batch.records)
            if not batch.records:
                return view.next_offset >= batch.next_offset

    async def _read_batch(self, stream: str, start: int) -> LogBatch | None:
        """Read once; a read that failed is made once more."""
        # If this process stands still over a read, its reply is too old to
        # count, and the log looks down.
        for _ in range(READ_ATTEMPTS):
            batch = (await self._log.read(stream, start)).ok()
            if batch is not None:
                return batch
        return None

    async def _seal(self, request_id: RequestId) -> None:
        stream = stream_of(request_id.ticket.incarnation)
        # Whether the reply came does not matter: the next read tells if the
        # seal stands, and a second one changes nothing.
        await self._log.append(stream, (encode_seal(self._vm),))


def _repeat_outcome(record: OutcomeRecord, run: Run) -> Answer:
    """Repeat a written outcome, with its body if that was kept."""
    if record.outcome is not Outcome.DONE:
        status = HTTPStatus(record.status) if record.status else None
        return Answer(
            record.outcome,
            'as its home wrote down before it was lost',
            'mint a new id if it is to be run again',
            status=status,
        )
    if record.answer is None:
        return unknown('it ran to its end, but the answer was lost')
    run.content_type = record.content_type
    run.add_chunk(record.answer)
    return Answer(Outcome.DONE, 'whole')
