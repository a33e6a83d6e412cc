"""Connections to runners through another VM.

See `tunnel_server` for the other end. Apart from how it is opened and how it
ends, a tunnelled connection is used like a direct one.
"""

import asyncio
from typing import Final

from bramleybend.clients.channel import Channel
from bramleybend.clients.message_bounds import MessageBounds
from bramleybend.clock import Clock
from bramleybend.direct.members import Member
from bramleybend.direct.models import RunnerEntry
from bramleybend.direct.tunnel_frames import (
    EndReason,
    Frame,
    FrameError,
    FrameReader,
    FrameType,
    RefusalReason,
    TunnelRequest,
    encode_frame,
    encode_request,
)

# The port for tunnels, next to the one for heartbeats.
TUNNEL_PORT_OFFSET: Final = 1


class TunnelRefusedError(ConnectionError):
    """The other VM opened no tunnel; nothing was sent to the runner."""

    def __init__(self, reason: str) -> None:
        """Keep the other VM's reason, a `RefusalReason` unless it is newer."""
        super().__init__(f'the other VM opened no tunnel: {reason}')
        self.is_runner_unreachable = reason == RefusalReason.UNREACHABLE


class TunnelChannel(Channel):
    """A connection to a runner through another VM; `open_tunnel` opens one."""

    _receive_from_runner = Channel.data_received
    _end_by_runner = Channel.eof_received
    _lose_connection = Channel.connection_lost

    def __init__(self, clock: Clock, bounds: MessageBounds, via: str) -> None:
        """Start without a transport; `via` is the name of the other VM."""
        super().__init__(clock, bounds)
        self.via = via
        self._frames = FrameReader()
        self._has_runner_ended = False
        self._has_timed_out = False  # the other VM lost its path to the runner
        loop = asyncio.get_running_loop()
        self.opened: asyncio.Future[None] = loop.create_future()

    def data_received(self, data: bytes) -> None:
        """Unpack frames and handle the runner's bytes."""
        try:
            for frame in self._frames.feed(data):
                self._handle_frame(frame)
        except FrameError as exc:
            self._lose(ConnectionError(f'the tunnel is broken: {exc}'))

    def eof_received(self) -> bool:
        """Close a tunnel that the other VM ended.

        Unless an `END` frame came first, this is no end of the runner's answer,
        which might look complete.
        """
        self._lose(ConnectionError('the tunnel was closed'))
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what waits on the tunnel."""
        self._fail(ConnectionError(f'the tunnel was lost: {exc}'))

    async def _require_no_reset(self) -> None:
        """Rely on the other VM, which tells a reset from an orderly end."""

    def _handle_frame(self, frame: Frame) -> None:
        kind, payload = frame
        match kind:
            case FrameType.DATA:
                self._receive_from_runner(payload)
            case FrameType.END:
                self._end(payload.decode())
            case FrameType.OPENED:
                if not self.opened.done():
                    self.opened.set_result(None)
            case FrameType.REFUSED:
                self._lose(TunnelRefusedError(payload.decode()))
            case FrameType.OPEN:
                raise FrameError('only this VM may ask for a tunnel')

    def _end(self, reason: str) -> None:
        """Handle the end of the runner's connection."""
        self._has_timed_out = reason == EndReason.TIMEOUT
        self._has_runner_ended = not self._has_timed_out
        if reason == EndReason.CLOSED:
            if not self._end_by_runner():
                self.close()
        elif reason == EndReason.TIMEOUT:
            self._lose(TimeoutError('the runner does not respond'))
        else:
            self._lose(ConnectionResetError('the runner reset the connection'))

    def _lose(self, exc: Exception) -> None:
        self._fail(exc)
        self.abort()

    def _fail(self, exc: Exception) -> None:
        """Keep the first error and wake the tasks that wait."""
        if self.connection_error is None:
            self._lose_connection(exc)
        self.has_peer_ended = self._has_runner_ended
        self.is_path_lost = not (self._has_runner_ended or self._has_timed_out)
        if not self.opened.done():
            self.opened.set_exception(exc)
            self.opened.exception()  # nobody may be waiting for it


async def open_tunnel(
    via: Member,
    port: int,
    runner: RunnerEntry,
    clock: Clock,
    bounds: MessageBounds,
    local_address: str,
) -> TunnelChannel:
    """Open a tunnel; an `OSError` means that nothing was sent to the runner.

    The other VM accepts tunnels only from addresses of VMs, so the connection
    leaves from `local_address`.
    """
    loop = asyncio.get_running_loop()
    _, channel = await loop.create_connection(
        lambda: TunnelChannel(clock, bounds, via.vm),
        via.address,
        port,
        local_addr=(local_address, 0),
    )
    request = TunnelRequest(runner.service, runner.incarnation)
    opening = encode_frame(FrameType.OPEN, encode_request(request))
    channel.transport.write(opening)
    try:
        await channel.opened
    except BaseException:
        channel.abort()
        raise
    return channel
