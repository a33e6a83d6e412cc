"""Sends one request to one runner and classifies how it ended."""

import asyncio
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from typing import Final

import h11

from bramleybend.clients.channel import Channel, OutgoingRequest, ResponseHead
from bramleybend.clients.framing import Framing
from bramleybend.direct.channels import RunnerChannels
from bramleybend.direct.header_codec import HeaderCodec
from bramleybend.direct.models import RunnerEntry
from bramleybend.direct.runner_connector import PathLostError
from bramleybend.direct.runner_limits import RunnerLimits
from bramleybend.direct.sse import Event, EventSplitter

TIMEOUT: Final = 'timeout'
# Answers to other requests that are skipped before the connection is dropped. A
# runner sends at most one late or duplicate answer, not a series of them.
MAX_FOREIGN_ANSWERS: Final = 2
# Turns of the event loop until a caller's disconnect has cancelled its request:
# the first turn polls the sockets, the second runs the task that serves the
# caller, and the third runs the task that it waits for.
LOOP_TURNS_TO_CATCH_UP: Final = 3
# The body of a refusal is a few bytes that arrive with its head.
DISCARD_TIMEOUT_S: Final = 0.1
MAX_DISCARDED_BYTES: Final = 16_384
CONNECTION_ERRORS: Final = (OSError, EOFError, h11.ProtocolError)


