"""Lends this VM's links to runners to VMs that have lost theirs.

Failure: a VM without links to runners would fail all of its callers, although
the other VMs reach the runners and the VM reaches them. It opens tunnels
through these VMs and stays in charge of its requests: slots, allotments,
retries and deadlines are handled as on a direct connection.

A tunnel leads to a runner of this VM's own list and never to another VM, so
there is one hop at most. Only VMs that this VM hears may open one.
"""

import asyncio
from collections.abc import Callable
from typing import Final, Protocol, cast

import msgspec

from bramleybend.clients.channel import set_peer_timeouts
from bramleybend.clients.connection_end import (
    LONG_REQUEST_BYTES,
    RESET_GRACE_S,
    unacknowledged_bytes,
    was_reset,
)
from bramleybend.clients.h11_protocol import reset_transport
from bramleybend.direct.models import RunnerEntry
from bramleybend.direct.tunnel_frames import (
    EndReason,
    FrameError,
    FrameReader,
    FrameType,
    RefusalReason,
    TunnelRequest,
    decode_request,
    encode_frame,
)
from bramleybend.events import EventLog
from bramleybend.timeouts import timeout_scope

# In which a runner has to accept a connection. The VM that waits for the tunnel
# gives up soon after.
CONNECT_TIMEOUT_S: Final = 0.15
# Each tunnel takes two descriptors and some buffers.
MAX_TUNNELS: Final = 512
REQUEST_ERRORS: Final = (FrameError, msgspec.MsgspecError, RecursionError)

FindRunner = Callable[[str, str], RunnerEntry | None]  # service, incarnation


class PathObserver(Protocol):
    """Learns which runners this VM reaches."""

    def note_connected(self, runner: RunnerEntry) -> None:
        """Record that a direct connection to a runner succeeded."""

    def note_failed(self, runner: RunnerEntry) -> None:
        """Record that a direct connection to a runner failed."""


