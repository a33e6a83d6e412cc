"""Writing a home's journal and reading that of a lost home, with log faults."""

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
from tests.cli.fakes import FakeLog

INCARNATION = 'feed'
LIMIT_S = 5
CLOCK = ManualClock(datetime(2026, 12, 2, tzinfo=UTC))
EVENTS = EventLog('gateway', INCARNATION, CLOCK)


class HangingLog(FakeLog):
    """A log that accepts calls and never replies."""

    async def read(
        self,
        stream: str,
        start: int,
        limit: int = READ_LIMIT,
        wait: timedelta = NO_WAIT,
    ) -> Result[LogBatch, Problem]:
        """Wait forever."""
        return await asyncio.Future()


class FailingOnceLog(FakeLog):
    """A log that fails one read."""

    def __init__(self, clock: ManualClock, at_read: int) -> None:
        """Fail the read that follows `at_read` successful ones."""
        super().__init__(clock)
        self._at_read = at_read

    async def read(
        self,
        stream: str,
        start: int,
        limit: int = READ_LIMIT,
        wait: timedelta = NO_WAIT,
    ) -> Result[LogBatch, Problem]:
        """Read, or fail once."""
        if len(self.read_offsets) == self._at_read:
            self.down_reads = 1
        return await super().read(stream, start, limit, wait)


def _make_id(own: str, *, intent_first: bool = True) -> RequestId:
    ticket = Ticket('10.0.0.1', 7001, INCARNATION, 0, intent_first)
    return RequestId(ticket, own)


def _make_run(request_id: RequestId) -> Run:
    return Run(
        CallerRequest(
            str(request_id), 'w', 's', 'p', 1, b'{}', 'f', stream=False
        ),
    )


@asynccontextmanager
async def _run_writer(log: FakeLog) -> AsyncIterator[JournalWriter]:
    writer = JournalWriter(log, INCARNATION, EVENTS, NullMetrics())
    working = asyncio.create_task(writer.run())
    try:
        async with asyncio.timeout(LIMIT_S):
            yield writer
    finally:
        working.cancel()


async def _write_intent(writer: JournalWriter, request_id: RequestId) -> bool:
    return await writer.write_intent(str(request_id), encode_intent(request_id))


async def _finish_lost_run(log: FakeLog, request_id: RequestId) -> Run:
    run = _make_run(request_id)
    await LostHomes(log, 'other', CLOCK, EVENTS).finish_from_journal(
        request_id, run
    )
    return run


async def test_an_intent_in_the_log_may_be_dispatched() -> None:
    """Without faults: append the intent, read it back, dispatch."""
    async with _run_writer(FakeLog(CLOCK)) as writer:
        assert await _write_intent(writer, _make_id('a'))


async def test_a_log_that_is_down_allows_no_dispatch() -> None:
    """Nothing is dispatched while the append fails, but later intents are."""
    async with _run_writer(FakeLog(CLOCK, down=1)) as writer:
        assert not await _write_intent(writer, _make_id('a'))
        assert await _write_intent(writer, _make_id('b'))


async def test_a_lost_reply_is_settled_by_reading_back() -> None:
    """The append succeeded without a reply, so the request may run."""
    async with _run_writer(FakeLog(CLOCK, lose_replies=1)) as writer:
        assert await _write_intent(writer, _make_id('a'))


async def test_a_read_that_failed_after_the_append_is_made_again() -> None:
    """Guards against taking a pause of this process for a log outage."""
    async with _run_writer(FakeLog(CLOCK, down_reads=1)) as writer:
        assert await _write_intent(writer, _make_id('a'))


async def test_a_log_that_fails_after_the_append_allows_no_dispatch() -> None:
    """Guards against asking a log that is down until the deadline."""
    async with _run_writer(FakeLog(CLOCK, down_reads=2)) as writer:
        assert not await _write_intent(writer, _make_id('a'))
        assert await _write_intent(writer, _make_id('b'))


async def test_a_lost_append_allows_no_dispatch() -> None:
    """Without a reply and without a record the request must not run."""
    async with _run_writer(FakeLog(CLOCK, lose_records=1)) as writer:
        assert not await _write_intent(writer, _make_id('a'))


async def test_an_intent_behind_a_seal_allows_no_dispatch() -> None:
    """Guards against running a request that another VM reported as `not_run`.

    While a home is paused, another VM takes it for dead, seals its journal and
    answers the caller. The home resumes and appends its intent behind the
    seal. Reading back shows the seal first, so nothing is dispatched.
    """
    log = FakeLog(CLOCK, concurrent_records=[encode_seal('other')])
    async with _run_writer(log) as writer:
        assert not await _write_intent(writer, _make_id('a'))
        assert writer.is_sealed


