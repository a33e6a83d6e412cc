"""A home's journal and what other VMs make of it, over a faulty log."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import UTC, datetime, timedelta

import pytest
from result import Result

from bramleybend.answers import Outcome
from bramleybend.clients.log_service import NO_WAIT, READ_LIMIT, LogBatch
from bramleybend.clock import ManualClock
from bramleybend.errors import Problem
from bramleybend.events import EventLog
from bramleybend.gateway.journal_writer import JournalWriter
from bramleybend.gateway.lost_home import MAX_SETTLE_S, LostHomes
from bramleybend.gateway.run import CallerRequest, Run
from bramleybend.metrics import NullMetrics
from bramleybend.state.journal_records import (
    encode_intent,
    encode_outcome,
    encode_seal,
)
from bramleybend.state.tickets import RequestId, Ticket
from tests.cli.world import FakeLog

INCARNATION = 'feed'
LIMIT_S = 5
CLOCK = ManualClock(datetime(2026, 12, 2, tzinfo=UTC))
EVENTS = EventLog('gateway', INCARNATION, CLOCK)


class HangingLog(FakeLog):
    """Takes calls and answers none."""

    async def read(
        self,
        stream: str,
        start: int,
        limit: int = READ_LIMIT,
        wait: timedelta = NO_WAIT,
    ) -> Result[LogBatch, Problem]:
        """Hang."""
        return await asyncio.Future()


class FailingOnceLog(FakeLog):
    """Fails one read."""

    def __init__(self, clock: ManualClock, at_read: int) -> None:
        """Fail the read after so many that were answered."""
        super().__init__(clock)
        self._at_read = at_read

    async def read(
        self,
        stream: str,
        start: int,
        limit: int = READ_LIMIT,
        wait: timedelta = NO_WAIT,
    ) -> Result[LogBatch, Problem]:
        """Read, or fail."""
        if len(self.read_from) == self._at_read:
            self.down_reads = 1
        return await super().read(stream, start, limit, wait)


def _id(own: str, *, intent_first: bool = True) -> RequestId:
    ticket = Ticket('10.0.0.1', 7001, INCARNATION, 0, intent_first)
    return RequestId(ticket, own)


def _run(request_id: RequestId) -> Run:
    return Run(
        CallerRequest(
            str(request_id), 'w', 's', 'p', 1, b'{}', 'f', stream=False
        ),
    )


@asynccontextmanager
async def _writing(log: FakeLog) -> AsyncIterator[JournalWriter]:
    writer = JournalWriter(log, INCARNATION, EVENTS, NullMetrics())
    working = asyncio.create_task(writer.run())
    try:
        async with asyncio.timeout(LIMIT_S):
            yield writer
    finally:
        working.cancel()


async def _right(writer: JournalWriter, request_id: RequestId) -> bool:
    return await writer.write_intent(str(request_id), encode_intent(request_id))


async def _fate(log: FakeLog, request_id: RequestId) -> Run:
    run = _run(request_id)
    await LostHomes(log, 'other', CLOCK, EVENTS).settle(request_id, run)
    return run


async def test_an_intent_in_the_log_gives_the_right() -> None:
    """The usual case: append, read back, dispatch."""
    async with _writing(FakeLog(CLOCK)) as writer:
        assert await _right(writer, _id('a'))


async def test_a_log_that_is_down_gives_no_right() -> None:
    """The caller is told `not_run` at once; nothing was dispatched."""
    async with _writing(FakeLog(CLOCK, down=1)) as writer:
        assert not await _right(writer, _id('a'))
        assert await _right(writer, _id('b'))


async def test_a_lost_reply_is_settled_by_reading_back() -> None:
    """The append landed without an answer, so the right stands."""
    async with _writing(FakeLog(CLOCK, lose_replies=1)) as writer:
        assert await _right(writer, _id('a'))


async def test_a_read_that_failed_after_the_append_is_made_again() -> None:
    """Guards against taking an own pause during a read for a log outage."""
    async with _writing(FakeLog(CLOCK, down_reads=1)) as writer:
        assert await _right(writer, _id('a'))


async def test_a_log_that_fails_after_the_append_gives_no_right() -> None:
    """Guards against asking a log that is down until the deadline."""
    async with _writing(FakeLog(CLOCK, down_reads=2)) as writer:
        assert not await _right(writer, _id('a'))
        assert await _right(writer, _id('b'))


async def test_an_append_that_vanished_gives_no_right() -> None:
    """No reply and no record: the request must not run on a guess."""
    async with _writing(FakeLog(CLOCK, lose_records=1)) as writer:
        assert not await _right(writer, _id('a'))


async def test_an_intent_behind_a_seal_gives_no_right() -> None:
    """A paused home wakes after another VM took it for dead.

    The caller was told `not_run` by that VM. Order: the seal lands, then the
    woken home's intent. Reading back shows the seal first, so nothing runs.
    """
    log = FakeLog(CLOCK, overtaken_by=[encode_seal('other')])
    async with _writing(log) as writer:
        assert not await _right(writer, _id('a'))
        assert writer.is_sealed


async def test_a_journal_without_an_intent_is_sealed_before_not_run() -> None:
    """Told `not_run`, the request can't run later: the seal stands first."""
    log = FakeLog(CLOCK)
    run = await _fate(log, _id('a'))
    assert run.answer
    assert run.answer.outcome is Outcome.NOT_RUN
    assert '"seal"' in log.records[0]


