"""Writes one answer to a caller."""

from typing import Protocol

import h11

from bramleybend.clients.channel import HeaderList
from bramleybend.direct.replies import Reply


class AnswerWriter(Protocol):
    """The connection that an answer goes out on."""

    def closes_after_answer(self, wanted: bool) -> bool:
        """Tell whether the connection ends with the answer under way."""

    def enqueue(self, event: h11.Event) -> None:
        """Frame an event; `flush` sends it."""

    async def flush(self) -> None:
        """Send what was framed, at the caller's pace."""

    def end_incomplete(self) -> None:
        """End the connection as it stands."""


class Responder:
    """Writes one answer; owned by the request that it answers."""

    def __init__(self, conn: AnswerWriter) -> None:
        """Answer on a connection."""
        self._conn = conn
        self.has_begun = False
        self.is_incomplete = False

    async def send_reply(self, send_reply: Reply) -> None:
        """Send a whole answer."""
        length = str(len(send_reply.body)).encode()
        headers = [*send_reply.headers, (b'Content-Length', length)]
        await self._head(send_reply.status, headers, send_reply.close)
        await self._send(h11.Data(data=send_reply.body), h11.EndOfMessage())

    async def begin_stream(self, status: int, headers: HeaderList) -> None:
        """Begin an answer whose parts follow."""
        framed = [*headers, (b'Transfer-Encoding', b'chunked')]
        await self._head(status, framed, close=False)

    async def send_chunk(self, payload: bytes) -> None:
        """Send one part."""
        await self._send(h11.Data(data=payload))

    async def end_stream(self) -> None:
        """Tell that the answer is whole."""
        await self._send(h11.EndOfMessage())

    def end_incomplete(self) -> None:
        """End the connection so that the answer doesn't look whole."""
        self.is_incomplete = True
        self._conn.end_incomplete()

    async def _head(
        self, status: int, headers: HeaderList, close: bool
    ) -> None:
        self.has_begun = True
        closing = (
            [(b'Connection', b'close')]
            if self._conn.closes_after_answer(close)
            else []
        )
        response = h11.Response(
            status_code=status, headers=[*headers, *closing]
        )
        self._conn.enqueue(response)

    async def _send(self, *events: h11.Event) -> None:
        for event in events:
            self._conn.enqueue(event)
        await self._conn.flush()
