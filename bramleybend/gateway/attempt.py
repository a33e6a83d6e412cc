"""One dispatch of one run to one runner, and how it ended.

What may follow depends on whether the runner can have seen the request.
Before the first byte is written another runner may be tried; after that the
only way on is to resume the same run on the same runner.
"""

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from typing import Final

from bramleybend.clients.framing import Framing
from bramleybend.clients.http import BROKEN, Exchange, HttpResponse, connect
from bramleybend.clients.runner import (
    DONE_EVENT,
    EVENT_END,
    RunBody,
    RunnerAddress,
    Usage,
    cancel_run,
    events_of,
    is_json,
    resume_run,
    send_run,
    usage_in,
    was_refused,
)
from bramleybend.gateway.run import Run
from bramleybend.gateway.slot import Slot
from bramleybend.models import ServiceKind

MAX_RESUMES_WITHOUT_EVENT: Final = 3  # in a row without a new event
RESUME_BACKOFF_S: Final = 0.1


class EndKind(StrEnum):
    """How an attempt ended."""

    WHOLE = 'whole'  # the answer is complete
    NOT_SENT = 'not_sent'  # nothing reached the runner, or it said so
    ANSWERED = 'answered'  # the runner ran it and answered with an error
    TORN = 'torn'  # it ran, the rest of the answer is lost
    UNHEARD = 'unheard'  # it was sent and nothing came back
    STOPPED = 'stopped'  # we stopped it, and the runner said so
    OVERTAKEN = 'overtaken'  # whole, after a second run had answered
    TOO_LARGE = 'too_large'  # the answer outgrew what a home keeps


@dataclass(frozen=True)
class AttemptEnd:
    """An attempt's end, with what was learned on the way."""

    kind: EndKind
    usage: Usage = Usage()
    status: int = HTTPStatus.OK
    crashed: bool = False
    unreachable: bool = False