async def test_a_lost_seal_reply_is_no_ground_for_not_run() -> None:
    """Whether the seal stands is not known, so neither is the fate."""
    run = await _fate(FakeLog(CLOCK, lose_records=1), _id('a'))
    assert run.answer
    assert run.answer.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    ('records', 'outcome'),
    [
        ([encode_intent(_id('a'))], Outcome.UNKNOWN),
        (
            [
                encode_intent(_id('a')),
                encode_outcome(_id('a'), Outcome.DONE, 200, 't', b'whole'),
            ],
            Outcome.DONE,
        ),
        (
            [
                encode_intent(_id('a')),
                encode_outcome(_id('a'), Outcome.DONE, 200, 't', None),
            ],
            Outcome.UNKNOWN,
        ),
    ],
)
async def test_a_gone_home_is_answered_for_by_what_it_wrote(
    records: list[str],
    outcome: Outcome,
) -> None:
    """An intent alone proves nothing; an outcome is repeated with its body."""
    run = await _fate(FakeLog(CLOCK, list(records)), _id('a'))
    assert run.answer
    assert run.answer.outcome is outcome
    assert run.answer_body == (b'whole' if outcome is Outcome.DONE else b'')


async def test_a_log_that_is_down_leaves_a_gone_home_unknown() -> None:
    """Nothing can be proved, so nothing is claimed."""
    run = await _fate(FakeLog(CLOCK, down_reads=2), _id('a'))
    assert run.answer
    assert run.answer.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize('at_read', [0, 2])
async def test_a_gone_home_is_told_of_though_one_read_failed(
    at_read: int,
) -> None:
    """Guards against taking an own pause during a read for a log outage."""
    run = await _fate(FailingOnceLog(CLOCK, at_read), _id('a'))
    assert run.answer
    assert run.answer.outcome is Outcome.NOT_RUN


async def test_a_planned_stop_proves_what_never_ran() -> None:
    """Its journal is complete, so an id it never saw was not run.

    Also one under a ticket without the mark, for which a missing intent
    alone would prove nothing.
    """
    log = FakeLog(CLOCK)
    async with _writing(log) as writer:
        writer.queue_record(encode_intent(_id('a', intent_first=False)))
        await writer.close()
    run = await _fate(log, _id('b', intent_first=False))
    assert run.answer
    assert run.answer.outcome is Outcome.NOT_RUN


async def test_a_complete_seal_waits_for_records_the_log_lost() -> None:
    """A planned stop while an append vanishes without an answer.

    The dispatched request must not be told `not_run` afterwards. Order: its
    intent is appended and lost, the home stops and seals its journal as
    complete. The intent has to be written again before that seal.
    """
    log = FakeLog(CLOCK, lose_records=1)
    async with _writing(log) as writer:
        writer.queue_record(encode_intent(_id('a', intent_first=False)))
        await writer.close()
    run = await _fate(log, _id('a', intent_first=False))
    assert run.answer
    assert run.answer.outcome is Outcome.UNKNOWN


async def test_a_seal_whose_reply_was_lost_still_counts() -> None:
    """Reading again shows the seal, so the caller gets its `not_run`."""
    run = await _fate(FakeLog(CLOCK, lose_replies=1), _id('a'))
    assert run.answer
    assert run.answer.outcome is Outcome.NOT_RUN


async def test_callers_of_a_lost_home_are_answered_while_the_log_hangs() -> (
    None
):
    """A VM dies with many requests while the log answers nothing.

    Each caller is told `unknown` within seconds. Without a limit each would
    wait for the hanging reads of all that came before it.
    """
    lost = LostHomes(HangingLog(CLOCK), 'other', CLOCK, EVENTS)
    runs = [(_id(str(number)), _run(_id(str(number)))) for number in range(5)]
    async with asyncio.timeout(MAX_SETTLE_S + 2):
        await asyncio.gather(*(lost.settle(*each) for each in runs))
    outcomes = {run.answer.outcome for _, run in runs if run.answer}
    assert outcomes == {Outcome.UNKNOWN}
