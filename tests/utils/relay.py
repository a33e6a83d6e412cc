"""A TCP relay that blocks traffic in one or both directions or paces it."""

import asyncio
from collections.abc import Sequence
from enum import Flag, auto
from typing import Final

READ_SIZE: Final = 65536
PACED_READ_SIZE: Final = 4096


class Cut(Flag):
    """The directions in which a relay holds bytes back."""

    NONE = 0
    TO_TARGET = auto()
    FROM_TARGET = auto()
    BOTH = TO_TARGET | FROM_TARGET


class Link:
    """A link of limited bandwidth that several connections share."""

    def __init__(self, bytes_per_s: float) -> None:
        """Limit the link to `bytes_per_s`."""
        self._bytes_per_s = bytes_per_s
        self._free_at = float(0)

    async def transmit(self, size: int) -> None:
        """Wait until `size` bytes have passed, after those queued before."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self._bytes_per_s
        await asyncio.sleep(self._free_at - now)


class Relay:
    """Forwards TCP connections to a target.

    `cut` holds bytes back and leaves the connections open, as a network
    partition does. After `heal` the bytes arrive late, as with TCP's
    retransmission; `heal(drop=True)` closes the connections instead.
    """

    def __init__(
        self,
        host: str,
        port: int,
        target_host: str,
        target_port: int,
        links: Sequence[Link] = (),
    ) -> None:
        """Set both addresses; `start` listens.

        Bytes from the target pass over each of `links`, which other relays
        may share.
        """
        self.host = host
        self.port = port
        self._target = (target_host, target_port)
        self._links = links
        self._cut = Cut.NONE
        self._healed = asyncio.Event()
        self._healed.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def url(self) -> str:
        """Return the base address for clients."""
        return f'http://{self.host}:{self.port}'

    async def start(self) -> None:
        """Listen on the relay's address."""
        self._server = await asyncio.start_server(
            self._serve,
            self.host,
            self.port,
        )

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        await self._close_connections()

    def cut(self, cut: Cut) -> None:
        """Hold bytes back in these directions, on old and new connections."""
        self._cut = cut
        self._healed.clear()

    async def heal(self, drop: bool = False) -> None:
        """Forward bytes again; with `drop`, close all connections first."""
        if drop:
            await self._close_connections()
        self._cut = Cut.NONE
        self._healed.set()

    async def _close_connections(self) -> None:
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._forward_both_directions(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _forward_both_directions(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        target = await asyncio.open_connection(*self._target)
        directions = (
            asyncio.create_task(
                self._forward(reader, target[1], Cut.TO_TARGET),
            ),
            asyncio.create_task(
                self._forward(target[0], writer, Cut.FROM_TARGET),
            ),
        )
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            target[1].transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Cut,
    ) -> None:
        links = self._links if direction is Cut.FROM_TARGET else ()
        read_size = PACED_READ_SIZE if links else READ_SIZE
        while True:
            chunk = await reader.read(read_size)
            for link in links:
                await link.transmit(len(chunk))
            while direction in self._cut:
                await self._healed.wait()
            if not chunk:
                return
            writer.write(chunk)
            await writer.drain()
