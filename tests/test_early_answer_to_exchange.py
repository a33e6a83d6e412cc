"""Answers of runners that the gateway must not take for whole ones."""

import asyncio
from typing import cast

import h11
import pytest

from bramleybend.clients.h11_protocol import reset_transport
from bramleybend.clients.http import connect, read_response

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{}'


async def answer_then_reset(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Read the head, send whole JSON, end this side and reset."""
    await reader.readuntil(b'\r\n\r\n')
    writer.write(ANSWER)
    await writer.drain()
    writer.write_eof()
    await asyncio.sleep(0.02)
    reset_transport(cast(asyncio.Transport, writer.transport))


@pytest.mark.parametrize('size', [50_000, 2_000_000])
async def test_json_before_a_reset_is_no_whole_answer(size: int) -> None:
    """A part that happens to be JSON must not pass for a whole answer."""
    server = await asyncio.start_server(answer_then_reset, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    exchange = await connect('127.0.0.1', port)
    with pytest.raises((OSError, EOFError)):
        await exchange.send('POST', '/x', body=bytes(size))
        await read_response(exchange)
    exchange.close()
    server.close()


@pytest.mark.parametrize('status', [b'000', b'099', b'101', b'600', b'999'])
async def test_an_invalid_status_is_no_answer(status: bytes) -> None:
    """A caller must not get a status outside the classes of HTTP."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(ANSWER.replace(b'200', status))
        writer.close()

    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    exchange = await connect('127.0.0.1', port)
    with pytest.raises(h11.RemoteProtocolError):
        await exchange.send('GET', '/x')
        await read_response(exchange)
    exchange.close()
    server.close()
