"""One request at its home: what is known of its answer so far.

Every caller that sends the same id follows the same run: it reads the kept
events from the start, then new ones as they come. So a resend joins its own
request in flight, and one that comes after the end gets the same answer.
"""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Final

from bramleybend.answers import Answer, Outcome

# A caller whose connection broke sends the same id again, at once if it is
# well written; work that nobody asks for after this long is wasted.
ABANDON_S: Final = 3.0
MAX_KEPT_BYTES: Final = 4 * 1024 * 1024


@dataclass(frozen=True)
class RequestBody:
    """A caller's request after the border checks."""

    request_id: str
    workspace: str
    service: str
    profile: str
    deadline: float  # this process's monotonic clock, seconds
    body: bytes
    fingerprint: str
    stream: bool


class TornError(Exception):
    """The rest of the answer can't be had here; the caller must resend."""


class Run:
    """The answer to one request, growing until its outcome is known."""

    def __init__(self, req: RequestBody) -> None:
        """Start with nothing known."""
        self.req = req
        self.content_type = ''
        self.answer: Answer | None = None
        self.dispatched = False
        self.torn = False
        self.abandoned = asyncio.Event()
        self._followers = 0
        self._leaving: asyncio.TimerHandle | None = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._changed = asyncio.Event()

    @property
    def chunk_count(self) -> int:
        """How many events of the answer have arrived."""
        return len(self._chunks)

    @property
    def body(self) -> bytes:
        """The answer as far as it has arrived."""
        return b''.join(self._chunks)

    def add(self, chunk: bytes) -> bool:
        """Keep an event of the answer; false once it grows too large."""
        self._size += len(chunk)
        self._chunks.append(chunk)
        self._wake()
        return self._size <= MAX_KEPT_BYTES

    def finish(self, answer: Answer) -> None:
        """Settle the outcome; the first one stands."""
        # A late end of an old attempt must not overwrite what a caller may
        # have read already, so later calls change nothing.
        if self.answer is None:
            self.answer = answer
            self._wake()

    def tear(self) -> None:
        """Give up on the rest; what was passed on must not look whole."""
        self.torn = True
        self._wake()

    @contextmanager
    def followed(self) -> Iterator[None]:
        """Count a caller that waits for this run."""
        self._followers += 1
        if self._leaving is not None:
            self._leaving.cancel()
        try:
            yield
        finally:
            self._followers -= 1
            if not self._followers and self.answer is None:
                loop = asyncio.get_running_loop()
                self._leaving = loop.call_later(
                    ABANDON_S,
                    self.abandoned.set,
                )

    async def begun(self) -> None:
        """Wait for the first event of a stream, or for the outcome."""
        while not self._streaming and not self._over:
            await self._wait()

    async def settled(self) -> Answer:
        """Wait for the outcome; raises `TornError` where there is none."""
        while self.answer is None:
            if self.torn:
                raise TornError
            await self._wait()
        return self.answer

    async def follow(self) -> AsyncIterator[bytes]:
        """Yield the answer from its start until the outcome is known."""
        position = 0
        while True:
            while position < len(self._chunks):
                yield self._chunks[position]
                position += 1
            if self.answer is not None:
                return
            if self.torn:
                raise TornError
            await self._wait()

    @property
    def is_done(self) -> bool:
        """Whether the answer is whole."""
        return self.answer is not None and self.answer.outcome is Outcome.DONE

    @property
    def _over(self) -> bool:
        return self.torn or self.answer is not None

    @property
    def _streaming(self) -> bool:
        return self.req.stream and bool(self._chunks)

    def _wake(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def _wait(self) -> None:
        await self._changed.wait()
