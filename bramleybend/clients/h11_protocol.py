"""An HTTP/1.1 connection as an asyncio protocol, parsed by h11.

asyncio calls a protocol as soon as the peer disconnects or sends unrequested
bytes. A task that reads a stream would notice only at its next read, so the
connections of callers and to runners both build on this protocol.
"""

import asyncio
import logging
import socket
import struct
from typing import Final, cast

import h11

# Reading pauses above this many unread bytes, so that a sender which is
# faster than the reader costs no memory. It is far above the usual size of an
# event or request.
HIGH_WATER_BYTES: Final = 65_536
READ_BUFFER_BYTES: Final = 65_536  # per read
# Received bytes after which a connection that discards them stops reading.
MAX_DISCARDED_BYTES: Final = 4_194_304
# Events returned before other tasks of the event loop get a turn. Bytes that
# arrive together may hold thousands of events, which would delay all other
# connections.
MAX_EVENTS_PER_TURN: Final = 64
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)  # l_onoff, l_linger in seconds

logger = logging.getLogger(__name__)


class H11Protocol(asyncio.BufferedProtocol):
    """Passes a connection's bytes to h11 and returns the parsed events."""

    # Shared by all connections, as each read is copied before the next one.
    _buffer: Final = bytearray(READ_BUFFER_BYTES)

    def __init__(self, http: h11.Connection) -> None:
        """Start without a transport."""
        self.http = http
        self.connection_error: Exception | None = None
        self.has_peer_ended = False  # the peer sends no more bytes
        self._transport: asyncio.Transport | None = None
        self._data_available = asyncio.Event()
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._unread_bytes = 0
        self._events_in_turn = 0  # since other tasks last ran
        self.received_bytes = 0
        self.is_discarding = False  # received bytes are not parsed

    @property
    def transport(self) -> asyncio.Transport:
        """The transport, which exists once the connection is open."""
        assert self._transport is not None
        return self._transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Use the transport of a connection that was just opened."""
        self._transport = cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> bytearray:  # noqa: WPS615
        """Return the buffer for the next read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the first `nbytes` bytes of the buffer."""
        self.data_received(bytes(memoryview(self._buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes until `next_event` parses them."""
        self.received_bytes += len(data)
        if self.is_discarding:
            if self.received_bytes > MAX_DISCARDED_BYTES:
                self.transport.pause_reading()
            return
        self.http.receive_data(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > HIGH_WATER_BYTES:
            self.transport.pause_reading()
        self._data_available.set()

    def eof_received(self) -> bool:
        """Record that the peer sends no more; keep our side open."""
        self.has_peer_ended = True
        self.http.receive_data(b'')
        self._data_available.set()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the tasks that wait to read or write."""
        self.connection_error = exc or ConnectionResetError(
            'the connection is closed'
        )
        self.has_peer_ended = not isinstance(exc, TimeoutError)
        self._data_available.set()
        self._can_write.set()

    def pause_writing(self) -> None:
        """Make `write` wait, as the peer reads more slowly than we write."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Let waiting calls of `write` continue."""
        self._can_write.set()

    async def next_event(self) -> object:
        """Return h11's next event, waiting for bytes if necessary."""
        event = self.http.next_event()
        while event is h11.NEED_DATA:
            self._events_in_turn = 0
            self.check_received_bytes()
            await self.wait_for_data()
            event = self.http.next_event()
        self._events_in_turn += 1
        if self._events_in_turn >= MAX_EVENTS_PER_TURN:
            self._events_in_turn = 0
            await asyncio.sleep(0)
        return event

    def check_received_bytes(self) -> None:
        """Raise if the peer sent too much; called when all is parsed."""

    async def wait_for_data(self) -> None:
        """Wait until bytes arrive or the connection ends."""
        self._unread_bytes = 0
        if self.connection_error is not None:
            raise self.connection_error
        self.transport.resume_reading()
        self._data_available.clear()
        await self._data_available.wait()

    def read_on(self) -> None:
        """Read while a message is handled, to notice the connection's end."""
        self._unread_bytes = len(self.http.trailing_data[0])
        if self._unread_bytes <= HIGH_WATER_BYTES:
            self.transport.resume_reading()

    async def write(self, payload: bytes) -> None:
        """Write, then wait while the transport's write buffer is full."""
        if self.connection_error is not None:
            raise self.connection_error
        self.transport.write(payload)
        if not self._can_write.is_set():
            await self._can_write.wait()

    def close(self) -> None:
        """Close gracefully: bytes already written are still sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection and drop bytes that are not yet delivered.

        After a graceful close, the kernel would still deliver a request, and
        the peer would run it although nobody reads the response. A peer that
        reads until the connection ends would also accept a truncated response
        as complete.
        """
        if self._transport is not None:
            reset_transport(self._transport)


def reset_transport(transport: asyncio.Transport) -> None:
    """Reset a connection; unsent bytes, and those in flight, are dropped."""
    sock = transport.get_extra_info('socket')
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError as exc:
        logger.debug('cannot set SO_LINGER, closing gracefully: %s', exc)
    transport.abort()
