"""A run: one caller's request with the answer received so far.

All callers that send the same request id share one run. Each reads the stored
answer from its start and then new parts as they arrive. A resend therefore
joins the request in flight, or gets the same answer after its end.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Final

from bramleybend.answers import Answer, Outcome, answer_not_run, answer_unknown
from bramleybend.events import EventLog

# A well-written caller resends the same id at once when its connection breaks.
# A run that had no caller for this long is abandoned as wasted work.
ABANDON_AFTER_S: Final = 3.0
FAULT_RETRY_AFTER: Final = timedelta(seconds=1)
MAX_KEPT_BYTES: Final = 4 * 1024 * 1024


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request whose headers have been parsed."""

    request_id: str
    workspace: str
    service: str
    profile: str
    deadline: float  # this process's monotonic clock, seconds
    body: bytes
    fingerprint: str
    stream: bool


class IncompleteAnswerError(Exception):
    """The rest of the answer is not available here; the caller must resend."""


def finish_on_fault(
    run: 'Run',
    events: EventLog,
    task: asyncio.Task[None],
) -> None:
    """Finish a run whose task failed; used as done callback of that task.

    Without it, a bug in the gateway would leave the caller waiting for an
    answer that never comes.
    """
    if run.answer is not None:
        return
    if run.was_dispatched:
        run.finish(answer_unknown('a fault of this VM while it ran'))
    else:
        run.finish(answer_not_run('a fault of this VM', FAULT_RETRY_AFTER))
    fault = None if task.cancelled() else task.exception()
    events.record('fault', run.req.request_id, fault=repr(fault))


class Run:
    """The answer to one request, which grows until its outcome is known.

    `on_first_data` is called when the first part of the answer arrives.
    """

    def __init__(self, req: CallerRequest) -> None:
        """Start without an answer."""
        self.req = req
        self.content_type = ''
        self.answer: Answer | None = None
        self.is_given_up = False
        self.on_first_data: Callable[[], None] | None = None
        self._sent_attempts = 0
        self.is_incomplete = False
        self.abandoned = asyncio.Event()
        self._followers = 0
        self._abandon_timer: asyncio.TimerHandle | None = None
        self._answer_bytes = bytearray()
        self._changed = asyncio.Event()

    def give_up(self) -> None:
        """Forbid attempts that have not sent anything from sending."""
        self.is_given_up = True

    def record_send(self) -> None:
        """Count an attempt that is about to send its first byte."""
        self._sent_attempts += 1

    def record_refusal(self) -> None:
        """Discount an attempt that its runner refused without running it."""
        self._sent_attempts -= 1

    @property
    def was_dispatched(self) -> bool:
        """Whether any attempt may have reached a runner.

        This is a count rather than a flag: of two concurrent attempts one may
        be refused while the other runs, and the request was sent then.
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
        """Store a part of the answer; return whether it is within the limit."""
        if self.answer is not None:
            return True  # the outcome is final; the rest is dropped
        if not self._answer_bytes and self.on_first_data is not None:
            self.on_first_data()
        self._answer_bytes += chunk
        self._notify_followers()
        return len(self._answer_bytes) <= MAX_KEPT_BYTES

    def finish(self, answer: Answer) -> None:
        """Set the outcome; calls after the first change nothing."""
        # A caller may have read the first outcome, so the late end of an
        # earlier attempt must not replace it.
        if self.answer is None:
            self.answer = answer
            # The run is kept as long as its id. A large prompt (a logbook)
            # takes many times the memory of its answer, and a resend is
            # compared by fingerprint only.
            self.req = replace(self.req, body=b'')
            self._notify_followers()

    def mark_incomplete(self) -> None:
        """Mark the rest as lost; callers must not take the answer as whole."""
        self.is_incomplete = True
        self._notify_followers()

    @contextmanager
    def track_follower(self) -> Iterator[None]:
        """Count a waiting caller; abandon the run some time after the last."""
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
        """Wait for the first data of a stream, or until the run has ended."""
        while not self._is_streaming and not self._has_ended:
            await self._wait_for_change()

    async def wait_for_outcome(self) -> Answer:
        """Wait for the outcome; raise `IncompleteAnswerError` if it is lost."""
        while self.answer is None:
            if self.is_incomplete:
                raise IncompleteAnswerError
            await self._wait_for_change()
        return self.answer

    async def stream_answer(self) -> AsyncIterator[bytes]:
        """Yield the answer from its start until the outcome is known.

        Raises `IncompleteAnswerError` if the rest is lost.
        """
        position = 0
        while True:
            if position < len(self._answer_bytes):
                chunk = bytes(self._answer_bytes[position:])
                position += len(chunk)
                yield chunk
                continue
            if self.answer is not None:
                return
            if self.is_incomplete:
                raise IncompleteAnswerError
            await self._wait_for_change()

    @property
    def is_complete(self) -> bool:
        """Whether the outcome is `done`, so the answer is complete."""
        return self.answer is not None and self.answer.outcome is Outcome.DONE

    @property
    def _has_ended(self) -> bool:
        return self.is_incomplete or self.answer is not None

    @property
    def _is_streaming(self) -> bool:
        return self.req.stream and self.has_answer_data

    def _notify_followers(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def _wait_for_change(self) -> None:
        await self._changed.wait()
