"""Relays a runner's event stream to a caller."""

from contextlib import aclosing
from http import HTTPStatus
from typing import Final

from bramleybend.clients.channel import ResponseHead
from bramleybend.clock import Clock
from bramleybend.direct.attempt import (
    Attempt,
    BrokenStreamError,
    Failure,
    FailureCause,
    RunStatus,
)
from bramleybend.direct.header_codec import HeaderCodec
from bramleybend.direct.job import Job
from bramleybend.direct.placement import Placement, Placer
from bramleybend.direct.replies import Reply
from bramleybend.direct.responder import Responder
from bramleybend.direct.software_versions import SoftwareVersions
from bramleybend.direct.sse import Event

EVENT_STREAM_TYPE: Final = 'text/event-stream'


class StreamRelay:
    """Relays one run; a job that is retried gets a new relay."""

    def __init__(
        self,
        job: Job,
        responder: Responder,
        header_codec: HeaderCodec,
        placer: Placer,
        versions: SoftwareVersions,
        placement: Placement,
        clock: Clock,
    ) -> None:
        """Create a relay to a responder."""
        self._versions = versions
        self._job = job
        self._responder = responder
        self._header_codec = header_codec
        self._placer = placer
        self._placement = placement
        self._clock = clock
        self.event_count = 0  # received from the runner

    async def run(self, attempt: Attempt, head: ResponseHead) -> Failure | None:
        """Relay to the end; return `None` if the caller got a full answer."""
        self._job.framing = head.framing
        if _is_failure(head) or not _is_event_stream(head):
            return await self._relay_buffered(attempt, head)
        try:
            async with aclosing(attempt.read_events(head)) as events:
                async for event in events:
                    await self._relay_event(head, event)
        except BrokenStreamError as exc:
            reason = f'the stream broke: {exc}'
            return Failure(RunStatus.MAY_HAVE_RUN, reason, attempt.cause_of_end)
        finally:
            self._job.cut_bytes = attempt.cut_bytes
        attempt.release_connection()
        if not self._responder.has_begun:
            await self._begin_answer(head)
        await self._responder.end_stream()
        return None

    async def _relay_buffered(
        self, attempt: Attempt, head: ResponseHead
    ) -> Failure | None:
        """Relay a runner's error answer, or a single document, unchanged."""
        answer = await attempt.read_whole(head)
        if isinstance(answer, Failure):
            return answer
        if self._responder.has_begun:
            reason = f'the runner answered {head.status}'
            return Failure(RunStatus.MAY_HAVE_RUN, reason, FailureCause.NONE)
        if _is_failure(head):
            self._job.runner_error_status = head.status
        headers = self._header_codec.caller_headers(head)
        await self._responder.send_reply(
            Reply(head.status, headers, answer.body)
        )
        return None

    async def _relay_event(self, head: ResponseHead, event: Event) -> None:
        if not self.event_count:
            self._placer.note_first_token(self._placement)
            if self._job.first_event_at is None:
                self._job.first_event_at = self._clock.monotonic()
        self.event_count += 1
        if self._job.version is None:
            self._job.version = self._versions.version_of(
                self._placement.runner
            )
        # The head is sent with the first event: until then a failure can still
        # be answered with its own status, or the request can be retried.
        if not self._responder.has_begun:
            await self._begin_answer(head)
        self._job.last_event_at = self._clock.monotonic()
        if is_repeat(event.event_id, self._job.last_event_id):
            return
        await self._responder.send_chunk(event.raw)
        self._job.last_event_id = event.event_id or self._job.last_event_id

    async def _begin_answer(self, head: ResponseHead) -> None:
        headers = self._header_codec.caller_headers(head)
        await self._responder.begin_stream(head.status, headers)


def _is_failure(head: ResponseHead) -> bool:
    return head.status >= HTTPStatus.MULTIPLE_CHOICES


def _is_event_stream(head: ResponseHead) -> bool:
    stated = head.get('content-type')
    return stated is None or stated.lower().startswith(EVENT_STREAM_TYPE)


def is_repeat(event_id: str, last_event_id: str) -> bool:
    """Return whether the caller has already received an event."""
    if not (event_id.isdecimal() and last_event_id.isdecimal()):
        return False
    return int(event_id) <= int(last_event_id)