class Attempt:
    """Sends a run to the runner of its slot and follows the answer."""

    def __init__(
        self,
        run: Run,
        slot: Slot,
        kind: ServiceKind,
        run_id: str,
        prompt_tokens: int,
    ) -> None:
        """Prepare; nothing is sent before `proceed`."""
        host, _, port = slot.endpoint.rpartition(':')
        self._address = RunnerAddress(host, int(port), kind)
        self._run = run
        self._slot = slot
        self._run_id = run_id
        self._prompt_tokens = prompt_tokens
        self._usage = Usage()
        self._received_events = 0
        self._runner_crashed = False
        self.was_sent = False

    async def run(self) -> AttemptEnd:
        """Dispatch and read to the end; never dispatches twice."""
        try:
            exchange = await connect(self._address.host, self._address.port)
        except OSError:
            return AttemptEnd(EndKind.NOT_SENT, unreachable=True)
        if self._run.is_given_up:
            # Cancelling reaches this task a step later than its connection;
            # by then `not_run` is told, and nothing may be sent.
            exchange.close()
            return AttemptEnd(EndKind.NOT_SENT)
        # Set before the first byte: a stop that comes while it is being
        # written must take the run for one that may have begun.
        self.was_sent = True
        self._run.record_send()
        try:
            await send_run(
                exchange,
                self._address.kind,
                RunBody(self._run_id, self._run.req.body),
            )
            return await self._read_answer(exchange)
        finally:
            exchange.close()

    async def stop(self) -> bool:
        """Cancel the run at the runner; true once that is certain."""
        return await cancel_run(self._address, self._run_id)

    async def _read_answer(self, exchange: Exchange) -> AttemptEnd:
        try:
            head = await exchange.head()
        except BROKEN:
            return await self._handle_no_response()
        if was_refused(head, self._address.kind):
            self.was_sent = False
            self._run.record_refusal()
            return AttemptEnd(EndKind.NOT_SENT)
        self._run.content_type = head.headers.get('content-type', '')
        if self._is_streaming and head.status == HTTPStatus.OK:
            return await self._read_stream(exchange)
        return await self._read_body(exchange, head)

    @property
    def _is_streaming(self) -> bool:
        return self._run.req.stream and (
            self._address.kind is ServiceKind.ENGINE
        )

    async def _read_body(
        self, exchange: Exchange, head: HttpResponse
    ) -> AttemptEnd:
        parts: list[bytes] = []
        try:
            async for chunk in exchange.chunks():
                parts.append(chunk)
        except BROKEN:
            return await self._end_broken(EndKind.TORN)
        body = b''.join(parts)
        self._usage = usage_in(body) or Usage()
        if head.status >= HTTPStatus.BAD_REQUEST:
            return AttemptEnd(EndKind.ANSWERED, self._usage, head.status)
        if head.framing is Framing.CONNECTION and not is_json(body):
            # A runner that crashes may close its connection in order.
            return await self._end_broken(EndKind.TORN)
        if self._run.has_answer_data:
            return AttemptEnd(EndKind.OVERTAKEN, self._usage)
        if not self._run.add_chunk(body):
            return AttemptEnd(EndKind.TOO_LARGE, self._usage)
        return AttemptEnd(EndKind.WHOLE, self._usage)

    async def _read_stream(self, exchange: Exchange) -> AttemptEnd:
        end = await self._read_events(exchange)
        failures = 0
        while end is None and failures < MAX_RESUMES_WITHOUT_EVENT:
            failures += 1
            received_before = self._received_events
            await asyncio.sleep(RESUME_BACKOFF_S * failures)
            end = await self._resume_stream()
            if self._received_events > received_before:
                # A long answer over a poor link may be cut many times; only
                # resumes that bring nothing show that the run is lost.
                failures = 0
        return end or await self._end_broken(EndKind.TORN)

    async def _resume_stream(self) -> AttemptEnd | None:
        # The engine replays from the first event we lack, so the caller's
        # answer has neither a gap nor an event twice.
        try:
            exchange = await resume_run(
                self._address,
                self._run_id,
                self._received_events,
            )
        except OSError:
            self._runner_crashed = True
            return None
        try:
            head = await exchange.head()
            if head.status != HTTPStatus.OK:
                # An engine that no longer knows a run it had admitted has
                # been restarted; by now it may look as well as ever.
                self._runner_crashed |= head.status == HTTPStatus.NOT_FOUND
                return None
            return await self._read_events(exchange)
        except BROKEN:
            return None
        finally:
            exchange.close()

    async def _read_events(self, exchange: Exchange) -> AttemptEnd | None:
        try:
            async for event in events_of(exchange):
                self._received_events += 1
                if event == DONE_EVENT:
                    return AttemptEnd(EndKind.WHOLE, self._usage)
                if not await self._add_event(event):
                    return AttemptEnd(EndKind.TOO_LARGE, self._usage)
        except BROKEN:
            return None
        return None

    async def _add_event(self, event: bytes) -> bool:
        usage = usage_in(event)
        if usage is not None:
            self._usage = usage
        is_first = not self._run.has_answer_data
        fits = self._run.add_chunk(event + EVENT_END)
        if is_first:
            await self._slot.report_first_token(self._prompt_tokens)
        return fits

    async def _handle_no_response(self) -> AttemptEnd:
        """Nothing came back: an engine may still tell what became of it."""
        if self._address.kind is not ServiceKind.ENGINE:
            return await self._end_broken(EndKind.UNHEARD)
        if self._is_streaming:
            end = await self._resume_stream()
            if end is not None:
                return end
        return await self._end_broken(EndKind.UNHEARD)

    async def _end_broken(self, end: EndKind) -> AttemptEnd:
        """Tell a crashed runner from a broken connection."""
        if not self._runner_crashed:
            try:
                probe = await connect(self._address.host, self._address.port)
            except OSError:
                self._runner_crashed = True
            else:
                probe.close()
        return AttemptEnd(end, self._usage, crashed=self._runner_crashed)
