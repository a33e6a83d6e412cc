"""The load tool itself sees what it is there to see."""

import asyncio
import json
from collections import Counter
from collections.abc import AsyncGenerator, AsyncIterator

import pytest

from bramleybend.answers import Outcome
from bramleybend.models import Repeat, Tier
from tests.utils.answers import expected_body, token_text
from tests.utils.callers import Caller
from tests.utils.http_server import (
    DropConnectionError,
    HttpRequest,
    HttpResponse,
    HttpServer,
    json_response,
)
from tests.utils.ledger import Ledger
from tests.utils.work import Work

DONE = {'Bramleybend-Outcome': 'done'}


def _plain(deadline_s: float = 5) -> Work:
    return Work(
        'a-club',
        'booking-app',
        'slot-claim',
        Tier.CRITICAL,
        Repeat.NON_IDEMPOTENT,
        b'slot 9',
        deadline_s=deadline_s,
    )


def _streamed() -> Work:
    return Work(
        'a-club',
        'briefing-llm',
        'debrief',
        Tier.NORMAL,
        Repeat.AT_MOST_ONCE,
        b'{}',
        prompt='how did it go',
        max_tokens=3,
        is_streamed=True,
        deadline_s=5,
    )


class _FakeGateway:
    """Answers `/v1/requests` from a script, one step a request."""

    def __init__(self) -> None:
        self.script: list[HttpResponse | None] = []
        self.ids: list[str] = []
        self.address_delays_s: list[float] = []
        self.server = HttpServer('127.0.0.1', 0, self._handle)

    async def _handle(self, req: HttpRequest) -> HttpResponse:
        if req.path == '/v1/address':
            if self.address_delays_s:
                await asyncio.sleep(self.address_delays_s.pop(0))
            return json_response(
                {
                    'addresses': [f'127.0.0.1:{self.server.port}'],
                    'ticket': 'ticket-1',
                    'keep_for_s': 30,
                },
            )
        self.ids.append(req.headers['bramleybend-request-id'])
        resp = self.script.pop(0)
        if resp is None:
            raise DropConnectionError
        return resp


@pytest.fixture
async def gateway() -> AsyncIterator[_FakeGateway]:
    """A gateway that does what a test says."""
    fake = _FakeGateway()
    await fake.server.start()
    yield fake
    await fake.server.stop()


def _caller(gateway: _FakeGateway, ledger: Ledger) -> Caller:
    return Caller([f'127.0.0.1:{gateway.server.port}'], ledger)


async def _events(work: Work, *ends: str) -> AsyncGenerator[bytes, None]:
    for index in range(work.max_tokens):
        token = {'index': index, 'text': token_text(work.content, index)}
        yield f'data: {json.dumps(token)}\n\n'.encode()
    for end in ends:
        yield end.encode()


def _stream(work: Work, *ends: str) -> HttpResponse:
    return HttpResponse(
        headers={'Content-Type': 'text/event-stream'},
        stream=_events(work, *ends),
    )


async def test_a_broken_connection_is_sent_again_under_its_id(
    gateway: _FakeGateway,
) -> None:
    """One id, so that the system can tell a resend from a new request."""
    work = _plain()
    whole = HttpResponse(body=expected_body(work.body), headers=DONE)
    gateway.script = [None, None, whole]
    ledger = Ledger()
    record = await _caller(gateway, ledger).send(work)
    assert record.outcome is Outcome.DONE
    assert len(set(gateway.ids)) == 1
    assert ledger.judge(Counter({work.content: 1})).is_clean


async def test_a_request_not_run_comes_back_under_a_new_id(
    gateway: _FakeGateway,
) -> None:
    """The old id is void; the request counts once."""
    work = _plain()
    told = json_response(
        {'outcome': 'not_run', 'reason': 'log down', 'retry_after_s': 0.1},
        503,
        **{'Bramleybend-Outcome': 'not_run', 'Retry-After': '0.1'},
    )
    whole = HttpResponse(body=expected_body(work.body), headers=DONE)
    gateway.script = [told, whole]
    ledger = Ledger()
    await _caller(gateway, ledger).send(work)
    assert len(set(gateway.ids)) == 2
    assert ledger.judge(Counter({work.content: 1})).sent == 1


async def test_a_return_that_is_never_sent_leaves_the_answer_before(
    gateway: _FakeGateway,
) -> None:
    """A caller told "not run" has its final answer, though it meant to return.

    It is told when to come back, asks for an address then, and gets one only
    after its deadline; nothing is sent under the second id.
    """
    told = json_response(
        {'outcome': 'not_run', 'reason': 'log down', 'retry_after_s': 0.3},
        503,
        **{'Bramleybend-Outcome': 'not_run', 'Retry-After': '0.3'},
    )
    gateway.script = [told]
    gateway.address_delays_s = [0, 0.6]
    record = await _caller(gateway, Ledger()).send(_plain(deadline_s=0.5))
    assert record.outcome is Outcome.NOT_RUN
    assert len(record.attempts) == 1


async def test_a_second_send_without_an_answer_leaves_none(
    gateway: _FakeGateway,
) -> None:
    """What was sent again may have run, so the first "not run" isn't final."""
    told = json_response(
        {'outcome': 'not_run', 'reason': 'log down', 'retry_after_s': 0.1},
        503,
        **{'Bramleybend-Outcome': 'not_run', 'Retry-After': '0.1'},
    )
    gateway.script = [told, *[None] * 40]
    record = await _caller(gateway, Ledger()).send(_plain(deadline_s=0.5))
    assert record.outcome is None
    assert len(record.attempts) == 2


async def test_a_stream_without_its_outcome_is_not_whole(
    gateway: _FakeGateway,
) -> None:
    """The caller asks for a replay instead of taking a torn answer."""
    work = _streamed()
    end = 'event: outcome\ndata: {"outcome": "done"}\n\n'
    gateway.script = [_stream(work), _stream(work, end)]
    record = await _caller(gateway, Ledger()).send(work)
    assert record.attempts[0].sends == 2
    assert record.final is not None
    assert record.final.is_expected


async def test_wrong_answers_are_found(gateway: _FakeGateway) -> None:
    """A foreign answer, a second run and a false `not_run` all show."""
    work = _plain(deadline_s=1)
    foreign = HttpResponse(body=expected_body(b'slot 8'), headers=DONE)
    gateway.script = [foreign]
    ledger = Ledger()
    await _caller(gateway, ledger).send(work)
    assert len(ledger.judge(Counter({work.content: 2})).wrong) == 2

    told = json_response(
        {'outcome': 'not_run', 'reason': '', 'retry_after_s': 9},
        503,
        **{'Bramleybend-Outcome': 'not_run'},
    )
    gateway.script = [told]
    false_claim = Ledger()
    await _caller(gateway, false_claim).send(work)
    assert len(false_claim.judge(Counter({work.content: 1})).wrong) == 1


async def test_a_request_without_an_answer_is_lost(
    gateway: _FakeGateway,
) -> None:
    """A deadline that passes in silence is no answer."""
    gateway.script = [None] * 100
    ledger = Ledger()
    await _caller(gateway, ledger).send(_plain(deadline_s=0.3))
    assert ledger.judge(Counter()).lost == 1
