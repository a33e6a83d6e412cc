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
ABANDON_AFTER_S: Final = 3.0
FAULT_RETRY_AFTER: Final = timedelta(seconds=1)
MAX_KEPT_BYTES: Final = 4 * 1024 * 1024


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request after the border checks."""

    request_id: str
    workspace: str
    service: str
    profile: str
    deadline: float  # this process's monotonic clock, seconds
    body: bytes
    fingerprint: str
    stream: bool


class IncompleteAnswerError(Exception):
    """The rest of the answer can't be had here; the caller must resend."""


def finish_on_fault(
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
    if run.was_dispatched:
        run.finish(unknown('a fault of this VM while it ran'))
    else:
        run.finish(not_run('a fault of this VM', FAULT_RETRY_AFTER))
    fault = None if task.cancelled() else task.exception()
    events.record('fault', run.req.request_id, fault=repr(fault))


class Run:
    """The answer to one request, growing until its outcome is known."""

    def __init__(self, req: CallerRequest) -> None:
        """Start with nothing known."""
        self.req = req
        self.content_type = ''
        self.answer: Answer | None = None
        self.is_given_up = False
        self.on_first_data: Callable[[], None] | None = None
        self._sent_attempts = 0
        self.is_torn = False
        self.abandoned = asyncio.Event()
        self._followers = 0
        self._abandon_timer: asyncio.TimerHandle | None = None
        self._answer_bytes = bytearray()
        self._changed = asyncio.Event()

    def give_up(self) -> None:
        """Let nothing more be sent for this run."""
        self.is_given_up = True

    def record_send(self) -> None:
        """Note that a try is about to send its first byte."""
        self._sent_attempts += 1

    def record_refusal(self) -> None:
        """Note that a runner says it ran nothing of a try."""
        self._sent_attempts -= 1

    @property
    def was_dispatched(self) -> bool:
        """Whether any try may have reached a runner.

        Counted, since of two tries side by side one may be refused while the
        other runs: the request must not pass for never sent.
        """
        return self._sent_attempts > 0

    @property
    def has_answer_data(self) -> bool:
        """Whether any part of the answer has arrived."""
        return bool(self._answer_bytes)

    @property
    def answer_body(self) -> bytes:
        """The answer as far as it has arrived."""
        return bytes(self._answer_bytes)

    def add_chunk(self, chunk: bytes) -> bool:
        """Keep a part of the answer; false once it grows too large."""
        if self.answer is not None:
            return True  # told already; nobody waits for the rest
        if not self._answer_bytes and self.on_first_data is not None:
            self.on_first_data()
        self._answer_bytes += chunk
        self._notify_followers()
        return len(self._answer_bytes) <= MAX_KEPT_BYTES

    def finish(self, answer: Answer) -> None:
        """Settle the outcome; the first one stands."""
        # A late end of an old attempt must not overwrite what a caller may
        # have read already, so later calls change nothing.
        if self.answer is None:
            self.answer = answer
            # Kept for as long as the id is, a logbook's prompt would weigh
            # many times its answer; its fingerprint is all a resend needs.
            self.req = replace(self.req, body=b'')
            self._notify_followers()

    def mark_torn(self) -> None:
        """Give up on the rest; what was passed on must not look whole."""
        self.is_torn = True
        self._notify_followers()

    @contextmanager
    def track_follower(self) -> Iterator[None]:
        """Count a caller that waits for this run."""
        self._followers += 1
        if self._abandon_timer is not None:
            self._abandon_timer.cancel()
        try:
            yield
        finally:
            self._followers -= 1
            if not self._followers and self.answer is None:
                loop = asyncio.get_running_loop()
                self._abandon_timer = loop.call_later(
                    ABANDON_AFTER_S,
                    self.abandoned.set,
                )

    async def wait_until_started(self) -> None:
        """Wait for the first event of a stream, or for the outcome."""
        while not self._is_streaming and not self._has_ended:
            await self._wait_for_change()

    async def wait_for_outcome(self) -> Answer:
        """Wait for the outcome; raises `TornError` where there is none."""
        while self.answer is None:
            if self.is_torn:
                raise IncompleteAnswerError
            await self._wait_for_change()
        return self.answer

    async def stream_answer(self) -> AsyncIterator[bytes]:
        """Yield the answer from its start until the outcome is known."""
        position = 0
        while True:
            if position < len(self._answer_bytes):
                fresh = bytes(self._answer_bytes[position:])
                position += len(fresh)
                yield fresh
                continue
            if self.answer is not None:
                return
            if self.is_torn:
                raise IncompleteAnswerError
            await self._wait_for_change()

    @property
    def is_complete(self) -> bool:
        """Whether the answer is whole."""
        return self.answer is not None and self.answer.outcome is Outcome.DONE

    @property
    def _has_ended(self) -> bool:
        return self.is_torn or self.answer is not None

    @property
    def _is_streaming(self) -> bool:
        return self.req.stream and self.has_answer_data

    def _notify_followers(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def _wait_for_change(self) -> None:
        await self._changed.wait()
