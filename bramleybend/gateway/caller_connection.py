"""One caller's HTTP/1.1 connection (h11), with limits on sizes and times.

An incomplete or malformed request is answered with an error, if the protocol
state still allows one, and its connection is closed. Other connections are
not affected.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractContextManager, asynccontextmanager, suppress
from datetime import timedelta
from http import HTTPStatus
from math import inf
from typing import Final

import h11

from bramleybend.answers import Answer, answer_not_run, answer_rejected
from bramleybend.clients.http import READ_SIZE
from bramleybend.clients.message_bounds import (
    MessageBounds,
    MessageMeter,
    MessageTooLongError,
)
from bramleybend.gateway.http_messages import (
    Handler,
    HttpAnswer,
    HttpRequest,
    make_http_answer,
)

MAX_HEADER_BYTES: Final = 16_384
MAX_REQUEST_BYTES: Final = 4 * 1024 * 1024
# The body is limited by `MAX_REQUEST_BYTES`, with its own answer.
REQUEST_BOUNDS: Final = MessageBounds(message_bytes=inf)
# Long enough for a slow link, short enough to limit incomplete requests: at
# 200 connections a second they stay under 6,000 open sockets.
READ_TIMEOUT_S: Final = 30.0
LINGER_TIMEOUT_S: Final = 2.0
# Time that a stopping server allows for the rest of a request. Callers that
# were paused while connecting and kept-alive connections get the same time.
LAST_REQUEST_TIMEOUT_S: Final = 3.0
STOPPING_RETRY_AFTER: Final = timedelta(seconds=1)


class CallerConnection:
    """One caller's connection; serves its requests one after another."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
        count_answering: Callable[[], AbstractContextManager[None]],
    ) -> None:
        """Serve an accepted connection; `handler` answers its requests."""
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._count_answering = count_answering
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=MAX_HEADER_BYTES,
        )
        self._meter = MessageMeter(REQUEST_BOUNDS)
        self._received_bytes = 0
        self._is_closing = False
        self._read_timeout: asyncio.Timeout | None = None

    def close_when_idle(self) -> None:
        """Close after the next answer, or soon if no request arrives."""
        self._is_closing = True
        if self._read_timeout is not None:
            now = asyncio.get_running_loop().time()
            self._read_timeout.reschedule(now + LAST_REQUEST_TIMEOUT_S)

    async def serve(self, count_rejected: Callable[[], None]) -> None:
        """Answer requests until either side closes."""
        while (req := await self._receive_request()) is not None:
            if isinstance(req, Answer):
                count_rejected()
                await self._send_rejection(req)
                return
            with self._count_answering():
                await self._send_answer(await self._handle_request(req))
            if not self._start_next_cycle():
                return

    async def _handle_request(self, req: HttpRequest) -> HttpAnswer:
        """Answer the request; raise if the caller disconnects meanwhile."""
        # Without reading meanwhile, a disconnect would be noticed only when
        # the answer is written, after a runner has done the work for nobody.
        answer_task = asyncio.ensure_future(self._handler(req))
        watch_task = asyncio.create_task(self._reader.read(READ_SIZE))
        try:
            await asyncio.wait(
                (answer_task, watch_task),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if watch_task.done():
                self._buffer_early_data(watch_task.result())
            return await answer_task
        finally:
            answer_task.cancel()
            await self._stop_watching(watch_task)

    async def _stop_watching(self, watch_task: asyncio.Task[bytes]) -> None:
        # Two concurrent reads on one stream are an error, so the watch must
        # have ended before the next request is read.
        watch_task.cancel()
        with suppress(asyncio.CancelledError, OSError):
            await watch_task

    def _buffer_early_data(self, early: bytes) -> None:
        if not early:
            raise ConnectionResetError('the caller closed the connection')
        self._http.receive_data(early)

    async def _receive_request(self) -> HttpRequest | Answer | None:
        try:
            return await self._read_request()
        except h11.RemoteProtocolError as exc:
            return _malformed_answer(exc)
        except MessageTooLongError as exc:
            return _overhead_answer(exc)
        except TimeoutError:
            return self._timeout_answer()

    def _timeout_answer(self) -> Answer | None:
        """Return the answer for a request that was not complete in time."""
        if not self._is_closing:
            return _incomplete_answer()
        if self._http.their_state is h11.IDLE:
            return None
        return answer_not_run('this VM is stopping', STOPPING_RETRY_AFTER)

    async def _read_request(self) -> HttpRequest | Answer | None:
        async with self._limit_read_time():
            head = await self._next_event()
            if not isinstance(head, h11.Request):
                return None
            body = await self._read_body()
        if isinstance(body, Answer):
            return body
        headers = {
            name.decode(): text.decode('latin-1').strip()
            for name, text in head.headers
        }
        return HttpRequest(
            head.method.decode(),
            head.target.decode('latin-1'),
            headers,
            body,
        )

    @asynccontextmanager
    async def _limit_read_time(self) -> AsyncIterator[None]:
        limit_s = LAST_REQUEST_TIMEOUT_S if self._is_closing else READ_TIMEOUT_S
        try:
            async with asyncio.timeout(limit_s) as limit:
                self._read_timeout = limit
                yield
        finally:
            self._read_timeout = None

    async def _read_body(self) -> bytes | Answer:
        parts: list[bytes] = []
        size = 0
        while isinstance(event := await self._next_event(), h11.Data):
            parts.append(bytes(event.data))
            size += len(event.data)
            self._meter.add_content(len(event.data))
            if size > MAX_REQUEST_BYTES:
                return _too_large_answer()
        return b''.join(parts)

    async def _next_event(self) -> object:
        event = self._http.next_event()
        while event is h11.NEED_DATA:
            if self._http.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                self._writer.write(self._http.send(continue_response) or b'')
            self._meter.check_framing(self._received_bytes)
            received = await self._reader.read(READ_SIZE)
            self._received_bytes += len(received)
            self._http.receive_data(received)
            event = self._http.next_event()
        return event

    async def _send_answer(self, answer: HttpAnswer) -> None:
        headers = [
            ('Content-Type', answer.content_type),
            *answer.headers.items(),
        ]
        if self._is_closing:
            headers.append(('Connection', 'close'))
        if answer.parts is None:
            headers.append(('Content-Length', str(len(answer.body))))
        else:
            headers.append(('Cache-Control', 'no-store'))
            headers.append(('Transfer-Encoding', 'chunked'))
        await self._send(
            h11.Response(status_code=int(answer.status), headers=headers),
        )
        if answer.parts is None:
            await self._send(h11.Data(data=answer.body))
        else:
            async for part in answer.parts:
                await self._send(h11.Data(data=part))
        await self._send(h11.EndOfMessage())

    async def _send_rejection(self, answer: Answer) -> None:
        """Send an error answer, if the protocol state still allows one."""
        if self._http.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            with suppress(h11.LocalProtocolError, OSError):
                await self._send_answer(make_http_answer(answer))
                await self._linger()

    async def _linger(self) -> None:
        """Discard input for a limited time before the connection is closed."""
        # Closing with unread input resets the connection, and the caller
        # would see the reset instead of the answer.
        self._writer.write_eof()
        with suppress(TimeoutError):
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                remaining = MAX_REQUEST_BYTES
                while remaining > 0:
                    discarded = await self._reader.read(READ_SIZE)
                    remaining -= len(discarded) or remaining

    async def _send(self, event: h11.Event) -> None:
        payload = self._http.send(event)
        if payload:
            self._writer.write(payload)
            await self._writer.drain()

    def _start_next_cycle(self) -> bool:
        if self._http.our_state is h11.MUST_CLOSE:
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self._meter = MessageMeter(REQUEST_BOUNDS)
        self._received_bytes = len(self._http.trailing_data[0])
        return True


def _malformed_answer(exc: h11.RemoteProtocolError) -> Answer:
    status = HTTPStatus(exc.error_status_hint)
    return answer_rejected(
        f'this is not a valid HTTP/1.1 request: {exc}',
        'send headers under 16 KiB and a body as its length says',
        status,
    )


def _overhead_answer(exc: MessageTooLongError) -> Answer:
    return answer_rejected(
        str(exc),
        'send larger chunks and no extensions; nothing was run',
        HTTPStatus.BAD_REQUEST,
    )


def _incomplete_answer() -> Answer:
    return answer_rejected(
        f'the request was not whole after {READ_TIMEOUT_S:.0f} s',
        'send it whole; nothing was run',
        HTTPStatus.REQUEST_TIMEOUT,
    )


def _too_large_answer() -> Answer:
    return answer_rejected(
        f'the body is over {MAX_REQUEST_BYTES} bytes',
        'send less in one request; nothing was run',
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )
