"""One request at its home: what is known of its answer so far.

Every caller that sends the same id follows the same run: it reads the kept
events from the start, then new ones as they come. So a resend joins its own
request in flight, and one that comes after the end gets the same answer.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Final

from bramleybend.answers import Answer, Outcome, not_run, unknown
from bramleybend.events import EventLog

# A caller whose connection broke sends the same id again, at once if it is
# well written; work that nobody asks for after this long is wasted.
ABANDON_S: Final = 3.0
FAULT_RETRY_AFTER: Final = timedelta(seconds=1)
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


def settle_on_fault(
    run: 'Run',
    events: EventLog,
    task: asyncio.Task[None],
) -> None:
    """Settle a run whose task broke; a done callback of that task.

    A fault of ours would otherwise leave the caller waiting for an answer
    that nobody is going to give.
    """
    if run.answer is not None:
        return
    if run.dispatched:
        run.finish(unknown('a fault of this VM while it ran'))
    else:
        run.finish(not_run('a fault of this VM', FAULT_RETRY_AFTER))
    fault = None if task.cancelled() else task.exception()
    events.record('fault', run.req.request_id, fault=repr(fault))


class Run:
    """The answer to one request, growing until its outcome is known."""

    def __init__(self, req: RequestBody) -> None:
        """Start with nothing known."""
        self.req = req
        self.content_type = ''
        self.answer: Answer | None = None
        self.given_up = False
        self.on_begun: Callable[[], None] | None = None
        self._sent = 0
        self.torn = False
        self.abandoned = asyncio.Event()
        self._followers = 0
        self._leaving: asyncio.TimerHandle | None = None
        self._answer = bytearray()
        self._changed = asyncio.Event()

    def give_up(self) -> None:
        """Let nothing more be sent for this run."""
        self.given_up = True

    def note_sent(self) -> None:
        """Note that a try is about to send its first byte."""
        self._sent += 1

    def note_refused(self) -> None:
        """Note that a runner says it ran nothing of a try."""
        self._sent -= 1

    @property
    def dispatched(self) -> bool:
        """Whether any try may have reached a runner.

        Counted, since of two tries side by side one may be refused while the
        other runs: the request must not pass for never sent.
        """
        return self._sent > 0

    @property
    def has_begun(self) -> bool:
        """Whether any part of the answer has arrived."""
        return bool(self._answer)

    @property
    def body(self) -> bytes:
        """The answer as far as it has arrived."""
        return bytes(self._answer)

    def add(self, chunk: bytes) -> bool:
        """Keep a part of the answer; false once it grows too large."""
        if self.answer is not None:
            return True  # told already; nobody waits for the rest
        if not self._answer and self.on_begun is not None:
            self.on_begun()
        self._answer += chunk
        self._wake()
        return len(self._answer) <= MAX_KEPT_BYTES

    def finish(self, answer: Answer) -> None:
        """Settle the outcome; the first one stands."""
        # A late end of an old attempt must not overwrite what a caller may
        # have read already, so later calls change nothing.
        if self.answer is None:
            self.answer = answer
            # Kept for as long as the id is, a logbook's prompt would weigh
            # many times its answer; its fingerprint is all a resend needs.
            self.req = replace(self.req, body=b'')
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
            if position < len(self._answer):
                fresh = bytes(self._answer[position:])
                position += len(fresh)
                yield fresh
                continue
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
        return self.req.stream and self.has_begun

    def _wake(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def _wait(self) -> None:
        await self._changed.wait()
