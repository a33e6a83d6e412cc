"""Kept connections to one peer, each serving one request at a time.

Load pattern: many short exchanges with few peers, where a new connection
costs a round trip, and a slot at the peer.
Without care: a peer's late or second answer stands where the next answer is
expected, and a caller gets another caller's bytes. So a connection is used
again only if the last exchange ended whole on both sides, the peer said
nothing since, and its idle timeout is not near.
"""

import asyncio
import re
import socket
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass
from typing import Final, TypeAlias

import h11

from bramleybend.clients.framing import Framing, framing_of
from bramleybend.clients.h11_protocol import H11Protocol
from bramleybend.clients.message_bounds import (
    USUAL_BOUNDS,
    MessageBounds,
    MessageMeter,
    MessageTooLongError,
    head_bytes,
)
from bramleybend.clock import Clock

HeaderList: TypeAlias = Sequence[tuple[bytes, bytes]]

# Within a failure domain a connection stands in 1 ms, across them in 2; a
# dropped opening packet is sent again after a second, too late to wait for.
CONNECT_TIMEOUT_S: Final = 0.4
# A peer whose kernel acknowledges nothing for so long is cut off or gone. It
# is longer than a few lost packets in a row take to be sent again.
UNACKED_TIMEOUT_MS: Final = 1500
KEEPALIVE_AFTER_S: Final = 1
KEEPALIVE_PROBES: Final = 3
# Without a stated idle timeout, a connection is trusted this long.
UNSTATED_IDLE_S: Final = 4.0
# A stated timeout runs at the peer; ours ends sooner by a round trip and the
# time a busy peer takes to read.
IDLE_MARGIN: Final = 0.7
_TIMEOUT_FORM: Final = re.compile(rb'timeout\s*=\s*(\d+)')


@dataclass(frozen=True)
class Head:
    """Status and headers of an answer, names in lower case."""

    status: int
    headers: HeaderList

    @property
    def framing(self) -> Framing:
        """Tell what marks the end of the body."""
        return framing_of({key.decode('latin-1') for key, _ in self.headers})

    def get(self, name: str) -> str | None:
        """Return a header's first value."""
        wanted = name.encode()
        for key, text in self.headers:
            if key == wanted:
                return text.decode('latin-1')
        return None


@dataclass(frozen=True)
class Outgoing:
    """A whole request, ready to send."""

    method: bytes
    target: bytes
    headers: HeaderList  # without framing
    body: bytes


