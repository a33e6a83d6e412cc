"""Callers that stop within a request."""

import asyncio
import json
import socket
import time
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from bramleybend.gateway import caller_connection
from bramleybend.gateway.http_messages import HttpAnswer, HttpRequest
from bramleybend.gateway.http_server import HttpServer

HALF = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf'
WHOLE = b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
KEPT = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
LIMIT_S = 10


async def _answer(req: HttpRequest) -> HttpAnswer:
    return HttpAnswer(200, body=b'{}')


async def _exchange(port: int, sent: bytes) -> bytes:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(sent)
    async with asyncio.timeout(LIMIT_S):
        got = await reader.read()
    writer.close()
    return got


async def test_half_a_request_gets_an_answer_when_its_time_is_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The caller stops within its body and keeps the connection open.

    It is told 408 with the remedy, the fault is counted, and the next caller
    is served. Without the limit such connections would collect for ever.
    """
    monkeypatch.setattr(caller_connection, 'READ_TIMEOUT_S', 0.1)
    monkeypatch.setattr(caller_connection, 'LINGER_TIMEOUT_S', 0.1)
    rejected: list[int] = []
    server = HttpServer(_answer, lambda: rejected.append(1))
    await server.start('127.0.0.1', 0)
    head, _, body = (await _exchange(server.port, HALF)).partition(b'\r\n\r\n')
    after = await _exchange(server.port, WHOLE)
    await server.stop(LIMIT_S)
    assert head.split()[1] == b'408'
    assert json.loads(body)['remedy'] == 'send it whole; nothing was run'
    assert rejected == [1]
    assert after.split()[1] == b'200'


@pytest_asyncio.fixture
async def server() -> AsyncIterator[HttpServer]:
    """A server that listens and has been asked nothing yet."""
    started = HttpServer(_answer, lambda: None)
    await started.start('127.0.0.1', 0)
    yield started
    await started.stop(0)


async def _answered(reader: asyncio.StreamReader) -> bool:
    async with asyncio.timeout(LIMIT_S):
        return (await reader.read()).startswith(b'HTTP/1.1 200')


async def test_a_request_that_is_half_sent_at_a_stop_is_answered(
    server: HttpServer,
) -> None:
    """Guards against a reset of a caller that was paused as it sent."""
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    writer.write(WHOLE[:9])
    await asyncio.sleep(0.1)
    stopping = asyncio.create_task(server.stop(LIMIT_S))
    await asyncio.sleep(0.3)
    writer.write(WHOLE[9:])
    assert await _answered(reader)
    await stopping
    writer.close()


async def test_a_connection_that_is_not_accepted_at_a_stop_is_answered(
    server: HttpServer,
) -> None:
    """Guards against a reset of what waits in the listener's queue."""
    with socket.create_connection(('127.0.0.1', server.port)) as caller:
        caller.sendall(WHOLE)
        # Nothing has run since then: the kernel alone knows the caller.
        stopping = asyncio.create_task(server.stop(LIMIT_S))
        caller.setblocking(False)
        async with asyncio.timeout(LIMIT_S):
            got = await asyncio.get_running_loop().sock_recv(caller, 100)
        await stopping
    assert got.startswith(b'HTTP/1.1 200')


async def test_a_kept_connection_is_told_to_close_at_a_stop(
    server: HttpServer,
) -> None:
    """Guards against a reset of a request that crosses the stop."""
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    writer.write(KEPT)
    await reader.readuntil(b'{}')
    stopping = asyncio.create_task(server.stop(LIMIT_S))
    await asyncio.sleep(0.3)
    writer.write(KEPT)
    async with asyncio.timeout(LIMIT_S):
        last = await reader.read()
    await stopping
    writer.close()
    assert b'connection: close' in last.lower()


async def test_a_caller_that_sends_nothing_does_not_hold_up_a_stop(
    server: HttpServer,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a planned stop that waits for an idle connection."""
    monkeypatch.setattr(caller_connection, 'LAST_REQUEST_TIMEOUT_S', 0.2)
    _, writer = await asyncio.open_connection('127.0.0.1', server.port)
    await asyncio.sleep(0.1)
    began = time.monotonic()
    await server.stop(LIMIT_S)
    assert time.monotonic() - began < LIMIT_S / 2
    writer.close()
