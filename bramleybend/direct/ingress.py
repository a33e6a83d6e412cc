"""Serves callers' HTTP/1.1 connections on the raw path, with h11.

Each connection has one task. If the caller disconnects, the task is cancelled
at once, even if its request is queued or running, so that no runner works on an
answer that nobody reads.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from math import inf
from typing import Final

import h11

from bramleybend.clients.h11_protocol import H11Protocol
from bramleybend.clients.message_bounds import (
    MessageBounds,
    MessageMeter,
    MessageTooLongError,
)
from bramleybend.clock import Clock
from bramleybend.direct.message_memory import MemoryFullError, MessageMemory
from bramleybend.direct.models import IngressLimits
from bramleybend.direct.replies import RawRequest, Reply, own_reply
from bramleybend.direct.responder import Responder
from bramleybend.early_listener import LISTEN_BACKLOG, open_listener

logger = logging.getLogger(__name__)

# Longer than a slow client needs for the largest permitted body.
BODY_TIMEOUT_S: Final = 10.0
# Other requests of the usual size have ended by then.
MEMORY_RETRY_AFTER_S: Final = 0.5
UNLIMITED: Final = MessageMemory(inf)
# How long input is still read before a connection is closed; without it, the
# caller may lose the last answer.
DISCARD_INPUT_S: Final = 0.5
CHUNKED_SINCE_VERSION: Final = b'1.1'  # HTTP version with chunked bodies
# The body has its own bound, in the manifest.
REQUEST_BOUNDS: Final = MessageBounds(message_bytes=inf)

Handler = Callable[[RawRequest, Responder], Awaitable[None]]
OnUnreadable = Callable[[Reply], None]


def _ignore_reply(reply: Reply) -> None:
    """Ignore a request that could not be read."""


class CallerConnection(H11Protocol):
    """The connection of one caller."""

    def __init__(self, ingress: 'Ingress') -> None:
        """Create an idle connection."""
        limits = ingress.limits()
        super().__init__(
            h11.Connection(
                h11.SERVER, max_incomplete_event_size=limits.header_bytes
            )
        )
        self._ingress = ingress
        self._limits = limits
        self._meter = MessageMeter(REQUEST_BOUNDS)
        self._memory = ingress.memory.reserve()
        self._task: asyncio.Task[None] | None = None
        self._unsent: list[bytes] = []
        self._has_request = False
        self._has_ambiguous_framing = False
        self._is_head_request = False
        self._has_left = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves the connection."""
        super().connection_made(transport)
        self._task = asyncio.create_task(self._serve_connection())
        self._ingress.track(self, self._task)

    def eof_received(self) -> bool:
        """Treat a caller that closed its sending side as disconnected."""
        super().eof_received()
        self._cancel_request()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that the caller no longer waits for."""
        super().connection_lost(exc)
        self._ingress.forget(self)
        self._cancel_request()

    @property
    def is_idle(self) -> bool:
        """Whether no request is received or served, and all was sent."""
        return not (
            self._has_request
            or self.http.trailing_data[0]
            or self.transport.get_write_buffer_size()
        )

    def check_received_bytes(self) -> None:
        """Raise if the received bytes of this request are mostly no content."""
        self._meter.check_framing(self.received_bytes)

    def closes_after_answer(self, is_requested: bool) -> bool:
        """Return whether the connection closes after the current answer."""
        return (
            is_requested
            or self._has_ambiguous_framing
            or self._ingress.is_draining
        )

    def enqueue(self, event: h11.Event) -> None:
        """Serialize an event; `flush` sends it.

        The body of an answer to HEAD is left out.
        """
        if self._is_head_request and isinstance(event, h11.Data):
            return
        payload = self.http.send(event)
        if payload:
            self._unsent.append(payload)

    async def flush(self) -> None:
        """Send what was queued, as fast as the caller reads it."""
        payload = b''.join(self._unsent)
        self._unsent.clear()
        await self.write(payload)

    def end_incomplete(self) -> None:
        """Close the connection; an incomplete answer must not look complete."""
        version = self.http.their_http_version or CHUNKED_SINCE_VERSION
        # Without chunks, the end of an answer is the end of its connection, so
        # only a reset shows that the answer is incomplete.
        if (
            self.http.our_state is h11.SEND_BODY
            and version < CHUNKED_SINCE_VERSION
        ):
            self.abort()
        else:
            self.close()

    def _cancel_request(self) -> None:
        self._has_left = True
        if self._has_request and self._task is not None:
            self._task.cancel()

    async def _serve_connection(self) -> None:
        try:
            while await self._serve_request():
                self._limits = self._ingress.limits()
        except OSError:
            self.abort()  # the caller has disconnected
        except Exception:
            # An internal error ends one connection and is logged; the caller
            # gets an incomplete answer but never a wrong one.
            logger.exception('internal error while serving a request')
            self.abort()
        finally:
            self._memory.release()
            self.end_incomplete()

    async def _serve_request(self) -> bool:
        responder = Responder(self)
        try:
            req = await self._read_request()
        except h11.RemoteProtocolError as exc:
            return await self._reject(exc)
        if req is None or self._has_left:
            return False
        self._has_request = True
        self.read_on()
        try:
            if isinstance(req, Reply):
                self._ingress.on_unreadable(req)
                await responder.send_reply(req)
            else:
                await self._ingress.handler(req, responder)
        finally:
            self._has_request = False
            self._memory.release()
        return not responder.is_incomplete and self._start_next_cycle()

    async def _reject(self, exc: h11.RemoteProtocolError) -> bool:
        if self.http.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            status = HTTPStatus(exc.error_status_hint)
            reply = own_reply(status, str(exc), must_close=True)
            self._ingress.on_unreadable(reply)
            await Responder(self).send_reply(reply)
            await self._discard_remaining_input()
        return False

    async def _read_request(self) -> RawRequest | Reply | None:
        """Read one request; `None` if the connection ends without one."""
        self._is_head_request = False
        if not await self._wait_for_first_byte():
            return None
        try:
            async with asyncio.timeout(self._limits.header_timeout_s):
                head = await self.next_event()
        except TimeoutError:
            return _request_timeout_reply()
        if not isinstance(head, h11.Request):
            return None
        received_at = self._ingress.clock.monotonic()
        self._has_ambiguous_framing = _has_two_framings(head)
        self._is_head_request = head.method == b'HEAD'
        self._has_request = True
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                body = await self._read_body()
        except TimeoutError:
            return _request_timeout_reply()
        except MemoryFullError as exc:
            return own_reply(
                HTTPStatus.SERVICE_UNAVAILABLE,
                f'{exc}; nothing was run',
                MEMORY_RETRY_AFTER_S,
                must_close=True,
            )
        except MessageTooLongError as exc:
            return own_reply(HTTPStatus.BAD_REQUEST, str(exc), must_close=True)
        finally:
            self._has_request = False
        if body is None:
            return own_reply(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'the body is over {self._limits.body_bytes} bytes',
                must_close=True,
            )
        headers = list(head.headers.raw_items())
        return RawRequest(head.method, head.target, headers, body, received_at)

    async def _wait_for_first_byte(self) -> bool:
        """Wait for a request; return whether one has begun."""
        if self.http.trailing_data[0]:
            return True
        try:
            async with asyncio.timeout(self._limits.idle_timeout_s):
                await self.wait_for_data()
        except TimeoutError:
            return False
        return True

    async def _read_body(self) -> bytes | None:
        parts: list[bytes] = []
        size = 0
        if self.http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self.enqueue(go_on)
            await self.flush()
        while isinstance(event := await self.next_event(), h11.Data):
            parts.append(bytes(event.data))
            size += len(event.data)
            self._meter.add_content(len(event.data))
            if size > self._limits.body_bytes:
                return None
            self._memory.resize(size)
        return b''.join(parts)

    async def _discard_remaining_input(self) -> None:
        """Read and discard input for a moment before the connection closes."""
        # If a connection is closed with unread input, the kernel resets it, and
        # the caller sees a reset instead of the answer that states the reason.
        self.is_discarding = True
        try:
            async with asyncio.timeout(DISCARD_INPUT_S):
                while (
                    self.connection_error is None
                    and not self.transport.is_closing()
                ):
                    await self.wait_for_data()
        except (TimeoutError, OSError):
            return

    def _start_next_cycle(self) -> bool:
        if self.http.our_state is not h11.DONE:
            return False
        if self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        self._meter = MessageMeter(REQUEST_BOUNDS)
        self._memory = self._ingress.memory.reserve()
        self.received_bytes = len(self.http.trailing_data[0])
        return True


class Ingress:
    """Accepts callers and owns their connections."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], IngressLimits],
        clock: Clock,
        on_unreadable: OnUnreadable = _ignore_reply,
        memory: MessageMemory = UNLIMITED,
    ) -> None:
        """Create an ingress that passes requests to `handler`.

        `on_unreadable` is called with the answers to those it could not read.
        `memory` is what the bodies of all requests in progress may take.
        """
        self.memory = memory
        self.handler = handler
        self.on_unreadable = on_unreadable
        self.limits = limits
        self.clock = clock
        self.is_draining = False
        self._connections: dict[CallerConnection, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None

    async def start(self, address: str, port: int) -> None:
        """Listen for callers."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            sock=open_listener(address, port),
            backlog=LISTEN_BACKLOG,
        )

    @property
    def port(self) -> int:
        """The port that it listens on, also if it was started with port 0."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    @property
    def busy_count(self) -> int:
        """The number of connections with a request or an unsent answer."""
        return sum(not conn.is_idle for conn in self._connections)

    def track(self, conn: CallerConnection, task: asyncio.Task[None]) -> None:
        """Track a connection until it is lost.

        Its task may end before its last bytes are sent.
        """
        self._connections[conn] = task

    def forget(self, conn: CallerConnection) -> None:
        """Stop tracking a connection."""
        self._connections.pop(conn, None)

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections that have no request."""
        for conn in tuple(self._connections):
            if conn.is_idle:
                conn.close()

    async def stop(self) -> None:
        """Close all connections and wait for their tasks."""
        self.stop_listening()
        tasks = tuple(self._connections.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _has_two_framings(head: h11.Request) -> bool:
    """Return whether a request has both length and chunked framing.

    Parsers may then disagree on where the body ends: what is body for one is
    the next request for another. So the body is framed anew for the runner, and
    nothing more is read from the connection.
    """
    names = {name for name, _ in head.headers}
    return {b'content-length', b'transfer-encoding'} <= names


def _request_timeout_reply() -> Reply:
    return own_reply(
        HTTPStatus.REQUEST_TIMEOUT,
        'the request was not whole in time; nothing was run',
        must_close=True,
    )
