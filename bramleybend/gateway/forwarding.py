"""Requests that came to another VM than their home.

They are passed on to the home over gRPC, and the answer comes back as it
grows. Only when the home is gone is its journal asked.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from typing import Final

import grpc

from bramleybend.answers import Answer, Outcome
from bramleybend.clock import Clock
from bramleybend.events import EventLog
from bramleybend.gateway.border import fingerprint_of, wants_stream
from bramleybend.gateway.lost_home import LostHomes
from bramleybend.gateway.run import RequestBody, Run, TornError
from bramleybend.state.tickets import RequestId
from bramleybend.wire.bramleybend_pb2 import (
    ForwardHead,
    ForwardReply,
    ForwardRequest,
)
from bramleybend.wire.bramleybend_pb2_grpc import HomeServicer, HomeStub
from bramleybend.wire.channels import Channels
from bramleybend.wire.check import Context
from bramleybend.wire.headers import Headers

FIRST_WORD_S: Final = 2.0
STRANGER: Final = grpc.StatusCode.NOT_FOUND

Submit = Callable[[RequestBody], Run | Answer | None]


@dataclass(frozen=True)
class ForwardPort:
    """What is needed to speak to other homes."""

    channels: Channels
    headers: Headers
    is_member: Callable[[str], bool]


class Forwarder:
    """Passes requests on to their homes."""

    def __init__(
        self,
        port: ForwardPort,
        lost: LostHomes,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Hold no state between requests."""
        self._port = port
        self._lost = lost
        self._clock = clock
        self._events = events

    async def follow(self, request_id: RequestId, run: Run) -> None:
        """Fill `run` with the home's answer, or with what is known."""
        ticket = request_id.ticket
        # The address in a ticket is a caller's word; only the system's own
        # VMs are ever connected to for it.
        if not self._port.is_member(ticket.address):
            await self._lost.settle(request_id, run)
            return
        self._events.record(
            'forwarded',
            str(request_id),
            home=ticket.endpoint,
        )
        call = HomeStub(self._port.channels.get(ticket.endpoint)).Forward(
            self._message(run.req),
        )
        try:
            await self._read(call, run)
        except (grpc.aio.AioRpcError, TimeoutError):
            call.cancel()
            await self._after_loss(request_id, run)

    async def _read(
        self,
        call: 'grpc.aio.UnaryStreamCall[ForwardRequest, ForwardReply]',
        run: Run,
    ) -> None:
        async with asyncio.timeout(FIRST_WORD_S):
            reply = await call.read()
        while isinstance(reply, ForwardReply):
            kind = reply.WhichOneof('body')
            if kind == 'head':
                self._port.headers.observe(reply.head.header)
                run.content_type = reply.head.content_type
            elif kind == 'data':
                run.add(reply.data)
            elif reply.end.outcome:
                run.finish(_answer_of(reply.end))
            reply = await call.read()
        if run.answer is None:
            raise TimeoutError('the home ended without an outcome')

    async def _after_loss(self, request_id: RequestId, run: Run) -> None:
        if run.has_begun:
            # Part of the answer is with the caller already. It sends the id
            # again, and is then told what the journal proves.
            run.tear()
            return
        await self._lost.settle(request_id, run)

    def _message(self, req: RequestBody) -> ForwardRequest:
        return ForwardRequest(
            header=self._port.headers.make(),
            request_id=req.request_id,
            workspace=req.workspace,
            service=req.service,
            profile=req.profile,
            timeout_s=max(req.deadline - self._clock.monotonic(), 0),
            body=req.body,
        )


class HomeService(HomeServicer):
    """The home's end: answers as if the caller had come here."""

    def __init__(
        self,
        submit: Submit,
        clock: Clock,
        headers: Headers,
    ) -> None:
        """Take requests in by `submit`, which knows this VM's homes."""
        self._headers = headers
        self._submit = submit
        self._clock = clock

    async def Forward(
        self,
        request: ForwardRequest,
        context: Context,
    ) -> AsyncIterator[ForwardReply]:
        """Run or join a request and pass its answer on as it grows."""
        await self._headers.accept(request.header, context)
        submitted = self._submit(self._request(request))
        if submitted is None:
            await context.abort(
                STRANGER,
                'this ticket belongs to another incarnation; '
                'read its journal instead',
            )
            return
        if isinstance(submitted, Answer):
            yield ForwardReply(head=ForwardHead(header=self._headers.make()))
            yield ForwardReply(end=_head_of(submitted))
            return
        with submitted.followed():
            try:
                async for reply in self._replies(submitted):
                    yield reply
            except TornError:
                return

    async def _replies(self, run: Run) -> AsyncIterator[ForwardReply]:
        # The head goes first and at once: a home that stays silent is frozen or
        # cut off, and the forwarding VM would wait on it for nothing.
        yield ForwardReply(head=ForwardHead(header=self._headers.make()))
        await run.begun()
        yield ForwardReply(
            head=ForwardHead(
                header=self._headers.make(),
                content_type=run.content_type,
            ),
        )
        async for chunk in run.follow():
            yield ForwardReply(data=chunk)
        answer = await run.settled()
        head = _head_of(answer)
        head.content_type = run.content_type
        yield ForwardReply(end=head)

    def _request(self, request: ForwardRequest) -> RequestBody:
        return RequestBody(
            request_id=request.request_id,
            workspace=request.workspace,
            service=request.service,
            profile=request.profile,
            deadline=self._clock.monotonic() + request.timeout_s,
            body=request.body,
            fingerprint=fingerprint_of(request.body),
            stream=wants_stream(request.body),
        )


def _head_of(answer: Answer) -> ForwardHead:
    after = answer.retry_after
    return ForwardHead(
        outcome=answer.outcome,
        reason=answer.reason,
        remedy=answer.remedy,
        retry_after_s=after.total_seconds() if after else 0,
        status=int(answer.http_status),
    )


def _answer_of(head: ForwardHead) -> Answer:
    return Answer(
        Outcome(head.outcome),
        head.reason,
        head.remedy,
        timedelta(seconds=head.retry_after_s) if head.retry_after_s else None,
        HTTPStatus(head.status),
    )