class RunStatus(StrEnum):
    """Whether a request that got no answer may have been run."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'


class FailureCause(StrEnum):
    """What a failed attempt tells about its runner."""

    NONE = 'none'
    FULL = 'full'  # the runner refused the request
    MOVED = 'moved'  # another process listens at the runner's address
    UNREACHABLE = 'unreachable'
    PATH_LOST = 'path_lost'  # this VM doesn't reach it; others may
    OUTDATED = 'outdated'  # the placement no longer holds
    CONNECTION_CLOSED = 'broke_off'  # before the answer was complete


@dataclass(frozen=True)
class Failure:
    """Why an attempt has no answer that can be relayed."""

    run_status: RunStatus
    reason: str
    cause: FailureCause


@dataclass(frozen=True)
class WholeAnswer:
    """A complete answer of a runner."""

    head: ResponseHead
    body: bytes


class BrokenStreamError(Exception):
    """A stream ended before it was complete."""


class Attempt:
    """One request at one runner; owns the connection that it uses."""

    def __init__(
        self,
        channels: RunnerChannels,
        header_codec: HeaderCodec,
        limits: RunnerLimits,
        runner: RunnerEntry,
        attempt_id: str,
    ) -> None:
        """Create an attempt; `send` opens the connection."""
        self._channels = channels
        self._header_codec = header_codec
        self._limits = limits
        self._attempt_id = attempt_id
        self._memory = channels.memory.reserve()
        self._channel: Channel | None = None
        self.runner = runner
        self.is_sent = False
        self.cut_bytes = 0  # received of an incomplete last event

    @property
    def cause_of_end(self) -> FailureCause:
        """Return the failure cause if the answer ends at this point."""
        if self._channel is None:
            return FailureCause.NONE
        if self._channel.is_path_lost:
            return FailureCause.PATH_LOST
        if self._channel.has_peer_ended:
            return FailureCause.CONNECTION_CLOSED
        return FailureCause.NONE

    async def send(
        self,
        make_outgoing: Callable[[], OutgoingRequest | Failure],
        send_by: float,
    ) -> ResponseHead | Failure:
        """Send the request and read the head of its answer.

        Nothing is sent at or after `send_by`, in monotonic seconds, or if
        `make_outgoing` returns a failure.
        """
        try:
            channel = await self._open_connection()
        except PathLostError as exc:
            reason = f'no connection: {exc}'
            return Failure(RunStatus.NOT_RUN, reason, FailureCause.PATH_LOST)
        except OSError as exc:
            reason = f'no connection: {exc}'
            return Failure(RunStatus.NOT_RUN, reason, FailureCause.UNREACHABLE)
        sent_at = self._limits.now()
        if sent_at >= send_by:
            return Failure(RunStatus.NOT_RUN, TIMEOUT, FailureCause.NONE)
        outgoing = make_outgoing()
        if isinstance(outgoing, Failure):
            return outgoing
        try:
            await self._send(channel, outgoing)
            head = await self._read_own_head(channel)
        except CONNECTION_ERRORS as exc:
            return self._connection_failure(exc)
        self._channels.connector.note_heard(self.runner)
        self._record_limit(head, sent_at)
        return await self._check_head(head)

    async def read_whole(self, head: ResponseHead) -> WholeAnswer | Failure:
        """Read the whole body and release the runner's connection."""
        assert self._channel is not None
        try:
            body = await self._channel.read_body(
                self._channels.bounds.message_bytes, self._memory.resize
            )
        except CONNECTION_ERRORS as exc:
            return self._connection_failure(exc)
        finally:
            self._memory.release()
        self.release_connection()
        return WholeAnswer(head, body)

    async def read_events(
        self, head: ResponseHead
    ) -> AsyncGenerator[Event, None]:
        """Yield complete events.

        Raises `BrokenStreamError` if the stream is incomplete. A runner that
        crashes may close its connection in an orderly way, which looks like the
        end of an answer that has neither a length nor chunks.
        """
        assert self._channel is not None
        splitter = EventSplitter(self._channels.bounds)
        try:
            async for chunk in self._channel.iter_body():
                self._channels.connector.note_heard(self.runner)
                read_events = splitter.feed(chunk)
                self._memory.resize(splitter.remainder_bytes)
                for event in read_events:
                    yield event
        except CONNECTION_ERRORS as exc:
            raise BrokenStreamError(str(exc) or type(exc).__name__) from exc
        finally:
            self._memory.release()
            self.cut_bytes = splitter.cut_bytes
        _check_stream_end(head, splitter)
        if splitter.remainder:
            yield Event('', splitter.remainder)

    def release_connection(self) -> None:
        """Release the connection for reuse after a complete answer."""
        if self._channel is not None:
            self._channels.release(self.runner, self._channel)
            self._channel = None

    def drop_connection(self) -> None:
        """Drop the connection, which makes the runner abort the request."""
        if self._channel is not None:
            self._channels.drop(self.runner, self._channel)
            self._channel = None

    async def _open_connection(self) -> Channel:
        """Return an open connection, after pending events were processed."""
        self._channel = await self._channels.acquire(self.runner)
        await _run_pending_callbacks()
        if not self._channel.is_usable:
            self.drop_connection()
            self._channel = await self._channels.acquire(self.runner)
        return self._channel

    async def _send(self, channel: Channel, outgoing: OutgoingRequest) -> None:
        self.is_sent = True
        await channel.send(outgoing)

    async def _read_own_head(self, channel: Channel) -> ResponseHead:
        """Read the head of the answer to this request.

        A runner's late or duplicate answer to an earlier request arrives where
        this answer is expected and would reach the wrong caller. Runners echo
        the attempt id, which identifies such an answer; it is skipped.
        """
        for _ in range(MAX_FOREIGN_ANSWERS):
            head = await channel.read_head()
            answered_id = self._header_codec.answer_facts(head).attempt_id
            if answered_id == self._attempt_id or not answered_id:
                return head
            await channel.read_body(MAX_DISCARDED_BYTES)
            channel.prepare_next_response()
        raise EOFError('the runner answers other requests in place of ours')

    def _record_limit(self, head: ResponseHead, sent_at: float) -> None:
        facts = self._header_codec.answer_facts(head)
        if facts.attempt_id == self._attempt_id and facts.limit is not None:
            runner = self.runner.incarnation
            self._limits.update_from_answer(runner, facts.limit, sent_at)

    async def _check_head(self, head: ResponseHead) -> ResponseHead | Failure:
        facts = self._header_codec.answer_facts(head)
        if facts.not_run:
            await self._discard_body()
            reason = f'the runner answered {head.status}'
            sign = (
                FailureCause.MOVED
                if facts.is_misdirected
                else FailureCause.FULL
            )
            return Failure(RunStatus.NOT_RUN, reason, sign)
        is_success = head.status < HTTPStatus.MULTIPLE_CHOICES
        is_own = facts.attempt_id == self._attempt_id
        if is_success and not (
            facts.has_proof and is_own and self._header_codec.is_whole(head)
        ):
            self.drop_connection()
            reason = 'the answer bears no proof'
            return Failure(RunStatus.MAY_HAVE_RUN, reason, FailureCause.NONE)
        return head

    async def _discard_body(self) -> None:
        """Read the body of a refusal so that the connection can be reused."""
        assert self._channel is not None
        try:
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                await self._channel.read_body(MAX_DISCARDED_BYTES)
        except CONNECTION_ERRORS:
            # The head already told that the request was not run.
            self.drop_connection()
            return
        self.release_connection()

    def _connection_failure(self, exc: Exception) -> Failure:
        sign = self.cause_of_end
        if isinstance(exc, TimeoutError):
            # The sent bytes were not acknowledged, so either the runner or this
            # VM is cut off.
            sign = (
                FailureCause.UNREACHABLE
                if self._channels.note_silent(self.runner)
                else FailureCause.PATH_LOST
            )
        self.drop_connection()
        reason = str(exc) or type(exc).__name__
        return Failure(RunStatus.MAY_HAVE_RUN, reason, sign)


def _check_stream_end(head: ResponseHead, splitter: EventSplitter) -> None:
    """Raise `BrokenStreamError` if the stream ended incomplete."""
    if splitter.cut_bytes:
        raise BrokenStreamError('it ended inside an event')
    if head.framing is Framing.CONNECTION and not splitter.event_count:
        raise BrokenStreamError('its connection ended before an event')


async def _run_pending_callbacks() -> None:
    """Let the event loop process pending events, such as a disconnect.

    If the loop is late, a task may read the grant of a slot before it learns
    that its caller has disconnected.
    """
    for _ in range(LOOP_TURNS_TO_CATCH_UP):
        await asyncio.sleep(0)
