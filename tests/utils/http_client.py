"""A small HTTP/1.1 client for tests: one request per connection."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import urlsplit

import h11

READ_SIZE: Final = 65536
CALL_TIMEOUT_S: Final = 10
# A paused peer keeps its connections open and sends nothing. Without a read
# timeout, a caller would wait for it until the request's deadline.
READ_TIMEOUT_S: Final = 5
BEFORE_RESPONSE_HEAD: Final = 'before the response head'


class BrokenCallError(Exception):
    """The connection broke before the answer was complete."""


@dataclass(frozen=True)
class Reply:
    """One complete answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Parse the body as JSON."""
        return json.loads(self.body)


class Exchange:
    """One request and its answer, read in chunks."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Use an open connection; `close` aborts it."""
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)
        self.status = 0
        self.headers: dict[str, str] = {}

    async def send(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        """Send the request and read the head of the answer."""
        fields = [*headers.items(), ('Content-Length', str(len(body)))]
        for event in (
            h11.Request(method=method, target=target, headers=fields),
            h11.Data(data=body),
            h11.EndOfMessage(),
        ):
            self._writer.write(self._http.send(event) or b'')
        await self._writer.drain()
        head = await self._next_event()
        if not isinstance(head, h11.Response):
            raise BrokenCallError('connection closed without a response')
        self.status = head.status_code
        self.headers = {
            name.decode().lower(): value.decode()
            for name, value in head.headers
        }

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield chunks of the body; raise BrokenCallError if it is cut off."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise BrokenCallError('response body is incomplete')
            yield bytes(event.data)

    def close(self) -> None:
        """Abort the connection."""
        self._writer.transport.abort()

    async def _next_event(self) -> object:
        try:
            event: object = self._http.next_event()
            while event is h11.NEED_DATA:
                async with asyncio.timeout(READ_TIMEOUT_S):
                    received = await self._reader.read(READ_SIZE)
                self._http.receive_data(received)
                event = self._http.next_event()
            return event
        except TimeoutError as exc:
            where = (
                'within the response' if self.status else BEFORE_RESPONSE_HEAD
            )
            raise BrokenCallError(f'read timed out {where}') from exc
        except (OSError, h11.ProtocolError) as exc:
            raise BrokenCallError(repr(exc)) from exc


@contextlib.asynccontextmanager
async def exchange(
    method: str,
    url: str,
    headers: Mapping[str, str] | None = None,
    body: bytes = b'',
) -> AsyncIterator[Exchange]:
    """Send one request; on entry the response head has been read."""
    parts = urlsplit(url)
    try:
        reader, writer = await asyncio.open_connection(
            parts.hostname,
            parts.port,
        )
    except OSError as exc:
        raise BrokenCallError(repr(exc)) from exc
    conn = Exchange(reader, writer)
    target = f'{parts.path or "/"}?{parts.query}'.rstrip('?')
    try:
        await conn.send(
            method,
            target,
            {'Host': parts.netloc, **(headers or {})},
            body,
        )
        yield conn
    except OSError as exc:
        raise BrokenCallError(repr(exc)) from exc
    finally:
        conn.close()


async def call(
    method: str,
    url: str,
    headers: Mapping[str, str] | None = None,
    body: bytes = b'',
    timeout_s: float = CALL_TIMEOUT_S,
) -> Reply:
    """Send one request and read the complete answer."""
    try:
        async with (
            asyncio.timeout(timeout_s),
            exchange(method, url, headers, body) as conn,
        ):
            chunks = [chunk async for chunk in conn.chunks()]
    except TimeoutError as exc:
        raise BrokenCallError('call timed out') from exc
    return Reply(conn.status, conn.headers, b''.join(chunks))


async def call_json(method: str, url: str, value: object = None) -> Any:
    """Send `value` as JSON, if any, and return the parsed JSON answer."""
    body = b'' if value is None else json.dumps(value).encode()
    return (await call(method, url, body=body)).json()
