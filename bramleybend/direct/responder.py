"""Writes one answer to a caller."""

from typing import Protocol

import h11

from bramleybend.clients.channel import HeaderList
from bramleybend.direct.replies import Reply


class AnswerWriter(Protocol):
    """The connection that an answer goes out on."""

    def ends(self, wanted: bool) -> bool:
        """Tell whether the connection ends with the answer under way."""

    def queue(self, event: h11.Event) -> None:
        """Frame an event; `flush` sends it."""

    async def flush(self) -> None:
        """Send what was framed, at the caller's pace."""

    def tear(self) -> None:
        """End the connection as it stands."""


class Responder:
    """Writes one answer; owned by the request that it answers."""

    def __init__(self, conn: AnswerWriter) -> None:
        """Answer on a connection."""
        self._conn = conn
        self.begun = False
        self.torn = False

    async def reply(self, reply: Reply) -> None:
        """Send a whole answer."""
        length = str(len(reply.body)).encode()
        headers = [*reply.headers, (b'Content-Length', length)]
        await self._head(reply.status, headers, reply.close)
        await self._send(h11.Data(data=reply.body), h11.EndOfMessage())

    async def stream(self, status: int, headers: HeaderList) -> None:
        """Begin an answer whose parts follow."""
        framed = [*headers, (b'Transfer-Encoding', b'chunked')]
        await self._head(status, framed, close=False)

    async def part(self, payload: bytes) -> None:
        """Send one part."""
        await self._send(h11.Data(data=payload))

    async def end(self) -> None:
        """Tell that the answer is whole."""
        await self._send(h11.EndOfMessage())

    def tear(self) -> None:
        """End the connection so that the answer doesn't look whole."""
        self.torn = True
        self._conn.tear()

    async def _head(
        self, status: int, headers: HeaderList, close: bool
    ) -> None:
        self.begun = True
        closing = [(b'Connection', b'close')] if self._conn.ends(close) else []
        response = h11.Response(
            status_code=status, headers=[*headers, *closing]
        )
        self._conn.queue(response)

    async def _send(self, *events: h11.Event) -> None:
        for event in events:
            self._conn.queue(event)
        await self._conn.flush()
