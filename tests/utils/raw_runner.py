"""A stand-in runner whose tests control each byte that it sends."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import h11

ATTEMPT_ID_HEADER = 'x-bramleybend-attempt-id'
STAMP_HEADER = 'x-bramleybend-response-stamp'
LIMIT_HEADER = 'server-limit'


@dataclass
class ReceivedRequest:
    """One request that the runner received, with its connection."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    closed: asyncio.Event  # set once the connection has closed
    connection: int

    @property
    def attempt(self) -> str:
        """Return the attempt id, which the answer has to echo."""
        return self.headers.get(ATTEMPT_ID_HEADER, '')

    def answer(
        self,
        status: str = '200 OK',
        body: bytes = b'done',
        attempt: str = '',
        limit: str = '',
    ) -> bytes:
        """Return the bytes of a complete answer.

        `limit` is the server limit in requests per second.
        """
        limit_line = f'{LIMIT_HEADER}: {limit}\r\n' if limit else ''
        return (
            f'HTTP/1.1 {status}\r\n'
            f'{ATTEMPT_ID_HEADER}: {attempt or self.attempt}\r\n'
            f'{STAMP_HEADER}: s1\r\nKeep-Alive: timeout=5\r\n{limit_line}'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body

    def stream_head(self) -> bytes:
        """Return the response head of a chunked event stream."""
        return (
            f'HTTP/1.1 200 OK\r\n{ATTEMPT_ID_HEADER}: {self.attempt}\r\n'
            f'{STAMP_HEADER}: s1\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        ).encode()


Behaviour = Callable[[ReceivedRequest], Awaitable[None]]


def chunk(text: bytes) -> bytes:
    """Encode one chunk; an empty one ends the body."""
    return b'%x\r\n%b\r\n' % (len(text), text)


def event(number: int) -> bytes:
    """Return one server-sent event."""
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


async def answer_at_once(seen: ReceivedRequest) -> None:
    """Answer at once with status 200."""
    seen.writer.write(seen.answer())


async def stream_three_events(seen: ReceivedRequest) -> None:
    """Stream events up to the third, after the caller's last event id."""
    first = int(seen.headers.get('last-event-id', '0')) + 1
    seen.writer.write(seen.stream_head())
    for number in range(first, 4):
        seen.writer.write(chunk(event(number)))
    seen.writer.write(chunk(b''))


@dataclass
class RawRunner:
    """A runner that passes each request to `behave`, which answers it."""

    host: str
    name: str
    behave: Behaviour = answer_at_once
    seen: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0
    port: int = 0
    version: str = 'v1'  # of its software
    _server: asyncio.Server | None = None
    _tasks: set['asyncio.Task[None]'] = field(default_factory=set)

    async def start(self) -> None:
        """Listen; a port of 0 is replaced by the one that was bound."""
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
        """Return the runner's registry record."""
        return {
            'service': service,
            'addr': f'{self.host}:{self.port}',
            'zone': 'walton',
            'version': self.version,
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
            await self._serve_requests(reader, writer, self.connections)
        except (OSError, asyncio.CancelledError, h11.ProtocolError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve_requests(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: int,
    ) -> None:
        http = h11.Connection(h11.SERVER)
        left = asyncio.Event()
        while True:
            head, body = await _read_request(http, reader)
            if head is None:
                left.set()
                return
            headers = {
                key.decode(): text.decode() for key, text in head.headers
            }
            seen = ReceivedRequest(
                head.method.decode(),
                head.target.decode(),
                headers,
                body,
                writer,
                left,
                connection,
            )
            self.seen.append(seen)
            behave_task = asyncio.ensure_future(self.behave(seen))
            next_read = asyncio.ensure_future(reader.read(65536))
            done, _ = await asyncio.wait(
                {behave_task, next_read}, return_when=asyncio.FIRST_COMPLETED
            )
            if next_read in done and not _read_result(next_read):
                left.set()
                behave_task.cancel()
                return
            await behave_task
            await writer.drain()
            http = h11.Connection(h11.SERVER)
            received = await next_read
            http.receive_data(received)


def _read_result(next_read: 'asyncio.Future[bytes]') -> bytes:
    """Return the bytes read; a connection reset counts as end of file."""
    return b'' if next_read.exception() else next_read.result()


async def _read_request(
    http: h11.Connection, reader: asyncio.StreamReader
) -> tuple[h11.Request | None, bytes]:
    head: h11.Request | None = None
    body = b''
    while True:
        http_event = http.next_event()
        if http_event is h11.NEED_DATA:
            http.receive_data(await reader.read(65536))
        elif isinstance(http_event, h11.Request):
            head = http_event
        elif isinstance(http_event, h11.Data):
            body += bytes(http_event.data)
        elif isinstance(http_event, h11.EndOfMessage):
            return head, body
        else:
            return None, b''