class TunnelServer:
    """Accepts tunnels and forwards their bytes."""

    def __init__(
        self,
        find_runner: FindRunner,
        is_peer: Callable[[str], bool],
        paths: PathObserver,
        events: EventLog,
    ) -> None:
        """Create a server; `is_peer` tells whether a VM has this address."""
        self.find_runner = find_runner
        self.paths = paths
        self._is_peer = is_peer
        self._events = events
        self._server: asyncio.Server | None = None
        self._links: set[_PeerLink] = set()

    @property
    def open_count(self) -> int:
        """The number of tunnels that are open."""
        return len(self._links)

    async def start(self, address: str, port: int) -> None:
        """Listen for other VMs."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, address, port)

    def close(self) -> None:
        """Stop listening and reset all tunnels."""
        if self._server is not None:
            self._server.close()
        for link in tuple(self._links):
            link.reset()

    def admit(self, link: '_PeerLink', address: str) -> bool:
        """Count a connection; return whether it comes from a known VM."""
        self._links.add(link)
        is_peer = self._is_peer(address)
        if not is_peer:
            self._events.record('tunnel_denied', peer=address)
        return is_peer

    def remove(self, link: '_PeerLink') -> None:
        """Stop counting a connection that has ended."""
        self._links.discard(link)

    def is_full(self) -> bool:
        """Return whether no further tunnel may be opened."""
        return len(self._links) > MAX_TUNNELS

    def log_invalid(self, address: str, why: str) -> None:
        """Log a connection that does not follow the protocol."""
        self._events.record('tunnel_invalid', peer=address, why=why)

    def _accept(self) -> '_PeerLink':
        return _PeerLink(self)


class _Link(asyncio.Protocol):
    """One end of a tunnel; `other` is the end that its bytes go to."""

    def __init__(self) -> None:
        self.other: _Link | None = None
        self._transport: asyncio.Transport | None = None

    @property
    def is_open(self) -> bool:
        return self._transport is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        set_peer_timeouts(transport)

    def pause_writing(self) -> None:
        if self.other is not None:
            self.other.pause_reading()

    def resume_writing(self) -> None:
        if self.other is not None:
            self.other.resume_reading()

    def pause_reading(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        if self._transport is not None:
            self._transport.resume_reading()

    def write(self, payload: bytes) -> None:
        if self._transport is not None:
            self._transport.write(payload)

    def close(self) -> None:
        """Close after the bytes that were written are sent."""
        if self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        if self._transport is not None:
            reset_transport(self._transport)


class _RunnerLink(_Link):
    """The end at the runner."""

    def __init__(self, peer: '_PeerLink') -> None:
        super().__init__()
        self.other = peer
        self._written_bytes = 0
        self._is_request_cut = False

    def write(self, payload: bytes) -> None:
        self._written_bytes += len(payload)
        super().write(payload)

    def data_received(self, data: bytes) -> None:
        assert self.other is not None
        self.other.write(encode_frame(FrameType.DATA, data))

    def eof_received(self) -> bool:
        """Check whether the runner ended its side before it read a request."""
        if self._transport is None:
            return False
        self._is_request_cut = unacknowledged_bytes(self._transport) > 0
        if self._is_request_cut or self._written_bytes < LONG_REQUEST_BYTES:
            return False
        loop = asyncio.get_running_loop()
        loop.call_later(RESET_GRACE_S, self._end)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        reason = EndReason.CLOSED
        if self._is_request_cut:
            reason = EndReason.RESET
        elif exc is not None:
            is_timeout = isinstance(exc, TimeoutError)
            reason = EndReason.TIMEOUT if is_timeout else EndReason.RESET
        assert self.other is not None
        self.other.write(encode_frame(FrameType.END, reason.encode()))
        self.other.close()

    def _end(self) -> None:
        if self._transport is not None:
            self._is_request_cut = was_reset(self._transport)
            self.close()


class _PeerLink(_Link):
    """The end at the VM that opened the tunnel."""

    def __init__(self, server: TunnelServer) -> None:
        super().__init__()
        self._server = server
        self._frames = FrameReader()
        self._address = ''
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._address = transport.get_extra_info('peername')[0]
        if not self._server.admit(self, self._address):
            self.reset()

    def data_received(self, data: bytes) -> None:
        if self.other is not None:
            self.other.write(data)
            return
        try:
            self._read_request(data)
        except REQUEST_ERRORS as exc:
            self._server.log_invalid(self._address, str(exc))
            self.reset()

    def eof_received(self) -> None:
        """Close: a VM ends a tunnel once it no longer needs the runner."""

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._server.remove(self)
        if self._task is not None:
            self._task.cancel()
        if self.other is not None:
            # The request may be incomplete, or its caller has left: an orderly
            # end would let the runner go on with it.
            self.other.reset()

    def _read_request(self, received: bytes) -> None:
        for kind, payload in self._frames.feed(received):
            if kind is not FrameType.OPEN or self._task is not None:
                raise FrameError(f'a frame of type {kind} is not expected')
            request = decode_request(payload)
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._open(request))

    async def _open(self, request: TunnelRequest) -> None:
        refusal = await self._connect(request)
        if refusal is not None:
            self.write(encode_frame(FrameType.REFUSED, refusal.encode()))
            self.close()
            return
        self.write(encode_frame(FrameType.OPENED))

    async def _connect(self, request: TunnelRequest) -> RefusalReason | None:
        if self._server.is_full():
            return RefusalReason.BUSY
        runner = self._server.find_runner(request.service, request.runner)
        if runner is None:
            return RefusalReason.UNKNOWN_RUNNER
        loop = asyncio.get_running_loop()
        try:
            async with timeout_scope(CONNECT_TIMEOUT_S):
                _, link = await loop.create_connection(
                    lambda: _RunnerLink(self), runner.address, runner.port
                )
        except OSError:
            # The VM that asked logs the refusal.
            self._server.paths.note_failed(runner)
            return RefusalReason.UNREACHABLE
        self._server.paths.note_connected(runner)
        self.other = link
        if not self.is_open:
            link.reset()
        return None
