"""Accepts callers' connections and ends them at a planned stop."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Final

from bramleybend.clients.http import BROKEN, close_writer
from bramleybend.gateway.caller_connection import CallerConnection
from bramleybend.gateway.http_messages import Handler
from bramleybend.gateway.run import IncompleteAnswerError

CALLER_GONE_ERRORS: Final = (*BROKEN, IncompleteAnswerError)
# Longer than a turn of the event loop, which accepts all that is queued.
ACCEPT_WAIT_S: Final = 0.05


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
        self._connections: dict[asyncio.Task[None], CallerConnection] = {}
        self._is_stopping = False
        self.answering_count = 0  # requests that have come in and not gone out

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

    async def stop(self, timeout_s: float) -> None:
        """Answer whoever has connected, for at most `limit_s`, then close.

        The kernel resets what is still queued when a listener is closed, so
        the queue is emptied first. Each connection ends with the request
        that it is sending, or after `LAST_REQUEST_S` without one.
        """
        self._is_stopping = True
        for conn in self._connections.values():
            conn.close_when_idle()
        if self._server is not None:
            await asyncio.sleep(ACCEPT_WAIT_S)
            self._server.close()
            await asyncio.sleep(ACCEPT_WAIT_S)
        if self._connections:
            await asyncio.wait(self._connections, timeout=timeout_s)
        for task in self._connections:
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    @contextmanager
    def _count_answering(self) -> Iterator[None]:
        self.answering_count += 1
        try:
            yield
        finally:
            self.answering_count -= 1

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        conn = CallerConnection(
            reader, writer, self._handler, self._count_answering
        )
        self._connections[task] = conn
        if self._is_stopping:
            conn.close_when_idle()
        try:
            await conn.serve(self._count_rejected)
        except CALLER_GONE_ERRORS:
            # The caller has gone; it will send the same id again.
            return
        finally:
            self._connections.pop(task)
            with suppress(asyncio.CancelledError):
                await close_writer(writer)
