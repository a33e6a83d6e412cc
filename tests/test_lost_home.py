"""Answers for requests whose home is lost, while the log does not reply."""

import asyncio
import time
from typing import cast

import pytest

from bramleybend.answers import Outcome
from bramleybend.clients.log_service import LogService
from bramleybend.clock import SystemClock
from bramleybend.events import EventLog
from bramleybend.gateway.lost_home import MAX_SETTLE_S, MIN_SETTLE_S, LostHomes
from bramleybend.gateway.run import CallerRequest, Run
from bramleybend.state.tickets import RequestId, Ticket

TICKET = Ticket('10.0.0.1', 7001, 'incarnation', 0)


class _HangingLog:
    """A log that accepts reads and never replies."""

    async def read(self, stream: str, start: int) -> None:
        await asyncio.Event().wait()


async def _time_to_finish_s(deadline_s: float) -> float:
    clock = SystemClock()
    log = cast('LogService', _HangingLog())
    homes = LostHomes(log, 'vm', clock, EventLog('gateway', 'a', clock))
    deadline = clock.monotonic() + deadline_s
    run = Run(CallerRequest('id', 'w', 's', 'p', deadline, b'', 'f', False))
    began = time.monotonic()
    await homes.finish_from_journal(RequestId(TICKET, 'own'), run)
    assert run.answer
    assert run.answer.outcome is Outcome.UNKNOWN
    return time.monotonic() - began


@pytest.mark.parametrize('deadline_s', [1, 2])
async def test_a_caller_is_told_before_its_deadline(deadline_s: float) -> None:
    """Guards against an answer after the deadline, when the caller has left."""
    assert await _time_to_finish_s(deadline_s) < deadline_s


async def test_a_caller_past_its_deadline_gets_a_short_try() -> None:
    """Guards against answering a late resend without reading the journal."""
    assert MIN_SETTLE_S <= await _time_to_finish_s(-1) < MAX_SETTLE_S
