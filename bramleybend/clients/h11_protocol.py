"""One HTTP/1.1 connection over an asyncio transport, framed by h11.

A transport tells at once when its peer has left or when bytes come that
nobody asked for. A task that reads a stream would notice only at its next
read, so both directions of the raw path are built on this.
"""

import asyncio
import logging
import socket
import struct
from typing import Final, cast

import h11

# Unread bytes at which reading stops, so that a fast sender before a slow
# reader costs no memory; far over one event or request of usual size.
HIGH_WATER: Final = 65_536
READ_BYTES: Final = 65_536  # at once
MOST_DISCARDED: Final = 4_194_304  # bytes that nobody reads
# Events between two turns of the event loop: bytes that came together may
# hold thousands, and all other connections wait for them.
EVENTS_A_TURN: Final = 64
NO_LINGER: Final = struct.pack('ii', 1, 0)  # on, for no time

logger = logging.getLogger(__name__)


class H11Protocol(asyncio.BufferedProtocol):
    """Feeds a connection's bytes to h11 and hands out its events."""

    # Each read is copied out before the next one, so all can share it.
    _buffer: Final = bytearray(READ_BYTES)

    def __init__(self, http: h11.Connection) -> None:
        """Start without a transport."""
        self.http = http
        self.broken: Exception | None = None
        self.peer_ended = False  # the peer writes no more
        self._transport: asyncio.Transport | None = None
        self._news = asyncio.Event()
        self._room = asyncio.Event()
        self._room.set()
        self._unread = 0
        self._events = 0  # since the last turn of the event loop
        self.received = 0  # bytes
        self.discarding = False  # nobody reads what still comes

    @property
    def transport(self) -> asyncio.Transport:
        """The transport; there is one once the connection stands."""
        assert self._transport is not None
        return self._transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over an open connection."""
        self._transport = cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> bytearray:  # noqa: WPS615
        """Return where the next bytes are put."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take in bytes that were put into the buffer."""
        self.data_received(bytes(memoryview(self._buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Keep what came until it is read."""
        self.received += len(data)
        if self.discarding:
            if self.received > MOST_DISCARDED:
                self.transport.pause_reading()
            return
        self.http.receive_data(data)
        self._unread += len(data)
        if self._unread > HIGH_WATER:
            self.transport.pause_reading()
        self._news.set()

    def eof_received(self) -> bool:
        """Note that the peer writes no more; keep our half open."""
        self.peer_ended = True
        self.http.receive_data(b'')
        self._news.set()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake whoever waits for the peer."""
        self.broken = exc or ConnectionResetError('the connection is closed')
        self.peer_ended = not isinstance(exc, TimeoutError)
        self._news.set()
        self._room.set()

    def pause_writing(self) -> None:
        """Note that the peer reads more slowly than we write."""
        self._room.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._room.set()

    async def next_event(self) -> object:
        """Return h11's next event, waiting for bytes as needed."""
        event = self.http.next_event()
        while event is h11.NEED_DATA:
            self._events = 0
            self.check_received()
            await self.more_data()
            event = self.http.next_event()
        self._events += 1
        if self._events >= EVENTS_A_TURN:
            self._events = 0
            await asyncio.sleep(0)
        return event

    def check_received(self) -> None:
        """Raise if what came is no message; all of it has been read."""

    async def more_data(self) -> None:
        """Wait until bytes or the end of the connection have come."""
        self._unread = 0
        if self.broken is not None:
            raise self.broken
        self.transport.resume_reading()
        self._news.clear()
        await self._news.wait()

    async def write(self, payload: bytes) -> None:
        """Write, and wait while the peer doesn't keep up."""
        if self.broken is not None:
            raise self.broken
        self.transport.write(payload)
        if not self._room.is_set():
            await self._room.wait()

    def close(self) -> None:
        """Close in order; what was written is still sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection; what its peer has not read yet is dropped.

        Closed in order, the kernel would still deliver a request that was
        written, and the peer would run it for nobody; and a peer that reads
        to the end of the connection would take half an answer for a whole one.
        """
        if self._transport is None:
            return
        sock = self._transport.get_extra_info('socket')
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        except OSError as exc:
            logger.debug('a connection is closed in order: %s', exc)
        self._transport.abort()
