"""When a home answers a request whose intent the log does not confirm."""

import asyncio
from random import Random
from typing import Any, cast

from bramleybend.answers import Outcome
from bramleybend.clock import SystemClock
from bramleybend.declarations import parse_terms
from bramleybend.events import EventLog
from bramleybend.gateway.home import Home
from bramleybend.gateway.job import DispatchDeps
from bramleybend.gateway.run import CallerRequest, Run
from bramleybend.metrics import NullMetrics
from bramleybend.state.id_table import IdTable
from bramleybend.state.tickets import Ticket, parse_request_id
from tests.utils.cluster import EXAMPLE, PLAIN_SERVICE
from tests.utils.scenario import LARGE_SCHOOL

CLOCK = SystemClock()
TIME_LEFT_S = 1


class _SilentJournal:
    """A journal whose log never replies to the append of an intent."""

    is_sealed = False

    async def write_intent(self, request_id: str, record: str) -> bool:
        await asyncio.Event().wait()
        return True

    def queue_record(self, record: str) -> None:
        """Drop the record."""


def _home() -> Home:
    unused = cast('Any', None)
    events = EventLog('gateway', 'feed', CLOCK)
    deps = DispatchDeps(
        unused, unused, unused, CLOCK, events, NullMetrics(), Random(1)
    )
    return Home(
        Ticket('10.0.0.1', 7001, 'feed', 0),
        IdTable('feed', CLOCK.monotonic()),
        cast('Any', _SilentJournal()),
        deps,
    )


async def test_a_claim_is_told_before_its_deadline_that_the_log_is_silent() -> (
    None
):
    """Guards against an answer after the deadline, when the caller has left."""
    terms = parse_terms(EXAMPLE.read_text(), 1).unwrap()
    request_id = '10.0.0.1:7001:feed:0/one'
    deadline = CLOCK.monotonic() + TIME_LEFT_S
    req = CallerRequest(
        request_id,
        LARGE_SCHOOL,
        PLAIN_SERVICE,
        'slot-claim',
        deadline,
        b'{}',
        'fingerprint',
        stream=False,
    )
    run = _home().submit(parse_request_id(request_id).unwrap(), req, terms)
    assert isinstance(run, Run)
    answer = await run.wait_for_outcome()
    assert answer.outcome is Outcome.NOT_RUN
    assert CLOCK.monotonic() < deadline
