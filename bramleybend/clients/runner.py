"""Runs one request on a runner: an engine or a plain service.

Each run carries a run id of our own. An engine that has admitted an id
refuses it a second time, and resumes its stream from any event, so a broken
connection never needs a second dispatch.
"""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

from bramleybend.clients.http import (
    BROKEN,
    Exchange,
    HttpResponse,
    connect,
    read_whole,
)
from bramleybend.clients.message_bounds import (
    EVENT_BYTES,
    USUAL_BOUNDS,
    MessageMeter,
    MessageTooLongError,
)
from bramleybend.models import ServiceKind

RUN_ID: Final = 'X-Run-Id'
NOT_RUN_MARK: Final = 'x-not-run'
DONE_EVENT: Final = b'data: [DONE]'
DATA_FIELD: Final = b'data: '
EVENT_END: Final = b'\n\n'
CANCEL_TIMEOUT_S: Final = 2.0
REFUSALS: Final = frozenset(
    (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


@dataclass(frozen=True)
class Usage:
    """What an engine says a run cost, in tokens."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


@dataclass(frozen=True)
class RunnerAddress:
    """Where a run goes and how it is spoken to."""

    host: str
    port: int
    kind: ServiceKind


@dataclass(frozen=True)
class RunBody:
    """What is sent: the caller's bytes under our run id."""

    run_id: str
    body: bytes


async def send_run(
    exchange: Exchange,
    kind: ServiceKind,
    run: RunBody,
) -> None:
    """Send a run; from the first byte on it counts as dispatched."""
    target = '/v1/completions' if kind is ServiceKind.ENGINE else '/call'
    headers = ((RUN_ID, run.run_id), ('Content-Type', 'application/json'))
    with suppress(*BROKEN):
        # Part of the request may have been read, so a broken send is no
        # proof that nothing ran; the next read of the exchange fails.
        await exchange.send('POST', target, headers, run.body)


async def resume_run(
    address: RunnerAddress,
    run_id: str,
    start: int,
) -> Exchange:
    """Ask an engine for a run's events from `start` on."""
    exchange = await connect(address.host, address.port)
    await exchange.send('GET', f'/v1/runs/{run_id}/events?from={start}')
    return exchange


async def cancel_run(address: RunnerAddress, run_id: str) -> bool:
    """Stop a run; true once the engine has said that it is over."""
    if address.kind is not ServiceKind.ENGINE:
        return False
    with suppress(*BROKEN):
        async with asyncio.timeout(CANCEL_TIMEOUT_S):
            exchange = await connect(address.host, address.port)
            try:
                await exchange.send('POST', f'/v1/runs/{run_id}/cancel')
                response = await read_whole(exchange)
            finally:
                exchange.close()
            return response.status == HTTPStatus.OK
    return False


def was_refused(head: HttpResponse, kind: ServiceKind) -> bool:
    """Whether the runner says that nothing ran."""
    if head.status not in REFUSALS:
        return False
    return kind is ServiceKind.ENGINE or NOT_RUN_MARK in head.headers


async def events_of(exchange: Exchange) -> AsyncIterator[bytes]:
    """Yield whole server-sent events; a torn last one is never yielded.

    Raises `MessageTooLongError` where an event, or the stream, has no end.
    """
    meter = MessageMeter(USUAL_BOUNDS)
    pending = bytearray()
    async for chunk in exchange.chunks():
        searched = max(len(pending) - 1, 0)
        pending += chunk
        if pending.find(EVENT_END, searched) >= 0:
            *whole, rest = bytes(pending).split(EVENT_END)
            pending = bytearray(rest)
            for event in whole:
                meter.add_content(len(event))
                yield event
        if len(pending) > EVENT_BYTES:
            raise MessageTooLongError(f'an event is over {EVENT_BYTES} bytes')


def is_json(body: bytes) -> bool:
    """Tell whether a body is one whole JSON text."""
    try:
        json.loads(body)
    except ValueError:
        return False
    return True


def usage_in(payload: bytes) -> Usage | None:
    """Return the usage that an event or a body carries, if any."""
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
