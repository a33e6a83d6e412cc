"""A stand-in for a runner, down to the bytes that it writes."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import h11

ID = 'x-bramleybend-attempt-id'
STAMP = 'x-bramleybend-response-stamp'
LIMIT = 'server-limit'


@dataclass
class Seen:
    """One request that came in."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    left: asyncio.Event  # set once the connection has closed
    connection: int

    @property
    def attempt(self) -> str:
        """Return the id that the answer has to echo."""
        return self.headers.get(ID, '')

    def answer(
        self,
        status: str = '200 OK',
        body: bytes = b'done',
        attempt: str = '',
        limit: str = '',
    ) -> bytes:
        """Return a whole answer's bytes; `limit` in requests a second."""
        limited = f'{LIMIT}: {limit}\r\n' if limit else ''
        return (
            f'HTTP/1.1 {status}\r\n{ID}: {attempt or self.attempt}\r\n'
            f'{STAMP}: s1\r\nKeep-Alive: timeout=5\r\n{limited}'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body

    def stream_head(self) -> bytes:
        """Return the head of a chunked stream."""
        return (
            f'HTTP/1.1 200 OK\r\n{ID}: {self.attempt}\r\n{STAMP}: s1\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        ).encode()


Behaviour = Callable[[Seen], Awaitable[None]]


def chunk(text: bytes) -> bytes:
    """Frame one chunk; an empty one ends the body."""
    return b'%x\r\n%b\r\n' % (len(text), text)


def event(number: int) -> bytes:
    """Return one server-sent event."""
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


async def answers(seen: Seen) -> None:
    """Answer well at once."""
    seen.writer.write(seen.answer())


async def streams(seen: Seen) -> None:
    """Stream three events, beyond the one that the caller has."""
    first = int(seen.headers.get('last-event-id', '0')) + 1
    seen.writer.write(seen.stream_head())
    for number in range(first, 4):
        seen.writer.write(chunk(event(number)))
    seen.writer.write(chunk(b''))


@dataclass
class RawRunner:
    """One runner; `behave` tells what it does with each request."""

    host: str
    name: str
    behave: Behaviour = answers
    seen: list[Seen] = field(default_factory=list)
    connections: int = 0
    port: int = 0
    _server: asyncio.Server | None = None
    _tasks: set['asyncio.Task[None]'] = field(default_factory=set)

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and drop every connection."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def entry(self, service: str, state: str = 'ready') -> dict[str, object]:
        """Return what the runner writes of itself."""
        return {
            'service': service,
            'addr': f'{self.host}:{self.port}',
            'zone': 'walton',
            'version': 'v1',
            'slots': 4,
            'state': state,
            'coldLeftMs': 0,
            'seq': 1,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        try:
            await self._requests(reader, writer, self.connections)
        except (OSError, asyncio.CancelledError, h11.ProtocolError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _requests(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: int,
    ) -> None:
        http = h11.Connection(h11.SERVER)
        left = asyncio.Event()
        while True:
            head, body = await _read(http, reader)
            if head is None:
                left.set()
                return
            headers = {
                key.decode(): text.decode() for key, text in head.headers
            }
            seen = Seen(
                head.method.decode(),
                head.target.decode(),
                headers,
                body,
                writer,
                left,
                connection,
            )
            self.seen.append(seen)
            behaving = asyncio.ensure_future(self.behave(seen))
            early = asyncio.ensure_future(reader.read(65536))
            done, _ = await asyncio.wait(
                {behaving, early}, return_when=asyncio.FIRST_COMPLETED
            )
            if early in done and not _received(early):
                left.set()
                behaving.cancel()
                return
            await behaving
            await writer.drain()
            http = h11.Connection(h11.SERVER)
            received = await early
            http.receive_data(received)


def _received(early: 'asyncio.Future[bytes]') -> bytes:
    """Return what came; a reset is an end like any other."""
    return b'' if early.exception() else early.result()


async def _read(
    http: h11.Connection, reader: asyncio.StreamReader
) -> tuple[h11.Request | None, bytes]:
    head: h11.Request | None = None
    body = b''
    while True:
        got = http.next_event()
        if got is h11.NEED_DATA:
            http.receive_data(await reader.read(65536))
        elif isinstance(got, h11.Request):
            head = got
        elif isinstance(got, h11.Data):
            body += bytes(got.data)
        elif isinstance(got, h11.EndOfMessage):
            return head, body
        else:
            return None, b''