async def test_a_journal_without_an_intent_is_sealed_before_not_run() -> None:
    """The seal keeps a request that was told `not_run` from running later."""
    log = FakeLog(CLOCK)
    run = await _finish_lost_run(log, _make_id('a'))
    assert run.answer
    assert run.answer.outcome is Outcome.NOT_RUN
    assert '"seal"' in log.records[0]


async def test_a_lost_seal_reply_is_no_ground_for_not_run() -> None:
    """It is unknown whether the journal is sealed, so the outcome is, too."""
    run = await _finish_lost_run(FakeLog(CLOCK, lose_records=1), _make_id('a'))
    assert run.answer
    assert run.answer.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    ('records', 'outcome'),
    [
        ([encode_intent(_make_id('a'))], Outcome.UNKNOWN),
        (
            [
                encode_intent(_make_id('a')),
                encode_outcome(_make_id('a'), Outcome.DONE, 200, 't', b'whole'),
            ],
            Outcome.DONE,
        ),
        (
            [
                encode_intent(_make_id('a')),
                encode_outcome(_make_id('a'), Outcome.DONE, 200, 't', None),
            ],
            Outcome.UNKNOWN,
        ),
    ],
)
async def test_a_lost_home_is_answered_from_its_journal(
    records: list[str],
    outcome: Outcome,
) -> None:
    """An intent alone proves nothing; an outcome is returned with its body."""
    run = await _finish_lost_run(FakeLog(CLOCK, list(records)), _make_id('a'))
    assert run.answer
    assert run.answer.outcome is outcome
    assert run.answer_body == (b'whole' if outcome is Outcome.DONE else b'')


async def test_a_log_that_is_down_leaves_a_lost_home_unknown() -> None:
    """Without the journal nothing is proved."""
    run = await _finish_lost_run(FakeLog(CLOCK, down_reads=2), _make_id('a'))
    assert run.answer
    assert run.answer.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize('at_read', [0, 2])
async def test_a_lost_home_is_answered_though_one_read_failed(
    at_read: int,
) -> None:
    """Guards against taking a pause of this process for a log outage."""
    run = await _finish_lost_run(FailingOnceLog(CLOCK, at_read), _make_id('a'))
    assert run.answer
    assert run.answer.outcome is Outcome.NOT_RUN


async def test_a_planned_stop_proves_what_never_ran() -> None:
    """After a planned stop the journal is complete, so a missing id never ran.

    This also holds for tickets without `intent_first`, for which a missing
    intent alone proves nothing.
    """
    log = FakeLog(CLOCK)
    async with _run_writer(log) as writer:
        writer.queue_record(encode_intent(_make_id('a', intent_first=False)))
        await writer.close()
    run = await _finish_lost_run(log, _make_id('b', intent_first=False))
    assert run.answer
    assert run.answer.outcome is Outcome.NOT_RUN


async def test_a_complete_seal_waits_for_records_the_log_lost() -> None:
    """Guards against `not_run` for a request that was dispatched.

    An append of its intent is lost without a reply while the home stops. The
    intent must be appended again before the journal is sealed as complete.
    """
    log = FakeLog(CLOCK, lose_records=1)
    async with _run_writer(log) as writer:
        writer.queue_record(encode_intent(_make_id('a', intent_first=False)))
        await writer.close()
    run = await _finish_lost_run(log, _make_id('a', intent_first=False))
    assert run.answer
    assert run.answer.outcome is Outcome.UNKNOWN


async def test_a_seal_whose_reply_was_lost_still_counts() -> None:
    """The next read shows the seal, so the caller is told `not_run`."""
    run = await _finish_lost_run(FakeLog(CLOCK, lose_replies=1), _make_id('a'))
    assert run.answer
    assert run.answer.outcome is Outcome.NOT_RUN


async def test_callers_of_a_lost_home_are_answered_while_the_log_hangs() -> (
    None
):
    """Guards against callers that wait one after another for a hanging log.

    A VM dies with many requests while the log does not reply. Each caller is
    told `unknown` within seconds, without waiting for the reads of the others.
    """
    lost = LostHomes(HangingLog(CLOCK), 'other', CLOCK, EVENTS)
    runs = [
        (_make_id(str(number)), _make_run(_make_id(str(number))))
        for number in range(5)
    ]
    async with asyncio.timeout(MAX_SETTLE_S + 2):
        await asyncio.gather(
            *(lost.finish_from_journal(*each) for each in runs)
        )
    outcomes = {run.answer.outcome for _, run in runs if run.answer}
    assert outcomes == {Outcome.UNKNOWN}
