"""Endless messages from peers and callers are rejected at a bounded cost."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from time import thread_time
from types import MappingProxyType
from typing import Final
from unittest.mock import AsyncMock, Mock

import h11
import pytest

from bramleybend.clients.http import Exchange, read_response
from bramleybend.clients.message_bounds import MessageTooLongError
from bramleybend.clients.runner import iter_events
from bramleybend.errors import ProblemError
from bramleybend.gateway.caller_connection import CallerConnection
from tests.direct.cluster import KEY, running_cluster
from tests.utils.endless_messages import (
    EVENTS,
    FRAMED,
    FRAMING,
    HEADS,
    OK,
    PROCESSOR_S,
    READ,
)
from tests.utils.raw_runner import chunk

BODY: Final = (b'%bContent-Type: text/plain\r\n\r\n' % OK, b'body' * 4096)
POST: Final = b'POST /book/x HTTP/1.1\r\nHost: desk.example\r\n'
CHUNKED_POST: Final = b'%bTransfer-Encoding: chunked\r\n\r\n' % POST
ENDLESS_ERRORS: Final = (
    MessageTooLongError,
    ProblemError,
    h11.RemoteProtocolError,
)
REQUESTS: Final = MappingProxyType(
    {
        'chunk extensions': (CHUNKED_POST, FRAMING['chunk extensions'][1]),
        'chunks of one byte': (CHUNKED_POST, chunk(b'x') * 90),
        'one chunk extension': (b'%b1;' % CHUNKED_POST, b'e' * 512),
        'many headers': (POST, b'X-More: 1\r\n' * 50),
    }
)


@asynccontextmanager
async def endless_reader(
    first: bytes, repeated: bytes
) -> AsyncIterator[asyncio.StreamReader]:
    """Yield a reader that gets `first` once, then `repeated` forever."""
    reader = asyncio.StreamReader()

    async def feed() -> None:
        reader.feed_data(first or repeated)
        while True:
            reader.feed_data(repeated * (READ // len(repeated)))
            await asyncio.sleep(0)

    feeding = asyncio.create_task(feed())
    yield reader
    feeding.cancel()


def discarding_writer() -> Mock:
    """Return a stream writer that discards what is written."""
    mock_writer = Mock(drain=AsyncMock(), wait_closed=AsyncMock())
    mock_writer.get_extra_info.return_value = ('127.0.0.1', 80)
    return mock_writer


@pytest.mark.parametrize('case', [*HEADS, *FRAMING, 'body'])
async def test_an_endless_response_is_abandoned(
    case: str,
) -> None:
    """Guards against a log, VM list or runner that never stops sending.

    The task that reads its response would never end.
    """
    first, repeated = {**HEADS, **FRAMING, 'body': BODY}[case]
    cpu_time_before = thread_time()
    async with endless_reader(first, repeated) as reader:
        exchange = Exchange(reader, discarding_writer())
        await exchange.send('GET', '/')
        with pytest.raises(ENDLESS_ERRORS):
            await read_response(exchange)
    assert thread_time() - cpu_time_before <= PROCESSOR_S


@pytest.mark.parametrize('case', EVENTS)
async def test_endless_events_are_abandoned(
    case: str,
) -> None:
    """Guards against CPU time that grows with the square of an event's size.

    It does if each part that arrives has the event searched from its start.
    """
    first, repeated = EVENTS[case]
    cpu_time_before = thread_time()
    async with endless_reader(
        FRAMED + chunk(first or repeated), chunk(repeated)
    ) as reader:
        exchange = Exchange(reader, discarding_writer())
        await exchange.send('GET', '/')
        await exchange.read_head()
        with pytest.raises(MessageTooLongError):
            async for _ in iter_events(exchange):
                """Discard the event."""
    assert thread_time() - cpu_time_before <= PROCESSOR_S


@pytest.mark.parametrize('case', REQUESTS)
async def test_a_request_without_end_is_refused(case: str) -> None:
    """Guards against a caller that takes the CPU time of all others."""
    first, repeated = REQUESTS[case]
    handler = AsyncMock()
    cpu_time_before = thread_time()
    async with endless_reader(first, repeated) as reader:
        out = discarding_writer()
        conn = CallerConnection(reader, out, handler, Mock())
        on_rejected = Mock()
        async with asyncio.timeout(4):
            await conn.serve(on_rejected)
    assert thread_time() - cpu_time_before <= PROCESSOR_S
    on_rejected.assert_called_once()
    handler.assert_not_awaited()


@pytest.mark.parametrize('case', REQUESTS)
async def test_a_raw_request_without_end_is_refused(case: str) -> None:
    """Guards against a caller that takes the CPU time of all others."""
    first, repeated = REQUESTS[case]
    key = f'Authorization: Token {KEY}\r\n'.encode()
    async with running_cluster() as world:
        caller = await world.connect()
        caller.writer.write(first.replace(POST, POST + key))
        sending = asyncio.create_task(_send_endlessly(caller.writer, repeated))
        answer = await caller.answer(2)
        assert answer.status in {400, 413, 431}
        async with asyncio.timeout(2):
            await sending


async def _send_endlessly(out: asyncio.StreamWriter, repeated: bytes) -> None:
    """Send `repeated` again and again until the peer closes the connection."""
    try:
        while True:
            out.write(repeated)
            await out.drain()
            await asyncio.sleep(0)
    except ConnectionError:
        return
