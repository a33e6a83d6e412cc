"""Persistent HTTP connections to a peer, one request at a time on each.

Load pattern: many short exchanges with few peers, where a new connection
costs a round trip and a slot at the peer.
Failure: a peer sends a late or second response, which is read as the response
to the next request, so a caller gets another caller's bytes. A connection is
therefore reused only if both sides completed the last exchange, the peer has
sent nothing since, and its idle timeout is not about to expire.
"""

import asyncio
import re
import socket
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass
from typing import Final, TypeAlias

import h11

from bramleybend.clients.connection_end import (
    require_no_reset,
    unacknowledged_bytes,
)
from bramleybend.clients.final_response import require_final_response
from bramleybend.clients.framing import Framing, framing_of
from bramleybend.clients.h11_protocol import H11Protocol
from bramleybend.clients.message_bounds import (
    DEFAULT_BOUNDS,
    MessageBounds,
    MessageMeter,
    MessageTooLongError,
    head_bytes,
)
from bramleybend.clock import Clock
from bramleybend.timeouts import timeout_scope

HeaderList: TypeAlias = Sequence[tuple[bytes, bytes]]

# Connecting takes 1 ms within a failure domain and 2 ms to another. TCP
# repeats a lost SYN after a second, which is too late to wait for.
CONNECT_TIMEOUT_S: Final = 0.4
# A peer whose kernel acknowledges nothing for this long is unreachable or
# down. Retransmitting a few packets lost in a row takes less time.
UNACKED_TIMEOUT_MS: Final = 1500
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 3
# Idle timeout assumed for a peer that states none.
DEFAULT_IDLE_TIMEOUT_S: Final = 4.0
# Part of the peer's idle timeout for which a connection is reused. The rest
# covers a round trip and the time a busy peer takes to read the request.
USABLE_IDLE_SHARE: Final = 0.7
_KEEP_ALIVE_TIMEOUT: Final = re.compile(rb'timeout\s*=\s*(\d+)')


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: HeaderList

    @property
    def framing(self) -> Framing:
        """How the end of the body is determined."""
        return framing_of({key.decode('latin-1') for key, _ in self.headers})

    def get(self, name: str) -> str | None:
        """Return a header's first value."""
        wanted_key = name.encode()
        for key, text in self.headers:
            if key == wanted_key:
                return text.decode('latin-1')
        return None


@dataclass(frozen=True)
class OutgoingRequest:
    """A complete request, ready to send."""

    method: bytes
    target: bytes
    headers: HeaderList  # without framing
    body: bytes


