"""Client of runners: sends, resumes and cancels runs.

A runner is an engine or a plain service. This system gives each run an id. An
engine refuses an id that it has already admitted, and can resume the stream of
a run from any event, so a run is not dispatched again after its connection
breaks.
"""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

from bramleybend.clients.http import (
    EXCHANGE_ERRORS,
    Exchange,
    HttpResponse,
    connect,
    read_response,
)
from bramleybend.clients.message_bounds import (
    DEFAULT_BOUNDS,
    DEFAULT_EVENT_BYTES,
    MessageMeter,
    MessageTooLongError,
)
from bramleybend.models import ServiceKind

RUN_ID_HEADER: Final = 'X-Run-Id'
NOT_RUN_HEADER: Final = 'x-not-run'
DONE_EVENT: Final = b'data: [DONE]'
DATA_FIELD: Final = b'data: '
EVENT_END: Final = b'\n\n'
CANCEL_TIMEOUT_S: Final = 2.0
REFUSAL_STATUSES: Final = frozenset(
    (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


@dataclass(frozen=True)
class Usage:
    """Token counts of a run, as its engine reports them."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


@dataclass(frozen=True)
class RunnerAddress:
    """Address of a runner, and its kind, which determines the protocol."""

    host: str
    port: int
    kind: ServiceKind


@dataclass(frozen=True)
class RunRequest:
    """A run's id and the body of its caller's request."""

    run_id: str
    body: bytes


async def send_run(
    exchange: Exchange,
    kind: ServiceKind,
    run: RunRequest,
) -> None:
    """Send a run, which counts as dispatched from its first byte on.

    Errors of the connection are raised by the next read of the exchange.
    """
    target = '/v1/completions' if kind is ServiceKind.ENGINE else '/call'
    headers = (
        (RUN_ID_HEADER, run.run_id),
        ('Content-Type', 'application/json'),
    )
    with suppress(*EXCHANGE_ERRORS):
        # The runner may have read enough of the request to run it, so a
        # failed send doesn't prove that nothing ran.
        await exchange.send('POST', target, headers, run.body)


async def resume_run(
    address: RunnerAddress,
    run_id: str,
    start: int,
) -> Exchange:
    """Request a run's events from number `start` on from its engine."""
    exchange = await connect(address.host, address.port)
    await exchange.send('GET', f'/v1/runs/{run_id}/events?from={start}')
    return exchange


async def cancel_run(address: RunnerAddress, run_id: str) -> bool:
    """Cancel a run; return whether its engine confirmed that it ended.

    Only engines can cancel runs.
    """
    if address.kind is not ServiceKind.ENGINE:
        return False
    with suppress(*EXCHANGE_ERRORS):
        async with asyncio.timeout(CANCEL_TIMEOUT_S):
            exchange = await connect(address.host, address.port)
            try:
                await exchange.send('POST', f'/v1/runs/{run_id}/cancel')
                response = await read_response(exchange)
            finally:
                exchange.close()
            return response.status == HTTPStatus.OK
    return False


def is_refusal(head: HttpResponse, kind: ServiceKind) -> bool:
    """Tell whether a response states that the request was not run."""
    if head.status not in REFUSAL_STATUSES:
        return False
    return kind is ServiceKind.ENGINE or NOT_RUN_HEADER in head.headers


async def iter_events(exchange: Exchange) -> AsyncIterator[bytes]:
    """Yield complete server-sent events, without a truncated last one.

    Raises `MessageTooLongError` if an event or the stream is too long.
    """
    meter = MessageMeter(DEFAULT_BOUNDS)
    pending = bytearray()
    async for chunk in exchange.iter_body():
        search_start = max(len(pending) - 1, 0)
        pending += chunk
        if pending.find(EVENT_END, search_start) >= 0:
            *events, remainder = bytes(pending).split(EVENT_END)
            pending = bytearray(remainder)
            for event in events:
                meter.add_content(len(event))
                yield event
        if len(pending) > DEFAULT_EVENT_BYTES:
            raise MessageTooLongError(
                f'an event is over {DEFAULT_EVENT_BYTES} bytes'
            )


def is_json(body: bytes) -> bool:
    """Tell whether a body is a complete JSON document."""
    try:
        json.loads(body)
    except ValueError:
        return False
    return True


def parse_usage(payload: bytes) -> Usage | None:
    """Return the token counts in an event or body; `None` if absent."""
    if b'"usage"' not in payload:
        return None
    try:
        usage = json.loads(payload.removeprefix(DATA_FIELD))['usage']
        return Usage(
            int(usage['prompt_tokens']),
            int(usage['cached_tokens']),
            int(usage['completion_tokens']),
        )
    except (ValueError, KeyError, TypeError):
        return None
