"""Callers' connections on the raw path: HTTP/1.1 by h11.

Each connection is one task. A caller that leaves cancels it at once, also
while its request waits or runs, so no runner works for nobody.
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
from bramleybend.direct.models import IngressLimits
from bramleybend.direct.replies import RawRequest, Reply, own_reply
from bramleybend.direct.responder import Responder
from bramleybend.early_listener import BACKLOG, open_listener

logger = logging.getLogger(__name__)

# Longer than a slow client takes for the largest body that is allowed.
BODY_TIMEOUT_S: Final = 10.0
# How long a connection that ends is read on, or the last answer may be lost.
LINGER_S: Final = 0.5
CHUNKED_SINCE_VERSION: Final = b'1.1'  # the HTTP version
# The body has a bound of its own, of the users' manifest.
REQUEST_BOUNDS: Final = MessageBounds(message_bytes=inf)

Handler = Callable[[RawRequest, Responder], Awaitable[None]]
OnUnreadable = Callable[[Reply], None]


def _nothing(reply: Reply) -> None:
    """Tell nobody of a request that could not be read."""


class CallerConnection(H11Protocol):
    """One caller's connection."""

    def __init__(self, ingress: 'Ingress') -> None:
        """Start idle."""
        limits = ingress.limits()
        super().__init__(
            h11.Connection(
                h11.SERVER, max_incomplete_event_size=limits.header_bytes
            )
        )
        self._ingress = ingress
        self._limits = limits
        self._meter = MessageMeter(REQUEST_BOUNDS)
        self._task: asyncio.Task[None] | None = None
        self._out: list[bytes] = []
        self._answering = False
        self._ambiguous = False
        self._left = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve it by a task of its own."""
        super().connection_made(transport)
        self._task = asyncio.create_task(self._serve())
        self._ingress.track(self, self._task)

    def eof_received(self) -> bool:
        """Take a caller that writes no more for one that has left."""
        super().eof_received()
        self._leave()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop what the caller no longer waits for."""
        super().connection_lost(exc)
        self._leave()

    @property
    def is_idle(self) -> bool:
        """Whether no request has begun to come in."""
        return not self._answering and not self.http.trailing_data[0]

    def check_received(self) -> None:
        """Raise if what came of this request is mostly no content."""
        self._meter.note_received(self.received)

    def closes_after_answer(self, wanted: bool) -> bool:
        """Tell whether the connection ends with the answer under way."""
        return wanted or self._ambiguous or self._ingress.is_draining

    def enqueue(self, event: h11.Event) -> None:
        """Frame an event; `flush` sends it."""
        payload = self.http.send(event)
        if payload:
            self._out.append(payload)

    async def flush(self) -> None:
        """Send what was framed, at the caller's pace."""
        payload = b''.join(self._out)
        self._out.clear()
        await self.write(payload)

    def end_incomplete(self) -> None:
        """End the connection; an answer under way must not look whole."""
        version = self.http.their_http_version or CHUNKED_SINCE_VERSION
        # Without chunks, an answer ends when its connection does.
        if (
            self.http.our_state is h11.SEND_BODY
            and version < CHUNKED_SINCE_VERSION
        ):
            self.abort()
        else:
            self.close()

    def _leave(self) -> None:
        self._left = True
        if self._answering and self._task is not None:
            self._task.cancel()

    async def _serve(self) -> None:
        try:
            while await self._serve_one():
                self._limits = self._ingress.limits()
        except OSError:
            self.abort()  # the caller has gone
        except Exception:
            # A fault of ours ends one connection and is told in the log; the
            # caller sees a torn answer, never a wrong one.
            logger.exception('a request failed in our own code')
            self.abort()
        finally:
            self.end_incomplete()

    async def _serve_one(self) -> bool:
        responder = Responder(self)
        try:
            req = await self._request()
        except h11.RemoteProtocolError as exc:
            return await self._refuse(exc)
        if req is None or self._left:
            return False
        self._answering = True
        try:
            if isinstance(req, Reply):
                self._ingress.refused(req)
                await responder.send_reply(req)
            else:
                await self._ingress.handler(req, responder)
        finally:
            self._answering = False
        return not responder.is_incomplete and self._next_cycle()

    async def _refuse(self, exc: h11.RemoteProtocolError) -> bool:
        if self.http.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            status = HTTPStatus(exc.error_status_hint)
            reply = own_reply(status, str(exc), close=True)
            self._ingress.refused(reply)
            await Responder(self).send_reply(reply)
            await self._linger()
        return False

    async def _request(self) -> RawRequest | Reply | None:
        """Read one request; `None` if the connection ends without one."""
        if not await self._first_byte():
            return None
        try:
            async with asyncio.timeout(self._limits.header_timeout_s):
                head = await self.next_event()
        except TimeoutError:
            return _too_slow()
        if not isinstance(head, h11.Request):
            return None
        received_at = self._ingress.clock.monotonic()
        self._ambiguous = _has_two_lengths(head)
        self._answering = True
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                body = await self._body()
        except TimeoutError:
            return _too_slow()
        except MessageTooLongError as exc:
            return own_reply(HTTPStatus.BAD_REQUEST, str(exc), close=True)
        finally:
            self._answering = False
        if body is None:
            return own_reply(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'the body is over {self._limits.body_bytes} bytes',
                close=True,
            )
        headers = list(head.headers.raw_items())
        return RawRequest(head.method, head.target, headers, body, received_at)

    async def _first_byte(self) -> bool:
        """Wait for a request to begin."""
        if self.http.trailing_data[0]:
            return True
        try:
            async with asyncio.timeout(self._limits.idle_timeout_s):
                await self.more_data()
        except TimeoutError:
            return False
        return True

    async def _body(self) -> bytes | None:
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
        return b''.join(parts)

    async def _linger(self) -> None:
        """Read on for a moment before the connection is closed."""
        # Closed with bytes unread, the connection would be reset, and the
        # caller would see that in place of the answer that tells why.
        self.discarding = True
        try:
            async with asyncio.timeout(LINGER_S):
                while self.broken is None and not self.transport.is_closing():
                    await self.more_data()
        except (TimeoutError, OSError):
            return

    def _next_cycle(self) -> bool:
        if self.http.our_state is not h11.DONE:
            return False
        if self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        self._meter = MessageMeter(REQUEST_BOUNDS)
        self.received = len(self.http.trailing_data[0])
        return True


