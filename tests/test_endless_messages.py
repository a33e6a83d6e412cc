"""Peers of our own interface, and callers, whose bytes have no end."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from time import thread_time
from types import MappingProxyType
from typing import Final
from unittest.mock import AsyncMock, Mock

import h11
import pytest

from bramleybend.clients.http import Exchange, read_whole
from bramleybend.clients.message_bounds import MessageTooLongError
from bramleybend.clients.runner import events_of
from bramleybend.errors import ProblemError
from bramleybend.gateway.caller_connection import Connection
from tests.direct.cluster import KEY, running_cluster
from tests.utils.endless_bytes import (
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
ENDLESS: Final = (
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
async def fed(first: bytes, then: bytes) -> AsyncIterator[asyncio.StreamReader]:
    """Yield a reader to which these bytes come without end."""
    reader = asyncio.StreamReader()

    async def feed() -> None:
        reader.feed_data(first or then)
        while True:
            reader.feed_data(then * (READ // len(then)))
            await asyncio.sleep(0)

    feeding = asyncio.create_task(feed())
    yield reader
    feeding.cancel()


def writer() -> Mock:
    """Return a writer to nowhere."""
    made = Mock(drain=AsyncMock(), wait_closed=AsyncMock())
    made.get_extra_info.return_value = ('127.0.0.1', 80)
    return made


@pytest.mark.parametrize('case', [*HEADS, *FRAMING, 'body'])
async def test_an_answer_without_end_on_our_own_interface_is_left(
    case: str,
) -> None:
    """A log, a list or a runner that sends for ever would hold a task."""
    first, then = {**HEADS, **FRAMING, 'body': BODY}[case]
    before = thread_time()
    async with fed(first, then) as reader:
        exchange = Exchange(reader, writer())
        await exchange.send('GET', '/')
        with pytest.raises(ENDLESS):
            await read_whole(exchange)
    assert thread_time() - before <= PROCESSOR_S


@pytest.mark.parametrize('case', EVENTS)
async def test_events_without_end_on_our_own_interface_are_left(
    case: str,
) -> None:
    """Searched from its start at each part, an event costs their square."""
    first, then = EVENTS[case]
    before = thread_time()
    async with fed(FRAMED + chunk(first or then), chunk(then)) as reader:
        exchange = Exchange(reader, writer())
        await exchange.send('GET', '/')
        await exchange.head()
        with pytest.raises(MessageTooLongError):
            async for _ in events_of(exchange):
                """Read on."""
    assert thread_time() - before <= PROCESSOR_S


@pytest.mark.parametrize('case', REQUESTS)
async def test_a_request_without_end_is_refused(case: str) -> None:
    """A caller that sends for ever would take the processor from others."""
    first, then = REQUESTS[case]
    answered = AsyncMock()
    before = thread_time()
    async with fed(first, then) as reader:
        out = writer()
        conn = Connection(reader, out, answered, Mock())
        rejected = Mock()
        async with asyncio.timeout(4):
            await conn.serve(rejected)
    assert thread_time() - before <= PROCESSOR_S
    rejected.assert_called_once()
    answered.assert_not_awaited()


@pytest.mark.parametrize('case', REQUESTS)
async def test_a_raw_request_without_end_is_refused(case: str) -> None:
    """A caller that sends for ever would take the processor from others."""
    first, then = REQUESTS[case]
    key = f'Authorization: Token {KEY}\r\n'.encode()
    async with running_cluster() as world:
        caller = await world.connect()
        caller.writer.write(first.replace(POST, POST + key))
        sending = asyncio.create_task(_send_on(caller.writer, then))
        answer = await caller.answer(2)
        assert answer.status in {400, 413, 431}
        async with asyncio.timeout(2):
            await sending


async def _send_on(out: asyncio.StreamWriter, then: bytes) -> None:
    """Send until the other side closes."""
    try:
        while True:
            out.write(then)
            await out.drain()
            await asyncio.sleep(0)
    except ConnectionError:
        return
