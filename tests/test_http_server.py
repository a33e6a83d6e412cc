"""Callers that stop within a request."""

import asyncio
import json

import pytest

from bramleybend.gateway import http_server
from bramleybend.gateway.http_server import (
    HttpAnswer,
    HttpRequest,
    HttpServer,
)

HALF = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf'
WHOLE = b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
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
    monkeypatch.setattr(http_server, 'READ_TIMEOUT_S', 0.1)
    monkeypatch.setattr(http_server, 'LINGER_S', 0.1)
    rejected: list[int] = []
    server = HttpServer(_answer, lambda: rejected.append(1))
    await server.start('127.0.0.1', 0)
    head, _, body = (await _exchange(server.port, HALF)).partition(b'\r\n\r\n')
    after = await _exchange(server.port, WHOLE)
    await server.stop()
    assert head.split()[1] == b'408'
    assert json.loads(body)['remedy'] == 'send it whole; nothing was run'
    assert rejected == [1]
    assert after.split()[1] == b'200'
