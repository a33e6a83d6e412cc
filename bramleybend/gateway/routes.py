"""HTTP routes of the callers' interface, described in docs/CALLERS.md."""

import json
from collections.abc import AsyncIterator, Callable
from datetime import timedelta
from http import HTTPMethod, HTTPStatus
from typing import Final
from urllib.parse import parse_qs, urlsplit

from bramleybend.answers import Answer, Outcome, answer_not_run, answer_rejected
from bramleybend.gateway.http_messages import (
    EVENT_TYPE,
    JSON_TYPE,
    OUTCOME_HEADER,
    HttpAnswer,
    HttpRequest,
    make_http_answer,
    make_payload,
)
from bramleybend.gateway.intake import Intake
from bramleybend.gateway.request_checks import ReceivedRequest
from bramleybend.gateway.run import Run

KEEP_TICKET_FOR: Final = timedelta(minutes=0.5)
MAX_ECHOED_CHARS: Final = 64  # of a wrong path, in an answer
MAX_ADDRESSES: Final = 6
RETRY_AFTER: Final = timedelta(seconds=1)


class Routes:
    """Routes each HTTP request by its method and path."""

    def __init__(
        self,
        intake: Intake,
        addresses: Callable[[], list[str]],
    ) -> None:
        """Serve an intake; `addresses` lists VMs, this VM's address first."""
        self._intake = intake
        self._addresses = addresses

    async def handle(self, req: HttpRequest) -> HttpAnswer:
        """Return the answer to one HTTP request."""
        parts = urlsplit(req.target)
        match req.method, parts.path:
            case HTTPMethod.GET, '/v1/address':
                await self._intake.wait_for_fresh_view()
                return self._get_address(parts.query)
            case HTTPMethod.GET, '/ready':
                return self._get_ready()
            case HTTPMethod.POST, '/v1/requests':
                return await self._post_request(req)
        return make_http_answer(
            answer_rejected(
                f'there is no {req.method} {parts.path[:MAX_ECHOED_CHARS]}',
                'use GET /v1/address or POST /v1/requests',
                HTTPStatus.NOT_FOUND,
            ),
        )

    def _get_address(self, query: str) -> HttpAnswer:
        addresses = self._addresses()[:MAX_ADDRESSES]
        if not self._intake.is_ready:
            return self._refuse_ticket(addresses)
        profile = parse_qs(query).get('profile', [''])[0]
        return _json_answer(
            {
                'addresses': addresses,
                'ticket': str(self._intake.make_ticket(profile)),
                'keep_for_s': KEEP_TICKET_FOR.total_seconds(),
            }
        )

    def _refuse_ticket(self, addresses: list[str]) -> HttpAnswer:
        answer = answer_not_run('this VM takes no new requests', RETRY_AFTER)
        payload = {**make_payload(answer), 'addresses': addresses[1:]}
        refused = make_http_answer(answer)
        return HttpAnswer(
            refused.status,
            JSON_TYPE,
            json.dumps(payload).encode(),
            headers=refused.headers,
        )

    def _get_ready(self) -> HttpAnswer:
        if self._intake.is_ready:
            return _json_answer({'ready': True})
        return make_http_answer(answer_not_run('not ready', RETRY_AFTER))

    async def _post_request(self, req: HttpRequest) -> HttpAnswer:
        await self._intake.wait_for_fresh_view()
        run = self._intake.accept(ReceivedRequest(req.headers, req.body))
        if isinstance(run, Answer):
            return make_http_answer(run)
        with run.track_follower():
            await run.wait_until_started()
            if run.req.stream and run.has_answer_data:
                return HttpAnswer(
                    HTTPStatus.OK,
                    EVENT_TYPE,
                    parts=_stream_events(run),
                )
            return _whole_answer(run, await run.wait_for_outcome())


async def _stream_events(run: Run) -> AsyncIterator[bytes]:
    with run.track_follower():
        async for event in run.stream_answer():
            yield event
        answer = await run.wait_for_outcome()
    payload = json.dumps(make_payload(answer))
    # The final event proves that the answer is complete. A stream that broke
    # off lacks it, even if its connection was closed cleanly.
    yield f'event: outcome\ndata: {payload}\n\n'.encode()


def _whole_answer(run: Run, answer: Answer) -> HttpAnswer:
    if answer.outcome is not Outcome.DONE:
        return make_http_answer(answer)
    return HttpAnswer(
        HTTPStatus.OK,
        run.content_type or JSON_TYPE,
        run.answer_body,
        headers={OUTCOME_HEADER: str(answer.outcome)},
    )


def _json_answer(payload: dict[str, object]) -> HttpAnswer:
    return HttpAnswer(
        HTTPStatus.OK,
        JSON_TYPE,
        json.dumps(payload).encode(),
    )
