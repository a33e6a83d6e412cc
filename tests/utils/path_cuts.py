"""Cuts the paths from single entry VMs of a test process to the runners.

The VMs of a test share an event loop. Each is started in a context of its own,
which all its tasks and callbacks inherit, so a connection can be attributed to
the VM that opens it.
"""

import asyncio
import errno
import socket
from collections import defaultdict
from collections.abc import Callable
from contextvars import ContextVar
from enum import StrEnum
from functools import partial
from typing import Any, Final

current_vm: ContextVar[int] = ContextVar('current_vm')

MS_PER_SECOND: Final = 1000
SLOW_OPEN_S: Final = 0.2


class PathState(StrEnum):
    """What happens on the path from a VM to the runners."""

    INTACT = 'intact'
    SILENT = 'silent'  # packets are lost, in both directions
    RESET = 'reset'  # open connections are reset, new ones are refused
    REFUSED = 'refused'  # open connections work, new ones are refused
    SLOW = 'slow'  # a new connection takes `SLOW_OPEN_S`


class PathCuts:
    """Opens the connections of an event loop's VMs and cuts them."""

    def __init__(self, runner_host: str) -> None:
        """Cut only connections to `runner_host`."""
        self._runner_host = runner_host
        self._states: dict[int, PathState] = {}
        self._links: dict[int, list[_Link]] = defaultdict(list)
        self._connect: Any = None

    def install(self) -> None:
        """Take over the running event loop's outgoing connections."""
        loop = asyncio.get_running_loop()
        self._connect = loop.create_connection
        loop.create_connection = self._create_connection  # type: ignore

    def install_for_all_loops(self) -> None:
        """Take over the outgoing connections of loops that start later."""
        connect = asyncio.BaseEventLoop.create_connection

        async def create_connection(
            loop: asyncio.BaseEventLoop, *details: Any, **options: Any
        ) -> tuple[Any, Any]:
            self._connect = partial(connect, loop)
            return await self._create_connection(*details, **options)

        asyncio.BaseEventLoop.create_connection = create_connection  # type: ignore

    def set_state(self, vm: int, state: PathState) -> None:
        """Change the path from a VM to all runners."""
        self._states[vm] = state
        for link in self._links[vm]:
            link.is_silent = state is PathState.SILENT
            if state is PathState.RESET:
                link.lose(ConnectionResetError(errno.ECONNRESET, 'reset'))

    async def _create_connection(
        self,
        protocol_factory: Callable[[], Any],
        host: str,
        port: int,
        **options: Any,
    ) -> tuple[Any, Any]:
        vm = current_vm.get(-1)
        if vm < 0 or host != self._runner_host:
            opened: tuple[Any, Any] = await self._connect(
                protocol_factory, host, port, **options
            )
            return opened
        await self._check(vm)
        _, link = await self._connect(
            lambda: _Link(protocol_factory()), host, port, **options
        )
        self._links[vm].append(link)
        return link, link.protocol

    async def _check(self, vm: int) -> None:
        state = self._states.get(vm, PathState.INTACT)
        if state is PathState.SILENT:
            await asyncio.Event().wait()
        if state is PathState.SLOW:
            await asyncio.sleep(SLOW_OPEN_S)
        elif state is not PathState.INTACT:
            raise ConnectionRefusedError(errno.ECONNREFUSED, 'refused')


class _Link(asyncio.Protocol):
    """Stands between a protocol and its transport."""

    def __init__(self, protocol: Any) -> None:
        self.protocol = protocol
        self.is_silent = False
        self._transport: Any = None
        self._is_lost = False
        self._timer: asyncio.TimerHandle | None = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self.protocol.connection_made(self)

    def data_received(self, data: bytes) -> None:
        if not self.is_silent:
            self.protocol.data_received(data)

    def eof_received(self) -> bool | None:
        if self.is_silent:
            return True
        keep_open: bool | None = self.protocol.eof_received()
        return keep_open

    def connection_lost(self, exc: Exception | None) -> None:
        if not (self._is_lost or self.is_silent):
            self.protocol.connection_lost(exc)

    def write(self, payload: bytes) -> None:
        if not self.is_silent:
            self._transport.write(payload)
        elif self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                self._user_timeout_s(),
                self.lose,
                TimeoutError(errno.ETIMEDOUT, 'timed out'),
            )

    def abort(self) -> None:
        self._is_lost = True
        self._transport.abort()

    def lose(self, exc: Exception) -> None:
        """End the connection with an error, as the kernel does."""
        if not self._is_lost:
            self._is_lost = True
            self.protocol.connection_lost(exc)
            self._transport.abort()

    def _user_timeout_s(self) -> float:
        sock = self._transport.get_extra_info('socket')
        timeout_ms = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        return float(timeout_ms) / MS_PER_SECOND
