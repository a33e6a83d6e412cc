"""The test callers and the ledger detect faulty answers."""

import asyncio
import json
from collections import Counter
from collections.abc import AsyncGenerator, AsyncIterator

import pytest

from bramleybend.answers import Outcome
from bramleybend.models import Repeat, Tier
from tests.utils.callers import Caller
from tests.utils.expected_answers import expected_body, token_text
from tests.utils.http_server import (
    DropConnectionError,
    HttpRequest,
    HttpResponse,
    HttpServer,
    json_response,
)
from tests.utils.ledger import Ledger
from tests.utils.work import Work

DONE_HEADERS = {'Bramleybend-Outcome': 'done'}


def _plain_work(deadline_s: float = 5) -> Work:
    return Work(
        'a-club',
        'booking-app',
        'slot-claim',
        Tier.CRITICAL,
        Repeat.NON_IDEMPOTENT,
        b'slot 9',
        deadline_s=deadline_s,
    )


def _streamed_work() -> Work:
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
    """Answers each request to `/v1/requests` with the next of a script.

    A step of None drops the connection.
    """

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
    """A gateway whose answers the test sets."""
    fake = _FakeGateway()
    await fake.server.start()
    yield fake
    await fake.server.stop()


def _caller(gateway: _FakeGateway, ledger: Ledger) -> Caller:
    return Caller([f'127.0.0.1:{gateway.server.port}'], ledger)


async def _stream_events(
    work: Work, *final_events: str
) -> AsyncGenerator[bytes, None]:
    for index in range(work.max_tokens):
        token = {'index': index, 'text': token_text(work.content, index)}
        yield f'data: {json.dumps(token)}\n\n'.encode()
    for final_event in final_events:
        yield final_event.encode()


def _stream_response(work: Work, *final_events: str) -> HttpResponse:
    return HttpResponse(
        headers={'Content-Type': 'text/event-stream'},
        stream=_stream_events(work, *final_events),
    )


async def test_a_broken_connection_is_sent_again_under_its_id(
    gateway: _FakeGateway,
) -> None:
    """Under the same id the system can tell a resend from a new request."""
    work = _plain_work()
    done = HttpResponse(body=expected_body(work.body), headers=DONE_HEADERS)
    gateway.script = [None, None, done]
    ledger = Ledger()
    record = await _caller(gateway, ledger).send(work)
    assert record.outcome is Outcome.DONE
    assert len(set(gateway.ids)) == 1
    assert ledger.judge(Counter({work.content: 1})).is_clean


async def test_a_request_not_run_comes_back_under_a_new_id(
    gateway: _FakeGateway,
) -> None:
    """The old id stays rejected; the ledger counts one request."""
    work = _plain_work()
    not_run = json_response(
        {'outcome': 'not_run', 'reason': 'log down', 'retry_after_s': 0.1},
        503,
        **{'Bramleybend-Outcome': 'not_run', 'Retry-After': '0.1'},
    )
    done = HttpResponse(body=expected_body(work.body), headers=DONE_HEADERS)
    gateway.script = [not_run, done]
    ledger = Ledger()
    await _caller(gateway, ledger).send(work)
    assert len(set(gateway.ids)) == 2
    assert ledger.judge(Counter({work.content: 1})).sent == 1


async def test_a_return_that_is_never_sent_leaves_the_answer_before(
    gateway: _FakeGateway,
) -> None:
    """A `not_run` answer is final if the retry is never sent.

    The caller waits for `retry_after_s`, then resolves an address, which
    takes until after its deadline. Nothing is sent under the second id.
    """
    not_run = json_response(
        {'outcome': 'not_run', 'reason': 'log down', 'retry_after_s': 0.3},
        503,
        **{'Bramleybend-Outcome': 'not_run', 'Retry-After': '0.3'},
    )
    gateway.script = [not_run]
    gateway.address_delays_s = [0, 0.6]
    record = await _caller(gateway, Ledger()).send(_plain_work(deadline_s=0.5))
    assert record.outcome is Outcome.NOT_RUN
    assert len(record.attempts) == 1


async def test_a_second_send_without_an_answer_leaves_none(
    gateway: _FakeGateway,
) -> None:
    """A retry without an answer may have run, so `not_run` isn't final."""
    not_run = json_response(
        {'outcome': 'not_run', 'reason': 'log down', 'retry_after_s': 0.1},
        503,
        **{'Bramleybend-Outcome': 'not_run', 'Retry-After': '0.1'},
    )
    gateway.script = [not_run, *[None] * 40]
    record = await _caller(gateway, Ledger()).send(_plain_work(deadline_s=0.5))
    assert record.outcome is None
    assert len(record.attempts) == 2


async def test_a_stream_without_its_outcome_is_not_whole(
    gateway: _FakeGateway,
) -> None:
    """The caller sends again instead of accepting an incomplete answer."""
    work = _streamed_work()
    final_event = 'event: outcome\ndata: {"outcome": "done"}\n\n'
    gateway.script = [
        _stream_response(work),
        _stream_response(work, final_event),
    ]
    record = await _caller(gateway, Ledger()).send(work)
    assert record.attempts[0].sends == 2
    assert record.final is not None
    assert record.final.is_expected


async def test_wrong_answers_are_found(gateway: _FakeGateway) -> None:
    """The ledger finds a foreign answer, a second run and a false `not_run`."""
    work = _plain_work(deadline_s=1)
    foreign = HttpResponse(body=expected_body(b'slot 8'), headers=DONE_HEADERS)
    gateway.script = [foreign]
    ledger = Ledger()
    await _caller(gateway, ledger).send(work)
    assert len(ledger.judge(Counter({work.content: 2})).wrong) == 2

    not_run = json_response(
        {'outcome': 'not_run', 'reason': '', 'retry_after_s': 9},
        503,
        **{'Bramleybend-Outcome': 'not_run'},
    )
    gateway.script = [not_run]
    false_claim = Ledger()
    await _caller(gateway, false_claim).send(work)
    assert len(false_claim.judge(Counter({work.content: 1})).wrong) == 1


async def test_a_request_without_an_answer_is_lost(
    gateway: _FakeGateway,
) -> None:
    """A request without an answer by its deadline counts as lost."""
    gateway.script = [None] * 100
    ledger = Ledger()
    await _caller(gateway, ledger).send(_plain_work(deadline_s=0.3))
    assert ledger.judge(Counter()).lost == 1
