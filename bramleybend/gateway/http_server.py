"""HTTP server: accepts callers' connections, closes them at a planned stop."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Final

from bramleybend.clients.http import EXCHANGE_ERRORS, close_writer
from bramleybend.gateway.caller_connection import CallerConnection
from bramleybend.gateway.http_messages import Handler
from bramleybend.gateway.run import IncompleteAnswerError

CALLER_GONE_ERRORS: Final = (*EXCHANGE_ERRORS, IncompleteAnswerError)
# Longer than one iteration of the event loop, which accepts all connections in
# the listen queue.
ACCEPT_WAIT_S: Final = 0.05


class HttpServer:
    """Accepts callers and holds their connections."""

    def __init__(
        self,
        handler: Handler,
        count_rejected: Callable[[], None],
    ) -> None:
        """Answer each request by `handler`; count malformed ones."""
        self._handler = handler
        self._count_rejected = count_rejected
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], CallerConnection] = {}
        self._is_stopping = False
        self.answering_count = 0  # requests received and not yet answered

    async def start(self, address: str, port: int) -> None:
        """Listen for callers."""
        self._server = await asyncio.start_server(
            self._accept,
            address,
            port,
            backlog=1024,
        )

    @property
    def port(self) -> int:
        """The port listened on; tells which one if started with port 0."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def stop(self, timeout_s: float) -> None:
        """Answer all callers that have connected, then close the server.

        Closing a listener makes the kernel reset the connections in its queue,
        so the server first accepts those. Each connection closes after its
        current request, or after `LAST_REQUEST_TIMEOUT_S` without a request.
        After `timeout_s` the remaining ones are cut.
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
            # The connection broke; the caller resends the same id.
            return
        finally:
            self._connections.pop(task)
            with suppress(asyncio.CancelledError):
                await close_writer(writer)
