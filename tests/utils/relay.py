"""A TCP relay that can cut a link, one way or both, or make it thin."""

import asyncio
from collections.abc import Sequence
from enum import Flag, auto
from typing import Final

READ_SIZE: Final = 65536
PACED_READ_SIZE: Final = 4096


class Cut(Flag):
    """Which way bytes do not pass."""

    NONE = 0
    TO_TARGET = auto()
    FROM_TARGET = auto()
    BOTH = TO_TARGET | FROM_TARGET


class Link:
    """A VM's own link, shared by all connections that pass over it."""

    def __init__(self, bytes_per_s: float) -> None:
        """Start idle."""
        self._bytes_per_s = bytes_per_s
        self._free_at = float(0)

    async def carry(self, size: int) -> None:
        """Return when as many bytes have passed, after all before them."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self._bytes_per_s
        await asyncio.sleep(self._free_at - now)


class Relay:
    """Passes connections on to a target.

    A cut holds bytes back without closing anything, as a network does. After
    `heal` they arrive late, as TCP would send them again; `heal(drop=True)`
    closes the held connections instead.
    """

    def __init__(
        self,
        host: str,
        port: int,
        target_host: str,
        target_port: int,
        links: Sequence[Link] = (),
    ) -> None:
        """Take both addresses; `start` listens.

        Answers of the target pass over each of `links`, which others may use.
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
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve,
            self.host,
            self.port,
        )

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        await self._drop()

    def cut(self, cut: Cut) -> None:
        """Hold back what goes this way, on old and new connections."""
        self._cut = cut
        self._healed.clear()

    async def heal(self, drop: bool = False) -> None:
        """Let bytes pass again."""
        if drop:
            await self._drop()
        self._cut = Cut.NONE
        self._healed.set()

    async def _drop(self) -> None:
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
            await self._pass_both_ways(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _pass_both_ways(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        target = await asyncio.open_connection(*self._target)
        ways = (
            asyncio.create_task(
                self._pass(reader, target[1], Cut.TO_TARGET),
            ),
            asyncio.create_task(
                self._pass(target[0], writer, Cut.FROM_TARGET),
            ),
        )
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            target[1].transport.abort()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: Cut,
    ) -> None:
        links = self._links if way is Cut.FROM_TARGET else ()
        read_size = PACED_READ_SIZE if links else READ_SIZE
        while True:
            chunk = await reader.read(read_size)
            for link in links:
                await link.carry(len(chunk))
            while way in self._cut:
                await self._healed.wait()
            if not chunk:
                return
            writer.write(chunk)
            await writer.drain()