class Channel(H11Protocol):
    """A client connection; `connect` opens one."""

    via: str | None = None  # the VM that forwards its bytes, if one does
    is_path_lost = False  # that VM was lost, which says nothing about the peer

    def __init__(
        self, clock: Clock, bounds: MessageBounds = DEFAULT_BOUNDS
    ) -> None:
        """Start idle and without a transport."""
        super().__init__(h11.Connection(h11.CLIENT))
        self._clock = clock
        self._bounds = bounds
        self._meter = MessageMeter(bounds)
        self._is_busy = False
        self._last_used_at = clock.monotonic()
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._sent_request: h11.Request | None = None
        self._sent_bytes = 0  # of the body of that request
        self._framing = Framing.LENGTH  # of the response
        self._is_request_cut = False
        self.request_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket timeouts that detect an unreachable peer."""
        super().connection_made(transport)
        set_peer_timeouts(transport)

    def data_received(self, data: bytes) -> None:
        """Abort an idle connection whose peer sends unrequested bytes."""
        if not self._is_busy:
            self.abort()
            return
        super().data_received(data)

    def eof_received(self) -> bool:
        """Close an idle connection when its peer closes it."""
        if self._is_busy:
            self._is_request_cut = unacknowledged_bytes(self.transport) > 0
        super().eof_received()
        return self._is_busy

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent on the connection."""
        if (
            self._is_busy
            or self.connection_error
            or self.transport.is_closing()
        ):
            return False
        idle_s = self._clock.monotonic() - self._last_used_at
        return idle_s < self._idle_timeout_s * USABLE_IDLE_SHARE

    async def send(self, outgoing: OutgoingRequest) -> None:
        """Write the whole request; the peer may respond before its end."""
        self._is_busy = True
        self.request_count += 1
        self.received_bytes = 0
        self._meter = MessageMeter(self._bounds)
        self._sent_bytes = len(outgoing.body)
        length = str(self._sent_bytes).encode()
        framing = [(b'Content-Length', length)]
        if not outgoing.body and outgoing.method in {b'GET', b'HEAD'}:
            framing = []
        self._sent_request = h11.Request(
            method=outgoing.method,
            target=outgoing.target,
            headers=[*outgoing.headers, *framing],
        )
        # Written at once, so that a peer which responds early still gets the
        # whole body. It would read the next request on this connection as the
        # missing part otherwise.
        parts = [self.http.send(self._sent_request)]
        if outgoing.body:
            parts.append(self.http.send(h11.Data(data=outgoing.body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        if self.connection_error is not None:
            raise self.connection_error
        self.transport.write(b''.join(part for part in parts if part))

    async def read_head(self) -> ResponseHead:
        """Read status and headers of the next final response.

        Raises `MessageTooLongError` if informational (1xx) responses exceed
        the bounds, `EOFError` if the peer closes the connection, and
        `h11.RemoteProtocolError` if the head is malformed.
        """
        event = await self.next_event()
        while isinstance(event, h11.InformationalResponse):
            self._meter.add_filler(head_bytes(event))
            event = await self.next_event()
        response = require_final_response(event)
        head = ResponseHead(response.status_code, list(response.headers))
        self._framing = head.framing
        timeout_match = _KEEP_ALIVE_TIMEOUT.search(
            (head.get('keep-alive') or '').encode()
        )
        if timeout_match:
            self._idle_timeout_s = float(timeout_match.group(1))
        return head

    async def iter_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body.

        Raises `MessageTooLongError` beyond the bounds, and `EOFError` or
        `h11.RemoteProtocolError` if the body is truncated.
        """
        event = await self.next_event()
        while isinstance(event, h11.Data):
            self._meter.add_content(len(event.data))
            yield bytes(event.data)
            event = await self.next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise EOFError('the connection ended within an answer')
        if self.has_peer_ended and self._framing is Framing.CONNECTION:
            if self._is_request_cut:
                raise EOFError('the peer ended before it read the request')
            await self._require_no_reset()

    async def read_body(
        self, max_bytes: float, on_growth: Callable[[int], None] | None = None
    ) -> bytes:
        """Read the whole body; raises `MessageTooLongError` over `max_bytes`.

        `on_growth` is called after each part with the bytes read so far.
        """
        parts: list[bytes] = []
        size = 0
        async for chunk in self.iter_body():
            parts.append(chunk)
            size += len(chunk)
            if on_growth is not None:
                on_growth(size)
            if size > max_bytes:
                raise MessageTooLongError(
                    f'the answer is over {max_bytes} bytes'
                )
        return b''.join(parts)

    def check_received_bytes(self) -> None:
        """Raise if the peer sent too many bytes that are not content."""
        self._meter.check_framing(self.received_bytes)

    def prepare_next_response(self) -> None:
        """Prepare to read another response to the request already sent.

        Used after a response that belongs to an earlier request, which the
        peer sent late. The peer reads requests in order, so its next response
        on this connection can belong to the current request.
        """
        assert self._sent_request is not None
        trailing, is_closed = self.http.trailing_data
        self.http = h11.Connection(h11.CLIENT)
        self.http.send(self._sent_request)
        if self.http.our_state is h11.SEND_BODY:
            body_length = dict(self._sent_request.headers).get(
                b'content-length', b'0'
            )
            if int(body_length):
                self.http.send(h11.Data(data=bytes(int(body_length))))
            self.http.send(h11.EndOfMessage())
        if trailing:
            self.http.receive_data(trailing)
        if is_closed:
            self.http.receive_data(b'')

    def release(self) -> bool:
        """End an exchange; return whether the connection can be reused.

        Aborts the connection if it can't.
        """
        if not (self._is_open() and self._is_exchange_complete()):
            self.abort()
            return False
        self.http.start_next_cycle()
        self.read_on()
        self._is_busy = False
        self._last_used_at = self._clock.monotonic()
        return True

    async def _require_no_reset(self) -> None:
        await require_no_reset(self.transport, self._sent_bytes)
        if self.connection_error is not None:
            raise self.connection_error

    def _is_open(self) -> bool:
        return self.connection_error is None and not self.transport.is_closing()

    def _is_exchange_complete(self) -> bool:
        """Tell whether both messages are complete and no bytes are pending."""
        states = {self.http.our_state, self.http.their_state}
        unsent = self.transport.get_write_buffer_size()
        return states == {h11.DONE} and not (
            unsent or self.http.trailing_data[0]
        )


def set_peer_timeouts(transport: asyncio.BaseTransport) -> None:
    """Set the socket options by which the kernel detects a dead peer."""
    sock = transport.get_extra_info('socket')
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for level, option, setting in options:
        sock.setsockopt(level, option, setting)


async def connect(
    address: str,
    port: int,
    clock: Clock,
    timeout_s: float = CONNECT_TIMEOUT_S,
    bounds: MessageBounds = DEFAULT_BOUNDS,
) -> Channel:
    """Open a connection; an `OSError` means that nothing was sent."""
    loop = asyncio.get_running_loop()
    try:
        async with timeout_scope(timeout_s):
            _, channel = await loop.create_connection(
                lambda: Channel(clock, bounds), address, port
            )
    except TimeoutError:
        raise ConnectionError(f'{address}:{port} did not answer') from None
    return channel
