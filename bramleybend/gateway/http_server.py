"""Accepts callers' connections and ends them at a planned stop."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Final

from bramleybend.clients.http import BROKEN, close_writer
from bramleybend.gateway.caller_connection import Connection
from bramleybend.gateway.http_messages import Handler
from bramleybend.gateway.run import TornError

LOST: Final = (*BROKEN, TornError)
# Longer than a turn of the event loop, which accepts all that is queued.
ACCEPT_S: Final = 0.05


class HttpServer:
    """Accepts callers; owns their connections."""

    def __init__(
        self,
        handler: Handler,
        count_rejected: Callable[[], None],
    ) -> None:
        """Answer every request by `handler`."""
        self._handler = handler
        self._count_rejected = count_rejected
        self._server: asyncio.Server | None = None
        self._open: dict[asyncio.Task[None], Connection] = {}
        self._stopping = False
        self.answering = 0  # requests that have come in and not gone out

    async def start(self, address: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._accept,
            address,
            port,
            backlog=1024,
        )

    @property
    def port(self) -> int:
        """The port listened on, for a server that was started on any."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def stop(self, limit_s: float) -> None:
        """Answer whoever has connected, for at most `limit_s`, then close.

        The kernel resets what is still queued when a listener is closed, so
        the queue is emptied first. Each connection ends with the request
        that it is sending, or after `LAST_REQUEST_S` without one.
        """
        self._stopping = True
        for conn in self._open.values():
            conn.finish()
        if self._server is not None:
            await asyncio.sleep(ACCEPT_S)
            self._server.close()
            await asyncio.sleep(ACCEPT_S)
        if self._open:
            await asyncio.wait(self._open, timeout=limit_s)
        for task in self._open:
            task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)

    @contextmanager
    def _answer_begun(self) -> Iterator[None]:
        self.answering += 1
        try:
            yield
        finally:
            self.answering -= 1

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        conn = Connection(reader, writer, self._handler, self._answer_begun)
        self._open[task] = conn
        if self._stopping:
            conn.finish()
        try:
            await conn.serve(self._count_rejected)
        except LOST:
            # The caller has gone; it will send the same id again.
            return
        finally:
            self._open.pop(task)
            with suppress(asyncio.CancelledError):
                await close_writer(writer)
