"""A small HTTP/1.1 server for the stand-ins, one task per connection."""

import asyncio
import json
from collections.abc import AsyncGenerator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import parse_qsl, urlsplit

import h11

READ_SIZE: Final = 65536
BACKLOG: Final = 1024


class DropConnectionError(Exception):
    """Raised by a handler to close its connection without an answer."""


@dataclass(frozen=True)
class HttpRequest:
    """One request with its complete body."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Parse the body as JSON; an empty body gives an empty object."""
        return json.loads(self.body or b'{}')


@dataclass(frozen=True)
class HttpResponse:
    """One answer; `stream`, if given, is sent instead of `body`."""

    status: int = HTTPStatus.OK
    body: bytes = b''
    headers: Mapping[str, str] = field(default_factory=dict)
    stream: AsyncGenerator[bytes, None] | None = None


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def json_response(
    value: object,
    status: int = HTTPStatus.OK,
    **headers: str,
) -> HttpResponse:
    """Return an answer with `value` as its JSON body."""
    return HttpResponse(
        status,
        json.dumps(value).encode(),
        {'Content-Type': 'application/json', **headers},
    )


class HttpServer:
    """Listens on one address and passes each request to a handler."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        """Set the address; `start` binds it."""
        self.host = host
        self.port = port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def url(self) -> str:
        """Return the base address for clients."""
        return f'http://{self.host}:{self.port}'

    async def start(self) -> None:
        """Listen; a port of 0 is replaced by the one that was bound."""
        self._server = await asyncio.start_server(
            self._serve,
            self.host,
            self.port,
            backlog=BACKLOG,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and abort every open connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        tasks = [
            task for task in self._tasks if task is not asyncio.current_task()
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def refuse_for(self, seconds: float) -> None:
        """Stop listening, so that connections are refused, then start again."""
        await self.stop()
        await asyncio.sleep(seconds)
        await self.start()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await _Connection(reader, writer, self._handler).run()
        except (DropConnectionError, OSError, h11.ProtocolError):
            writer.transport.abort()
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()


class _Connection:
    """Reads and answers the requests of one connection, in order."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._http = h11.Connection(h11.SERVER)

    async def run(self) -> None:
        while True:
            req = await self._read_request()
            if req is None:
                return
            await self._write_response(await self._handle(req))
            if self._http.our_state is not h11.DONE:
                return
            if self._http.their_state is not h11.DONE:
                return
            self._http.start_next_cycle()

    async def _handle(self, req: HttpRequest) -> HttpResponse:
        try:
            return await self._handler(req)
        except (ValueError, KeyError, TypeError) as exc:
            return json_response(
                {'error': repr(exc)},
                HTTPStatus.BAD_REQUEST,
            )

    async def _read_request(self) -> HttpRequest | None:
        head: h11.Request | None = None
        body = b''
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return _make_request(head, body)
            else:
                return None

    async def _next_event(self) -> object:
        event: object = self._http.next_event()
        while event is h11.NEED_DATA:
            self._http.receive_data(await self._reader.read(READ_SIZE))
            event = self._http.next_event()
        return event

    async def _write_response(self, resp: HttpResponse) -> None:
        headers = dict(resp.headers)
        if resp.stream is None:
            headers['Content-Length'] = str(len(resp.body))
        self._write(
            h11.Response(
                status_code=resp.status,
                headers=list(headers.items()),
            ),
        )
        if resp.stream is None:
            self._write(h11.Data(data=resp.body))
        else:
            await self._write_stream(resp.stream)
        self._write(h11.EndOfMessage())
        await self._writer.drain()

    async def _write_stream(self, stream: AsyncGenerator[bytes, None]) -> None:
        try:
            async for chunk in stream:
                self._write(h11.Data(data=chunk))
                await self._writer.drain()
        finally:
            await stream.aclose()

    def _write(self, event: h11.Event) -> None:
        encoded = self._http.send(event)
        if encoded:
            self._writer.write(encoded)


def _make_request(head: h11.Request, body: bytes) -> HttpRequest:
    target = urlsplit(head.target.decode())
    return HttpRequest(
        method=head.method.decode(),
        path=target.path,
        query=dict(parse_qsl(target.query)),
        headers={
            name.decode().lower(): value.decode()
            for name, value in head.headers
        },
        body=body,
    )
