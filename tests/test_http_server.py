"""Callers that stop within a request, and connections at a planned stop."""

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

HALF_REQUEST = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf'
WHOLE_REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
KEEP_ALIVE_REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
LIMIT_S = 10


async def _answer(req: HttpRequest) -> HttpAnswer:
    return HttpAnswer(200, body=b'{}')


async def _exchange(port: int, sent: bytes) -> bytes:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(sent)
    async with asyncio.timeout(LIMIT_S):
        received = await reader.read()
    writer.close()
    return received


async def test_half_a_request_gets_an_answer_when_its_time_is_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against incomplete requests that hold their connections forever.

    The caller stops within its body and keeps the connection open. It gets
    408 with the remedy, the rejection is counted, and the next caller is
    served.
    """
    monkeypatch.setattr(caller_connection, 'READ_TIMEOUT_S', 0.1)
    monkeypatch.setattr(caller_connection, 'LINGER_TIMEOUT_S', 0.1)
    rejected: list[int] = []
    server = HttpServer(_answer, lambda: rejected.append(1))
    await server.start('127.0.0.1', 0)
    head, _, body = (await _exchange(server.port, HALF_REQUEST)).partition(
        b'\r\n\r\n'
    )
    next_response = await _exchange(server.port, WHOLE_REQUEST)
    await server.stop(LIMIT_S)
    assert head.split()[1] == b'408'
    assert json.loads(body)['remedy'] == 'send it whole; nothing was run'
    assert rejected == [1]
    assert next_response.split()[1] == b'200'


@pytest_asyncio.fixture
async def server() -> AsyncIterator[HttpServer]:
    """A server that listens and has received no request."""
    started = HttpServer(_answer, lambda: None)
    await started.start('127.0.0.1', 0)
    yield started
    await started.stop(0)


async def _is_answered(reader: asyncio.StreamReader) -> bool:
    async with asyncio.timeout(LIMIT_S):
        return (await reader.read()).startswith(b'HTTP/1.1 200')


async def test_a_request_that_is_half_sent_at_a_stop_is_answered(
    server: HttpServer,
) -> None:
    """Guards against resetting a caller that is paused within its request."""
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    writer.write(WHOLE_REQUEST[:9])
    await asyncio.sleep(0.1)
    stopping = asyncio.create_task(server.stop(LIMIT_S))
    await asyncio.sleep(0.3)
    writer.write(WHOLE_REQUEST[9:])
    assert await _is_answered(reader)
    await stopping
    writer.close()


async def test_a_connection_that_is_not_accepted_at_a_stop_is_answered(
    server: HttpServer,
) -> None:
    """Guards against resetting connections in the listen queue."""
    with socket.create_connection(('127.0.0.1', server.port)) as caller:
        caller.sendall(WHOLE_REQUEST)
        # The event loop has not run since then, so the connection is still
        # in the listen queue.
        stopping = asyncio.create_task(server.stop(LIMIT_S))
        caller.setblocking(False)
        async with asyncio.timeout(LIMIT_S):
            received = await asyncio.get_running_loop().sock_recv(caller, 100)
        await stopping
    assert received.startswith(b'HTTP/1.1 200')


async def test_a_kept_connection_is_told_to_close_at_a_stop(
    server: HttpServer,
) -> None:
    """Guards against resetting a request that is sent during the stop."""
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    writer.write(KEEP_ALIVE_REQUEST)
    await reader.readuntil(b'{}')
    stopping = asyncio.create_task(server.stop(LIMIT_S))
    await asyncio.sleep(0.3)
    writer.write(KEEP_ALIVE_REQUEST)
    async with asyncio.timeout(LIMIT_S):
        last_response = await reader.read()
    await stopping
    writer.close()
    assert b'connection: close' in last_response.lower()


async def test_a_caller_that_sends_nothing_does_not_hold_up_a_stop(
    server: HttpServer,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a planned stop that waits for idle connections."""
    monkeypatch.setattr(caller_connection, 'LAST_REQUEST_TIMEOUT_S', 0.2)
    _, writer = await asyncio.open_connection('127.0.0.1', server.port)
    await asyncio.sleep(0.1)
    began = time.monotonic()
    await server.stop(LIMIT_S)
    assert time.monotonic() - began < LIMIT_S / 2
    writer.close()
