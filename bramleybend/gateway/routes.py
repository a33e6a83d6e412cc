"""The callers' interface; docs/CALLERS.md describes it for them."""

import json
from collections.abc import AsyncIterator, Callable
from datetime import timedelta
from http import HTTPMethod, HTTPStatus
from typing import Final
from urllib.parse import parse_qs, urlsplit

from bramleybend.answers import Answer, Outcome, not_run, rejected
from bramleybend.gateway.border import Received
from bramleybend.gateway.http_messages import (
    EVENT_TYPE,
    JSON_TYPE,
    OUTCOME_HEADER,
    HttpAnswer,
    HttpRequest,
    answer_of,
    payload_of,
)
from bramleybend.gateway.intake import Intake
from bramleybend.gateway.run import Run

KEEP_FOR: Final = timedelta(minutes=0.5)
SHOWN: Final = 64  # characters of a wrong path that an answer repeats
MAX_ADDRESSES: Final = 6
RETRY_AFTER: Final = timedelta(seconds=1)


class Routes:
    """Answers each request by its method and path."""

    def __init__(
        self,
        intake: Intake,
        addresses: Callable[[], list[str]],
    ) -> None:
        """Serve one gateway's intake."""
        self._intake = intake
        self._addresses = addresses

    async def handle(self, req: HttpRequest) -> HttpAnswer:
        """Answer one request."""
        parts = urlsplit(req.target)
        match req.method, parts.path:
            case HTTPMethod.GET, '/v1/address':
                await self._intake.freshen()
                return self._address(parts.query)
            case HTTPMethod.GET, '/ready':
                return self._ready()
            case HTTPMethod.POST, '/v1/requests':
                return await self._request(req)
        return answer_of(
            rejected(
                f'there is no {req.method} {parts.path[:SHOWN]}',
                'use GET /v1/address or POST /v1/requests',
                HTTPStatus.NOT_FOUND,
            ),
        )

    def _address(self, query: str) -> HttpAnswer:
        addresses = self._addresses()[:MAX_ADDRESSES]
        if not self._intake.ready:
            return self._go_elsewhere(addresses)
        profile = parse_qs(query).get('profile', [''])[0]
        return _json(
            {
                'addresses': addresses,
                'ticket': str(self._intake.ticket_for(profile)),
                'keep_for_s': KEEP_FOR.total_seconds(),
            }
        )

    def _go_elsewhere(self, addresses: list[str]) -> HttpAnswer:
        answer = not_run('this VM takes no new requests', RETRY_AFTER)
        payload = {**payload_of(answer), 'addresses': addresses[1:]}
        refused = answer_of(answer)
        return HttpAnswer(
            refused.status,
            JSON_TYPE,
            json.dumps(payload).encode(),
            headers=refused.headers,
        )

    def _ready(self) -> HttpAnswer:
        if self._intake.ready:
            return _json({'ready': True})
        return answer_of(not_run('not ready', RETRY_AFTER))

    async def _request(self, req: HttpRequest) -> HttpAnswer:
        await self._intake.freshen()
        run = self._intake.take(Received(req.headers, req.body))
        if isinstance(run, Answer):
            return answer_of(run)
        with run.followed():
            await run.begun()
            if run.req.stream and run.has_begun:
                return HttpAnswer(
                    HTTPStatus.OK,
                    EVENT_TYPE,
                    parts=_events(run),
                )
            return _whole(run, await run.settled())


async def _events(run: Run) -> AsyncIterator[bytes]:
    with run.followed():
        async for event in run.follow():
            yield event
        answer = await run.settled()
    payload = json.dumps(payload_of(answer))
    # The last event is the proof that the answer is whole: a stream that
    # breaks off never has it, whatever the connection looks like.
    yield f'event: outcome\ndata: {payload}\n\n'.encode()


def _whole(run: Run, answer: Answer) -> HttpAnswer:
    if answer.outcome is not Outcome.DONE:
        return answer_of(answer)
    return HttpAnswer(
        HTTPStatus.OK,
        run.content_type or JSON_TYPE,
        run.body,
        headers={OUTCOME_HEADER: str(answer.outcome)},
    )


def _json(payload: dict[str, object]) -> HttpAnswer:
    return HttpAnswer(
        HTTPStatus.OK,
        JSON_TYPE,
        json.dumps(payload).encode(),
    )
