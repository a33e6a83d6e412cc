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
from bramleybend.gateway.slots import Slot
from bramleybend.models import ServiceKind

MAX_RESUMES: Final = 3  # in a row without a new event
RESUME_PAUSE_S: Final = 0.1


class End(StrEnum):
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

    end: End
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
        self._received = 0
        self._crashed = False
        self.sent = False

    async def proceed(self) -> AttemptEnd:
        """Dispatch and read to the end; never dispatches twice."""
        try:
            exchange = await connect(self._address.host, self._address.port)
        except OSError:
            return AttemptEnd(End.NOT_SENT, unreachable=True)
        if self._run.given_up:
            # Cancelling reaches this task a step later than its connection;
            # by then `not_run` is told, and nothing may be sent.
            exchange.close()
            return AttemptEnd(End.NOT_SENT)
        # Set before the first byte: a stop that comes while it is being
        # written must take the run for one that may have begun.
        self.sent = True
        self._run.note_sent()
        try:
            await send_run(
                exchange,
                self._address.kind,
                RunBody(self._run_id, self._run.req.body),
            )
            return await self._answer(exchange)
        finally:
            exchange.close()

    async def stop(self) -> bool:
        """Cancel the run at the runner; true once that is certain."""
        return await cancel_run(self._address, self._run_id)

    async def _answer(self, exchange: Exchange) -> AttemptEnd:
        try:
            head = await exchange.head()
        except BROKEN:
            return await self._unheard()
        if was_refused(head, self._address.kind):
            self.sent = False
            self._run.note_refused()
            return AttemptEnd(End.NOT_SENT)
        self._run.content_type = head.headers.get('content-type', '')
        if self._streams and head.status == HTTPStatus.OK:
            return await self._stream(exchange)
        return await self._body(exchange, head)

    @property
    def _streams(self) -> bool:
        return self._run.req.stream and (
            self._address.kind is ServiceKind.ENGINE
        )

    async def _body(self, exchange: Exchange, head: HttpResponse) -> AttemptEnd:
        parts: list[bytes] = []
        try:
            async for chunk in exchange.chunks():
                parts.append(chunk)
        except BROKEN:
            return await self._broken(End.TORN)
        body = b''.join(parts)
        self._usage = usage_in(body) or Usage()
        if head.status >= HTTPStatus.BAD_REQUEST:
            return AttemptEnd(End.ANSWERED, self._usage, head.status)
        if head.framing is Framing.CONNECTION and not is_json(body):
            # A runner that crashes may close its connection in order.
            return await self._broken(End.TORN)
        if self._run.has_begun:
            return AttemptEnd(End.OVERTAKEN, self._usage)
        if not self._run.add(body):
            return AttemptEnd(End.TOO_LARGE, self._usage)
        return AttemptEnd(End.WHOLE, self._usage)

    async def _stream(self, exchange: Exchange) -> AttemptEnd:
        end = await self._events(exchange)
        failures = 0
        while end is None and failures < MAX_RESUMES:
            failures += 1
            before = self._received
            await asyncio.sleep(RESUME_PAUSE_S * failures)
            end = await self._resumed()
            if self._received > before:
                # A long answer over a poor link may be cut many times; only
                # resumes that bring nothing show that the run is lost.
                failures = 0
        return end or await self._broken(End.TORN)

    async def _resumed(self) -> AttemptEnd | None:
        # The engine replays from the first event we lack, so the caller's
        # answer has neither a gap nor an event twice.
        try:
            exchange = await resume_run(
                self._address,
                self._run_id,
                self._received,
            )
        except OSError:
            self._crashed = True
            return None
        try:
            head = await exchange.head()
            if head.status != HTTPStatus.OK:
                # An engine that no longer knows a run it had admitted has
                # been restarted; by now it may look as well as ever.
                self._crashed |= head.status == HTTPStatus.NOT_FOUND
                return None
            return await self._events(exchange)
        except BROKEN:
            return None
        finally:
            exchange.close()

    async def _events(self, exchange: Exchange) -> AttemptEnd | None:
        try:
            async for event in events_of(exchange):
                self._received += 1
                if event == DONE_EVENT:
                    return AttemptEnd(End.WHOLE, self._usage)
                if not await self._take(event):
                    return AttemptEnd(End.TOO_LARGE, self._usage)
        except BROKEN:
            return None
        return None

    async def _take(self, event: bytes) -> bool:
        usage = usage_in(event)
        if usage is not None:
            self._usage = usage
        first = not self._run.has_begun
        fits = self._run.add(event + EVENT_END)
        if first:
            await self._slot.first_token(self._prompt_tokens)
        return fits

    async def _unheard(self) -> AttemptEnd:
        """Nothing came back: an engine may still tell what became of it."""
        if self._address.kind is not ServiceKind.ENGINE:
            return await self._broken(End.UNHEARD)
        if self._streams:
            end = await self._resumed()
            if end is not None:
                return end
        return await self._broken(End.UNHEARD)

    async def _broken(self, end: End) -> AttemptEnd:
        """Tell a crashed runner from a broken connection."""
        if not self._crashed:
            try:
                probe = await connect(self._address.host, self._address.port)
            except OSError:
                self._crashed = True
            else:
                probe.close()
        return AttemptEnd(end, self._usage, crashed=self._crashed)
