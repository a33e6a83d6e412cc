"""HTTP client that uses a new connection for each exchange, based on h11.

Connecting, sending and reading are separate steps, so that a failure tells
whether the request may have had an effect: a failure to connect sent nothing;
after any later failure, the peer may have processed the request.
"""

import asyncio
import json
from collections.abc import AsyncIterator, Coroutine, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, Final, TypeAlias
from urllib.parse import urlsplit

import h11
from result import Err, Ok, Result

from bramleybend.clients.connection_end import (
    require_no_reset,
    unacknowledged_bytes,
)
from bramleybend.clients.final_response import require_final_response
from bramleybend.clients.framing import Framing, framing_of
from bramleybend.clients.message_bounds import (
    MessageBounds,
    MessageMeter,
    head_bytes,
)
from bramleybend.errors import ErrorKind, Problem, ProblemError
from bramleybend.timeouts import timeout_scope, wait_with_timeout

READ_SIZE: Final = 65536
DEFAULT_PORT: Final = 80
CONNECT_TIMEOUT_S: Final = 1.0
MAX_BODY: Final = 2**24  # bytes
RESPONSE_BOUNDS: Final = MessageBounds(message_bytes=MAX_BODY)
# `TimeoutError` is an `OSError`.
EXCHANGE_ERRORS: Final = (OSError, h11.ProtocolError, EOFError)
CALL_ERRORS: Final = (*EXCHANGE_ERRORS, ProblemError)

Headers: TypeAlias = Sequence[tuple[str, str]]


@dataclass(frozen=True)
class HttpResponse:
    """A response: status, headers by name in lower case, and body."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def framing(self) -> Framing:
        """How the end of the body is determined."""
        return framing_of(self.headers)


class Exchange:
    """Sends one request and reads its response; owns the connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Use an open connection."""
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)
        self._meter = MessageMeter(RESPONSE_BOUNDS)
        self._received_bytes = 0
        self._sent_bytes = 0  # of the body
        self._framing = Framing.LENGTH  # of the response

    async def send(
        self,
        method: str,
        target: str,
        headers: Headers = (),
        body: bytes = b'',
    ) -> None:
        """Write the whole request."""
        peer = self._writer.get_extra_info('peername')
        request = h11.Request(
            method=method,
            target=target,
            headers=[
                ('Host', f'{peer[0]}:{peer[1]}'),
                ('Content-Length', str(len(body))),
                ('Connection', 'close'),
                *headers,
            ],
        )
        self._sent_bytes = len(body)
        parts = [self._http.send(request)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._writer.write(b''.join(part for part in parts if part))
        await self._writer.drain()

    async def read_head(self) -> HttpResponse:
        """Read status and headers; `iter_body` reads the body.

        The result's body is empty. Raises `EOFError` if the peer closes the
        connection first, and `h11.RemoteProtocolError` if the head is
        malformed.
        """
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            self._meter.add_filler(head_bytes(event))
            event = await self._next_event()
        response = require_final_response(event)
        headers = {
            name.decode('latin-1'): text.decode('latin-1')
            for name, text in response.headers
        }
        head = HttpResponse(response.status_code, headers, b'')
        self._framing = head.framing
        return head

    async def iter_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body; raises if it is truncated."""
        event = await self._next_event()
        while isinstance(event, h11.Data):
            self._meter.add_content(len(event.data))
            yield bytes(event.data)
            event = await self._next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise EOFError('the connection ended within an answer')
        if self._reader.at_eof() and self._framing is Framing.CONNECTION:
            transport = self._writer.transport
            if unacknowledged_bytes(transport):
                raise EOFError('the peer ended before it read the request')
            await require_no_reset(transport, self._sent_bytes)

    def close(self) -> None:
        """Close the connection in any state of the exchange."""
        self._writer.close()

    async def _next_event(self) -> object:
        event = self._http.next_event()
        while event is h11.NEED_DATA:
            self._meter.check_framing(self._received_bytes)
            received = await self._reader.read(READ_SIZE)
            self._received_bytes += len(received)
            self._http.receive_data(received)
            event = self._http.next_event()
        return event


async def connect(host: str, port: int) -> Exchange:
    """Open a connection; an `OSError` means that nothing was sent."""
    try:
        async with timeout_scope(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
    except TimeoutError:
        raise ConnectionError(f'{host}:{port} did not answer') from None
    return Exchange(reader, writer)


class HttpApi:
    """Client of a JSON API on one host, with a timeout for each call."""

    def __init__(self, url: str, timeout_s: float) -> None:
        """Set host and port from `url`; each call opens a connection."""
        parts = urlsplit(url)
        self._host = parts.hostname or ''
        self._port = parts.port or DEFAULT_PORT
        self._timeout_s = timeout_s

    async def call(
        self,
        method: str,
        target: str,
        payload: object = None,
        extra_timeout_s: float = 0,
        *,
        is_stall_tolerant: bool = False,
    ) -> Result[HttpResponse, Problem]:
        """Send a request, with `payload` as JSON, and read the response.

        After `PEER_UNAVAILABLE` nothing was sent; after `TIMEOUT`, the peer
        may have processed the request. `extra_timeout_s` extends the timeout.
        With `is_stall_tolerant`, a response that arrived while this process
        was suspended is accepted even if the timeout has passed. It may be as
        old as the suspension, so calls that need current data don't set this.
        """
        try:
            exchange = await connect(self._host, self._port)
        except OSError as exc:
            return Err(self._make_problem(ErrorKind.PEER_UNAVAILABLE, exc))
        body = b'' if payload is None else json.dumps(payload).encode()
        try:
            exchanging = _send_and_read(exchange, method, target, body)
            timeout_s = self._timeout_s + extra_timeout_s
            return Ok(
                await _with_timeout(
                    timeout_s, exchanging, is_stall_tolerant=is_stall_tolerant
                )
            )
        except CALL_ERRORS as exc:
            return Err(self._make_problem(ErrorKind.TIMEOUT, exc))
        finally:
            exchange.close()

    def _make_problem(self, kind: ErrorKind, exc: Exception) -> Problem:
        return Problem(
            kind,
            f'{self._host}:{self._port} failed: {str(exc) or type(exc).__name__}',
            'check that it runs and that the address is right',
        )


async def _send_and_read(
    exchange: Exchange, method: str, target: str, body: bytes
) -> HttpResponse:
    await exchange.send(method, target, (), body)
    return await read_response(exchange)


async def _with_timeout(
    timeout_s: float,
    exchanging: Coroutine[Any, Any, HttpResponse],
    *,
    is_stall_tolerant: bool,
) -> HttpResponse:
    if is_stall_tolerant:
        return await wait_with_timeout(timeout_s, exchanging)
    async with asyncio.timeout(timeout_s):
        return await exchanging


async def read_response(exchange: Exchange) -> HttpResponse:
    """Read status, headers and body.

    Raises `ProblemError` if the body is larger than `MAX_BODY` bytes.
    """
    head = await exchange.read_head()
    parts: list[bytes] = []
    size = 0
    async for chunk in exchange.iter_body():
        parts.append(chunk)
        size += len(chunk)
        if size > MAX_BODY:
            raise ProblemError(
                Problem(
                    ErrorKind.TOO_LARGE,
                    f'the answer is over {MAX_BODY} bytes',
                    'ask for less at a time',
                ),
            )
    return HttpResponse(head.status, head.headers, b''.join(parts))


async def close_writer(writer: asyncio.StreamWriter) -> None:
    """Close a connection; errors of one that is broken are ignored."""
    writer.close()
    with suppress(OSError):
        await writer.wait_closed()
