"""Sends one answer to a caller."""

from typing import Protocol

import h11

from bramleybend.clients.channel import HeaderList
from bramleybend.direct.replies import Reply


class AnswerWriter(Protocol):
    """The connection on which an answer is sent."""

    def closes_after_answer(self, is_requested: bool) -> bool:
        """Return whether the connection closes after the current answer."""

    def enqueue(self, event: h11.Event) -> None:
        """Serialize an event; `flush` sends it."""

    async def flush(self) -> None:
        """Send what was queued, as fast as the caller reads it."""

    def end_incomplete(self) -> None:
        """Close the connection so that the answer doesn't look complete."""


class Responder:
    """Sends one answer; each request has its own responder."""

    def __init__(self, conn: AnswerWriter) -> None:
        """Create a responder for the next answer on a connection."""
        self._conn = conn
        self.has_begun = False
        self.is_incomplete = False

    async def send_reply(self, reply: Reply) -> None:
        """Send a complete answer."""
        length = str(len(reply.body)).encode()
        headers = [*reply.headers, (b'Content-Length', length)]
        await self._send_head(reply.status, headers, reply.must_close)
        await self._send(h11.Data(data=reply.body), h11.EndOfMessage())

    async def begin_stream(self, status: int, headers: HeaderList) -> None:
        """Send the head of an answer whose body is sent in chunks."""
        framed = [*headers, (b'Transfer-Encoding', b'chunked')]
        await self._send_head(status, framed, must_close=False)

    async def send_chunk(self, payload: bytes) -> None:
        """Send one chunk of the body."""
        await self._send(h11.Data(data=payload))

    async def end_stream(self) -> None:
        """Send the end of the body."""
        await self._send(h11.EndOfMessage())

    def end_incomplete(self) -> None:
        """Close the connection so that the answer doesn't look complete."""
        self.is_incomplete = True
        self._conn.end_incomplete()

    async def _send_head(
        self, status: int, headers: HeaderList, must_close: bool
    ) -> None:
        self.has_begun = True
        closing = (
            [(b'Connection', b'close')]
            if self._conn.closes_after_answer(must_close)
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
