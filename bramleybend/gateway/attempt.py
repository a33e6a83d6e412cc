"""One attempt: sends a run to one runner and reads the answer.

The end of an attempt says whether the runner may have received the request.
As long as no byte was written, the request can go to another runner. After
the first byte, an attempt only resumes the same run on the same runner.
"""

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from typing import Final

from bramleybend.clients.framing import Framing
from bramleybend.clients.http import (
    EXCHANGE_ERRORS,
    Exchange,
    HttpResponse,
    connect,
)
from bramleybend.clients.runner import (
    DONE_EVENT,
    EVENT_END,
    RunnerAddress,
    RunRequest,
    Usage,
    cancel_run,
    is_json,
    is_refusal,
    iter_events,
    parse_usage,
    resume_run,
    send_run,
)
from bramleybend.gateway.run import Run
from bramleybend.gateway.slot import Slot
from bramleybend.models import ServiceKind

MAX_RESUMES_WITHOUT_EVENT: Final = 3  # consecutive
RESUME_BACKOFF_S: Final = 0.1


class EndKind(StrEnum):
    """How an attempt ended."""

    WHOLE = 'whole'  # the answer is complete
    NOT_SENT = 'not_sent'  # no byte was sent, or the runner refused the run
    ANSWERED = 'answered'  # the runner answered with an HTTP error status
    TORN = 'torn'  # the answer broke off and could not be resumed
    UNHEARD = 'unheard'  # the request was sent; no response arrived
    STOPPED = 'stopped'  # cancelled by the gateway, confirmed by the runner
    OVERTAKEN = 'overtaken'  # complete, but another run had answered first
    TOO_LARGE = 'too_large'  # the answer exceeds `run.MAX_KEPT_BYTES`


@dataclass(frozen=True)
class AttemptEnd:
    """How an attempt ended, with its token usage and the runner's state."""

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
        """Prepare the attempt; `run_id` names the run at the runner."""
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
        """Send the run once and read its answer to the end."""
        try:
            exchange = await connect(self._address.host, self._address.port)
        except OSError:
            return AttemptEnd(EndKind.NOT_SENT, unreachable=True)
        if self._run.is_given_up:
            # The connection may open just before the cancellation reaches
            # this task. The caller has been told `not_run` by then, so
            # nothing may be sent.
            exchange.close()
            return AttemptEnd(EndKind.NOT_SENT)
        # Set before the first byte, so that a cancellation during the write
        # treats the run as possibly started.
        self.was_sent = True
        self._run.record_send()
        try:
            await send_run(
                exchange,
                self._address.kind,
                RunRequest(self._run_id, self._run.req.body),
            )
            return await self._read_answer(exchange)
        finally:
            exchange.close()

    async def cancel(self) -> bool:
        """Cancel the run at the runner; return whether it confirmed."""
        return await cancel_run(self._address, self._run_id)

    async def _read_answer(self, exchange: Exchange) -> AttemptEnd:
        try:
            head = await exchange.read_head()
        except EXCHANGE_ERRORS:
            return await self._handle_no_response()
        if is_refusal(head, self._address.kind):
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
            async for chunk in exchange.iter_body():
                parts.append(chunk)
        except EXCHANGE_ERRORS:
            return await self._make_broken_end(EndKind.TORN)
        body = b''.join(parts)
        self._usage = parse_usage(body) or Usage()
        if head.status >= HTTPStatus.BAD_REQUEST:
            return AttemptEnd(EndKind.ANSWERED, self._usage, head.status)
        if head.framing is Framing.CONNECTION and not is_json(body):
            # The answer has no length, and a crashing runner may close its
            # connection cleanly: only complete JSON counts as complete.
            return await self._make_broken_end(EndKind.TORN)
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
                # A long answer over a poor link may break many times. Only
                # consecutive resumes without a new event end the attempt.
                failures = 0
        return end or await self._make_broken_end(EndKind.TORN)

    async def _resume_stream(self) -> AttemptEnd | None:
        # The engine replays from the first missing event, so the answer has
        # no gap and no duplicate event.
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
            head = await exchange.read_head()
            if head.status != HTTPStatus.OK:
                # An engine that does not know a run it had admitted has
                # restarted since, even if it accepts connections again.
                self._runner_crashed |= head.status == HTTPStatus.NOT_FOUND
                return None
            return await self._read_events(exchange)
        except EXCHANGE_ERRORS:
            return None
        finally:
            exchange.close()

    async def _read_events(self, exchange: Exchange) -> AttemptEnd | None:
        try:
            async for event in iter_events(exchange):
                self._received_events += 1
                if event == DONE_EVENT:
                    return AttemptEnd(EndKind.WHOLE, self._usage)
                if not await self._add_event(event):
                    return AttemptEnd(EndKind.TOO_LARGE, self._usage)
        except EXCHANGE_ERRORS:
            return None
        return None

    async def _add_event(self, event: bytes) -> bool:
        usage = parse_usage(event)
        if usage is not None:
            self._usage = usage
        is_first = not self._run.has_answer_data
        fits = self._run.add_chunk(event + EVENT_END)
        if is_first:
            await self._slot.report_first_token(self._prompt_tokens)
        return fits

    async def _handle_no_response(self) -> AttemptEnd:
        """Resume a stream whose response never began, if its engine has it."""
        if self._address.kind is not ServiceKind.ENGINE:
            return await self._make_broken_end(EndKind.UNHEARD)
        if self._is_streaming:
            end = await self._resume_stream()
            if end is not None:
                return end
        return await self._make_broken_end(EndKind.UNHEARD)

    async def _make_broken_end(self, end: EndKind) -> AttemptEnd:
        """Return an end of this kind; connect to see if the runner crashed."""
        if not self._runner_crashed:
            try:
                probe = await connect(self._address.host, self._address.port)
            except OSError:
                self._runner_crashed = True
            else:
                probe.close()
        return AttemptEnd(end, self._usage, crashed=self._runner_crashed)