class Ingress:
    """Accepts callers; owns their connections."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], IngressLimits],
        clock: Clock,
        on_unreadable: OnUnreadable = _nothing,
    ) -> None:
        """Answer by `handler` what can be read; tell of the rest."""
        self.handler = handler
        self.refused = on_unreadable
        self.limits = limits
        self.clock = clock
        self.is_draining = False
        self._open: dict[CallerConnection, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None

    async def start(self, address: str, port: int) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            sock=open_listener(address, port),
            backlog=BACKLOG,
        )

    @property
    def port(self) -> int:
        """The port listened on, for one that was started on any."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    @property
    def busy_count(self) -> int:
        """Count the connections with a request on them."""
        return sum(not conn.is_idle for conn in self._open)

    def track(self, conn: CallerConnection, task: asyncio.Task[None]) -> None:
        """Keep a connection until its task ends."""
        self._open[conn] = task
        task.add_done_callback(lambda _: self._open.pop(conn, None))

    def stop_listening(self) -> None:
        """Take no further connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for conn in tuple(self._open):
            if conn.is_idle:
                conn.close()

    async def stop(self) -> None:
        """End all connections."""
        self.stop_listening()
        tasks = tuple(self._open.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _has_two_lengths(head: h11.Request) -> bool:
    """Tell whether another reader may see other bounds of the request.

    With both framings, what one reader takes for a body another takes for
    the next request. The body is framed anew on its way to the runner, and
    nothing more is read from such a connection.
    """
    names = {name for name, _ in head.headers}
    return {b'content-length', b'transfer-encoding'} <= names


def _too_slow() -> Reply:
    return own_reply(
        HTTPStatus.REQUEST_TIMEOUT,
        'the request was not whole in time; nothing was run',
        close=True,
    )