class Channel(H11Protocol):
    """One connection that we opened."""

    def __init__(
        self, clock: Clock, bounds: MessageBounds = USUAL_BOUNDS
    ) -> None:
        """Start idle; `connect` makes one."""
        super().__init__(h11.Connection(h11.CLIENT))
        self._clock = clock
        self._bounds = bounds
        self._meter = MessageMeter(bounds)
        self._busy = False
        self._used_at = clock.monotonic()
        self._idle_s = UNSTATED_IDLE_S
        self._sent: h11.Request | None = None
        self.uses = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the timeouts that show a peer which is cut off."""
        super().connection_made(transport)
        sock = transport.get_extra_info('socket')
        options = (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_AFTER_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_AFTER_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        )
        for level, option, number in options:
            sock.setsockopt(level, option, number)

    def data_received(self, data: bytes) -> None:
        """Drop the connection at bytes that nobody asked for."""
        if not self._busy:
            self.abort()
            return
        super().data_received(data)

    def eof_received(self) -> bool:
        """Close an idle connection together with its peer."""
        super().eof_received()
        return self._busy

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on it."""
        if self._busy or self.broken or self.transport.is_closing():
            return False
        idle_s = self._clock.monotonic() - self._used_at
        return idle_s < self._idle_s * IDLE_MARGIN

    async def send(self, outgoing: Outgoing) -> None:
        """Write the whole request; the answer may come before its end."""
        self._busy = True
        self.uses += 1
        self.received = 0
        self._meter = MessageMeter(self._bounds)
        length = str(len(outgoing.body)).encode()
        framing = [(b'Content-Length', length)]
        if not outgoing.body and outgoing.method in {b'GET', b'HEAD'}:
            framing = []
        self._sent = h11.Request(
            method=outgoing.method,
            target=outgoing.target,
            headers=[*outgoing.headers, *framing],
        )
        # In one write: a peer that answers early still gets the whole body,
        # or none of the next request on this connection would be read right.
        parts = [self.http.send(self._sent)]
        if outgoing.body:
            parts.append(self.http.send(h11.Data(data=outgoing.body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        if self.broken is not None:
            raise self.broken
        self.transport.write(b''.join(part for part in parts if part))

    async def head(self) -> Head:
        """Read status and headers of the next answer.

        Raises `MessageTooLongError` if informational heads don't end.
        """
        event = await self.next_event()
        while isinstance(event, h11.InformationalResponse):
            self._meter.add_filler(head_bytes(event))
            event = await self.next_event()
        if not isinstance(event, h11.Response):
            raise EOFError('the connection ended before an answer')
        head = Head(event.status_code, list(event.headers))
        stated = _TIMEOUT_FORM.search((head.get('keep-alive') or '').encode())
        if stated:
            self._idle_s = float(stated.group(1))
        return head

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises if its framing shows that it was cut.

        Raises `MessageTooLongError` beyond the bounds.
        """
        event = await self.next_event()
        while isinstance(event, h11.Data):
            self._meter.add_content(len(event.data))
            yield bytes(event.data)
            event = await self.next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise EOFError('the connection ended within an answer')

    async def body(
        self, most: float, on_growth: Callable[[int], None] | None = None
    ) -> bytes:
        """Read the body whole, up to so many bytes.

        `on_growth` is called with the bytes so far.
        """
        parts: list[bytes] = []
        size = 0
        async for chunk in self.chunks():
            parts.append(chunk)
            size += len(chunk)
            if on_growth is not None:
                on_growth(size)
            if size > most:
                raise MessageTooLongError(f'the answer is over {most} bytes')
        return b''.join(parts)

    def check_received(self) -> None:
        """Raise if what came in this exchange is mostly no content."""
        self._meter.note_received(self.received)

    def expect_another(self) -> None:
        """Read on for the true answer after one that was not ours.

        A peer may send an answer of an earlier request late. Its request was
        read before ours, so the next answer on the connection can be ours.
        """
        assert self._sent is not None
        trailing, closed = self.http.trailing_data
        self.http = h11.Connection(h11.CLIENT)
        self.http.send(self._sent)
        if self.http.our_state is h11.SEND_BODY:
            sent = dict(self._sent.headers).get(b'content-length', b'0')
            if int(sent):
                self.http.send(h11.Data(data=bytes(int(sent))))
            self.http.send(h11.EndOfMessage())
        if trailing:
            self.http.receive_data(trailing)
        if closed:
            self.http.receive_data(b'')

    def release(self) -> bool:
        """End an exchange; tells whether the connection stays open."""
        if not (self._is_open() and self._is_between_exchanges()):
            self.abort()
            return False
        self.http.start_next_cycle()
        self._busy = False
        self._used_at = self._clock.monotonic()
        return True

    def _is_open(self) -> bool:
        return self.broken is None and not self.transport.is_closing()

    def _is_between_exchanges(self) -> bool:
        """Tell whether both sides ended theirs and said nothing more."""
        states = {self.http.our_state, self.http.their_state}
        unsent = self.transport.get_write_buffer_size()
        return states == {h11.DONE} and not (
            unsent or self.http.trailing_data[0]
        )


async def connect(
    address: str,
    port: int,
    clock: Clock,
    timeout_s: float = CONNECT_TIMEOUT_S,
    bounds: MessageBounds = USUAL_BOUNDS,
) -> Channel:
    """Open a channel; an `OSError` here means that nothing was sent."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, channel = await loop.create_connection(
                lambda: Channel(clock, bounds), address, port
            )
    except TimeoutError:
        raise ConnectionError(f'{address}:{port} did not answer') from None
    return channel
