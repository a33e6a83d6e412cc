"""One request at one runner, and what is certain of it afterwards."""

import asyncio
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from typing import Final

import h11

from bramleybend.clients.channel import Channel, Head, Outgoing
from bramleybend.clients.framing import Framing
from bramleybend.direct.channels import RunnerChannels
from bramleybend.direct.dialect import HeaderCodec
from bramleybend.direct.models import RunnerEntry
from bramleybend.direct.runner_limits import RunnerLimits
from bramleybend.direct.sse import Event, EventSplitter

TIMEOUT: Final = 'timeout'
# Answers of earlier requests that are passed over before a connection is
# given up; a runner sends one late or second answer, not a series.
MAX_FOREIGN_ANSWERS: Final = 2
# Turns of the event loop: the first one polls the sockets, the second one
# tells a task that its caller left, the third one whoever works for that task.
LOOP_TURNS_TO_CATCH_UP: Final = 3
# The rest of a refusal is a few bytes that came with its head.
DISCARD_TIMEOUT_S: Final = 0.1
MAX_DISCARDED_BYTES: Final = 16_384  # bytes
CONNECTION_ERRORS: Final = (OSError, EOFError, h11.ProtocolError)


class RunStatus(StrEnum):
    """What is certain of a request that got no answer."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'


class FailureCause(StrEnum):
    """What a try without an answer shows of its runner."""

    NONE = 'none'
    FULL = 'full'  # it turned the request away
    MOVED = 'moved'  # another process answers at its address
    UNREACHABLE = 'unreachable'
    CONNECTION_CLOSED = (
        'broke_off'  # the connection ended before the answer did
    )


@dataclass(frozen=True)
class Failure:
    """Why there is no answer that could be passed on."""

    run_status: RunStatus
    reason: str
    cause: FailureCause


@dataclass(frozen=True)
class WholeAnswer:
    """An answer of a runner, complete."""

    head: Head
    body: bytes


class BrokenStreamError(Exception):
    """A stream ended before its end."""


class Attempt:
    """Owns the connection of one request at one runner."""

    def __init__(
        self,
        channels: RunnerChannels,
        dialect: HeaderCodec,
        limits: RunnerLimits,
        runner: RunnerEntry,
        attempt_id: str,
    ) -> None:
        """Prepare; nothing is opened yet."""
        self._channels = channels
        self._dialect = dialect
        self._limits = limits
        self._attempt_id = attempt_id
        self._held = channels.memory.reserve()
        self._channel: Channel | None = None
        self.runner = runner
        self.sent = False
        self.cut_bytes = 0  # of an event whose end did not come

    @property
    def cause_of_end(self) -> FailureCause:
        """Tell what an answer that ends now shows of its runner."""
        has_ended = self._channel is not None and self._channel.peer_ended
        return (
            FailureCause.CONNECTION_CLOSED if has_ended else FailureCause.NONE
        )

    async def send(
        self, make_outgoing: Callable[[], Outgoing], send_by: float
    ) -> Head | Failure:
        """Send the request and read the head of its answer.

        Nothing is sent after `send_by`, monotonic seconds.
        """
        try:
            channel = await self._open()
        except OSError as exc:
            reason = f'no connection: {exc}'
            return Failure(RunStatus.NOT_RUN, reason, FailureCause.UNREACHABLE)
        sent_at = self._limits.now()
        if sent_at >= send_by:
            return Failure(RunStatus.NOT_RUN, TIMEOUT, FailureCause.NONE)
        try:
            await self._send(channel, make_outgoing())
            head = await self._own_head(channel)
        except CONNECTION_ERRORS as exc:
            return self._broken(exc)
        self._note_limit(head, sent_at)
        return await self._checked(head)

    async def read_whole(self, head: Head) -> WholeAnswer | Failure:
        """Read the body; the runner's connection is free afterwards."""
        assert self._channel is not None
        try:
            body = await self._channel.body(
                self._channels.bounds.message_bytes, self._held.resize
            )
        except CONNECTION_ERRORS as exc:
            return self._broken(exc)
        finally:
            self._held.release()
        self.release_connection()
        return WholeAnswer(head, body)

    async def read_events(self, head: Head) -> AsyncGenerator[Event, None]:
        """Yield whole events; raises unless the stream came to its end.

        A runner that crashes may close its connection in order, which looks
        like the end of an answer that has neither a length nor chunks.
        """
        assert self._channel is not None
        splitter = EventSplitter(self._channels.bounds)
        try:
            async for chunk in self._channel.chunks():
                read_events = splitter.feed(chunk)
                self._held.resize(splitter.remainder_bytes)
                for event in read_events:
                    yield event
        except CONNECTION_ERRORS as exc:
            raise BrokenStreamError(str(exc) or type(exc).__name__) from exc
        finally:
            self._held.release()
            self.cut_bytes = splitter.cut_bytes
        _check_end(head, splitter)
        if splitter.remainder:
            yield Event('', splitter.remainder)

    def release_connection(self) -> None:
        """Give the connection back after a whole answer."""
        if self._channel is not None:
            self._channels.release(self.runner, self._channel)
            self._channel = None

    def drop_connection(self) -> None:
        """Drop the connection; the runner then drops the request."""
        if self._channel is not None:
            self._channels.drop(self.runner, self._channel)
            self._channel = None

    async def _open(self) -> Channel:
        """Return a connection that stands, and the news of the meantime."""
        self._channel = await self._channels.acquire(self.runner)
        await _catch_up()
        if not self._channel.usable:
            self.drop_connection()
            self._channel = await self._channels.acquire(self.runner)
        return self._channel

    async def _send(self, channel: Channel, outgoing: Outgoing) -> None:
        self.sent = True
        await channel.send(outgoing)

    async def _own_head(self, channel: Channel) -> Head:
        """Read the head of our answer, past those of other requests.

        A runner's late or second answer to an earlier request comes where
        ours is expected. It would reach the wrong caller; the id that
        runners echo tells the two apart.
        """
        for _ in range(MAX_FOREIGN_ANSWERS):
            head = await channel.head()
            answered = self._dialect.answer_facts(head).attempt_id
            if answered == self._attempt_id or not answered:
                return head
            await channel.body(MAX_DISCARDED_BYTES)
            channel.expect_another()
        raise EOFError('the runner answers other requests in place of ours')

    def _note_limit(self, head: Head, sent_at: float) -> None:
        facts = self._dialect.answer_facts(head)
        if facts.attempt_id == self._attempt_id and facts.limit is not None:
            runner = self.runner.incarnation
            self._limits.answered(runner, facts.limit, sent_at)

    async def _checked(self, head: Head) -> Head | Failure:
        facts = self._dialect.answer_facts(head)
        if facts.not_run:
            await self._discard()
            reason = f'the runner answered {head.status}'
            sign = (
                FailureCause.MOVED
                if facts.is_misdirected
                else FailureCause.FULL
            )
            return Failure(RunStatus.NOT_RUN, reason, sign)
        is_success = head.status < HTTPStatus.MULTIPLE_CHOICES
        owned = facts.attempt_id == self._attempt_id
        if is_success and not (
            facts.has_proof and owned and self._dialect.is_whole(head)
        ):
            self.drop_connection()
            reason = 'the answer bears no proof'
            return Failure(RunStatus.MAY_HAVE_RUN, reason, FailureCause.NONE)
        return head

    async def _discard(self) -> None:
        """Read an answer that is not passed on, to keep the connection."""
        assert self._channel is not None
        try:
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                await self._channel.body(MAX_DISCARDED_BYTES)
        except CONNECTION_ERRORS:
            # The answer's head told all there was to know.
            self.drop_connection()
            return
        self.release_connection()

    def _broken(self, exc: Exception) -> Failure:
        sign = self.cause_of_end
        if isinstance(exc, TimeoutError):
            # A reset may concern one connection; bytes that nobody
            # acknowledges tell that the runner itself is cut off.
            sign = FailureCause.UNREACHABLE
        self.drop_connection()
        reason = str(exc) or type(exc).__name__
        return Failure(RunStatus.MAY_HAVE_RUN, reason, sign)


def _check_end(head: Head, splitter: EventSplitter) -> None:
    """Raise if a stream whose bytes have ended is not whole."""
    if splitter.cut_bytes:
        raise BrokenStreamError('it ended inside an event')
    if head.framing is Framing.CONNECTION and not splitter.event_count:
        raise BrokenStreamError('its connection ended before an event')


async def _catch_up() -> None:
    """Let the event loop take in what has come, a caller's close among it.

    Where the loop is late, a grant may be read before the close that makes
    it void.
    """
    for _ in range(LOOP_TURNS_TO_CATCH_UP):
        await asyncio.sleep(0)
