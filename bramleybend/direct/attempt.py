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
from bramleybend.direct.dialect import Dialect
from bramleybend.direct.models import RunnerEntry
from bramleybend.direct.runner_limits import RunnerLimits
from bramleybend.direct.sse import Event, EventSplitter

TIMEOUT: Final = 'timeout'
# Answers of earlier requests that are passed over before a connection is
# given up; a runner sends one late or second answer, not a series.
MOST_FOREIGN: Final = 2
# Turns of the event loop: the first one polls the sockets, the second one
# tells a task that its caller left, the third one whoever works for that task.
TURNS_TO_HEAR: Final = 3
# The rest of a refusal is a few bytes that came with its head.
DISCARD_S: Final = 0.1
MOST_DISCARDED: Final = 16_384  # bytes
BROKEN: Final = (OSError, EOFError, h11.ProtocolError)


class Fate(StrEnum):
    """What is certain of a request that got no answer."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'


class Sign(StrEnum):
    """What a try without an answer shows of its runner."""

    NONE = 'none'
    FULL = 'full'  # it turned the request away
    MOVED = 'moved'  # another process answers at its address
    UNREACHABLE = 'unreachable'
    BROKE_OFF = 'broke_off'  # the connection ended before the answer did


@dataclass(frozen=True)
class Failure:
    """Why there is no answer that could be passed on."""

    fate: Fate
    reason: str
    sign: Sign


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
        dialect: Dialect,
        limits: RunnerLimits,
        runner: RunnerEntry,
        attempt_id: str,
    ) -> None:
        """Prepare; nothing is opened yet."""
        self._channels = channels
        self._dialect = dialect
        self._limits = limits
        self._attempt_id = attempt_id
        self._held = channels.memory.hold()
        self._channel: Channel | None = None
        self.runner = runner
        self.sent = False
        self.cut_bytes = 0  # of an event whose end did not come

    @property
    def sign_of_end(self) -> Sign:
        """Tell what an answer that ends now shows of its runner."""
        has_ended = self._channel is not None and self._channel.peer_ended
        return Sign.BROKE_OFF if has_ended else Sign.NONE

    async def begin(
        self, make_outgoing: Callable[[], Outgoing], send_by: float
    ) -> Head | Failure:
        """Send the request and read the head of its answer.

        Nothing is sent after `send_by`, monotonic seconds.
        """
        try:
            channel = await self._open()
        except OSError as exc:
            reason = f'no connection: {exc}'
            return Failure(Fate.NOT_RUN, reason, Sign.UNREACHABLE)
        sent_at = self._limits.now()
        if sent_at >= send_by:
            return Failure(Fate.NOT_RUN, TIMEOUT, Sign.NONE)
        try:
            await self._send(channel, make_outgoing())
            head = await self._own_head(channel)
        except BROKEN as exc:
            return self._broken(exc)
        self._note_limit(head, sent_at)
        return await self._checked(head)

    async def whole(self, head: Head) -> WholeAnswer | Failure:
        """Read the body; the runner's connection is free afterwards."""
        assert self._channel is not None
        try:
            body = await self._channel.body(
                self._channels.bounds.message_bytes, self._held.resize
            )
        except BROKEN as exc:
            return self._broken(exc)
        finally:
            self._held.release()
        self.finish()
        return WholeAnswer(head, body)

    async def events(self, head: Head) -> AsyncGenerator[Event, None]:
        """Yield whole events; raises unless the stream came to its end.

        A runner that crashes may close its connection in order, which looks
        like the end of an answer that has neither a length nor chunks.
        """
        assert self._channel is not None
        splitter = EventSplitter(self._channels.bounds)
        try:
            async for chunk in self._channel.chunks():
                events = splitter.feed(chunk)
                self._held.resize(splitter.rest_bytes)
                for event in events:
                    yield event
        except BROKEN as exc:
            raise BrokenStreamError(str(exc) or type(exc).__name__) from exc
        finally:
            self._held.release()
            self.cut_bytes = splitter.cut_bytes
        _check_end(head, splitter)
        if splitter.rest:
            yield Event('', splitter.rest)

    def finish(self) -> None:
        """Give the connection back after a whole answer."""
        if self._channel is not None:
            self._channels.give_back(self.runner, self._channel)
            self._channel = None

    def cancel(self) -> None:
        """Drop the connection; the runner then drops the request."""
        if self._channel is not None:
            self._channels.drop(self.runner, self._channel)
            self._channel = None

    async def _open(self) -> Channel:
        """Return a connection that stands, and the news of the meantime."""
        self._channel = await self._channels.take(self.runner)
        await _catch_up()
        if not self._channel.usable:
            self.cancel()
            self._channel = await self._channels.take(self.runner)
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
        for _ in range(MOST_FOREIGN):
            head = await channel.head()
            answered = self._dialect.answer_facts(head).attempt_id
            if answered == self._attempt_id or not answered:
                return head
            await channel.body(MOST_DISCARDED)
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
            sign = Sign.MOVED if facts.misdirected else Sign.FULL
            return Failure(Fate.NOT_RUN, reason, sign)
        is_success = head.status < HTTPStatus.MULTIPLE_CHOICES
        owned = facts.attempt_id == self._attempt_id
        if is_success and not (
            facts.proven and owned and self._dialect.is_whole(head)
        ):
            self.cancel()
            reason = 'the answer bears no proof'
            return Failure(Fate.MAY_HAVE_RUN, reason, Sign.NONE)
        return head

    async def _discard(self) -> None:
        """Read an answer that is not passed on, to keep the connection."""
        assert self._channel is not None
        try:
            async with asyncio.timeout(DISCARD_S):
                await self._channel.body(MOST_DISCARDED)
        except BROKEN:
            # The answer's head told all there was to know.
            self.cancel()
            return
        self.finish()

    def _broken(self, exc: Exception) -> Failure:
        sign = self.sign_of_end
        if isinstance(exc, TimeoutError):
            # A reset may concern one connection; bytes that nobody
            # acknowledges tell that the runner itself is cut off.
            sign = Sign.UNREACHABLE
        self.cancel()
        reason = str(exc) or type(exc).__name__
        return Failure(Fate.MAY_HAVE_RUN, reason, sign)


def _check_end(head: Head, splitter: EventSplitter) -> None:
    """Raise if a stream whose bytes have ended is not whole."""
    if splitter.cut_bytes:
        raise BrokenStreamError('it ended inside an event')
    if head.framing is Framing.CONNECTION and not splitter.count:
        raise BrokenStreamError('its connection ended before an event')


async def _catch_up() -> None:
    """Let the event loop take in what has come, a caller's close among it.

    Where the loop is late, a grant may be read before the close that makes
    it void.
    """
    for _ in range(TURNS_TO_HEAR):
        await asyncio.sleep(0)
