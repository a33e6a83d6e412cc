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
from bramleybend.gateway.lost_home import LostHomes
from bramleybend.gateway.request_checks import fingerprint_of, wants_stream
from bramleybend.gateway.run import CallerRequest, IncompleteAnswerError, Run
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

FIRST_REPLY_TIMEOUT_S: Final = 2.0
UNKNOWN_HOME: Final = grpc.StatusCode.NOT_FOUND

Submit = Callable[[CallerRequest], Run | Answer | None]


@dataclass(frozen=True)
class ForwardRpc:
    """What is needed to speak to other homes."""

    channels: Channels
    headers: Headers
    is_member: Callable[[str], bool]


class Forwarder:
    """Passes requests on to their homes."""

    def __init__(
        self,
        rpc: ForwardRpc,
        lost_homes: LostHomes,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Hold no state between requests."""
        self._rpc = rpc
        self._lost_homes = lost_homes
        self._clock = clock
        self._events = events

    async def forward(self, request_id: RequestId, run: Run) -> None:
        """Fill `run` with the home's answer, or with what is known."""
        ticket = request_id.ticket
        # The address in a ticket is a caller's word; only the system's own
        # VMs are ever connected to for it.
        if not self._rpc.is_member(ticket.address):
            await self._lost_homes.settle(request_id, run)
            return
        self._events.record(
            'forwarded',
            str(request_id),
            home=ticket.endpoint,
        )
        call = HomeStub(self._rpc.channels.get(ticket.endpoint)).Forward(
            self._make_request(run.req),
        )
        try:
            await self._read_replies(call, run)
        except (grpc.aio.AioRpcError, TimeoutError):
            call.cancel()
            await self._handle_lost_home(request_id, run)

    async def _read_replies(
        self,
        call: 'grpc.aio.UnaryStreamCall[ForwardRequest, ForwardReply]',
        run: Run,
    ) -> None:
        async with asyncio.timeout(FIRST_REPLY_TIMEOUT_S):
            reply = await call.read()
        while isinstance(reply, ForwardReply):
            kind = reply.WhichOneof('body')
            if kind == 'head':
                self._rpc.headers.observe(reply.head.header)
                run.content_type = reply.head.content_type
            elif kind == 'data':
                run.add_chunk(reply.data)
            elif reply.end.outcome:
                run.finish(_parse_answer(reply.end))
            reply = await call.read()
        if run.answer is None:
            raise TimeoutError('the home ended without an outcome')

    async def _handle_lost_home(self, request_id: RequestId, run: Run) -> None:
        if run.has_answer_data:
            # Part of the answer is with the caller already. It sends the id
            # again, and is then told what the journal proves.
            run.mark_torn()
            return
        await self._lost_homes.settle(request_id, run)

    def _make_request(self, req: CallerRequest) -> ForwardRequest:
        return ForwardRequest(
            header=self._rpc.headers.make(),
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
        submitted = self._submit(self._parse_request(request))
        if submitted is None:
            await context.abort(
                UNKNOWN_HOME,
                'this ticket belongs to another incarnation; '
                'read its journal instead',
            )
            return
        if isinstance(submitted, Answer):
            yield ForwardReply(head=ForwardHead(header=self._headers.make()))
            yield ForwardReply(end=_make_head(submitted))
            return
        with submitted.track_follower():
            try:
                async for reply in self._replies(submitted):
                    yield reply
            except IncompleteAnswerError:
                return

    async def _replies(self, run: Run) -> AsyncIterator[ForwardReply]:
        # The head goes first and at once: a home that stays silent is frozen or
        # cut off, and the forwarding VM would wait on it for nothing.
        yield ForwardReply(head=ForwardHead(header=self._headers.make()))
        await run.wait_until_started()
        yield ForwardReply(
            head=ForwardHead(
                header=self._headers.make(),
                content_type=run.content_type,
            ),
        )
        async for chunk in run.stream_answer():
            yield ForwardReply(data=chunk)
        answer = await run.wait_for_outcome()
        head = _make_head(answer)
        head.content_type = run.content_type
        yield ForwardReply(end=head)

    def _parse_request(self, request: ForwardRequest) -> CallerRequest:
        return CallerRequest(
            request_id=request.request_id,
            workspace=request.workspace,
            service=request.service,
            profile=request.profile,
            deadline=self._clock.monotonic() + request.timeout_s,
            body=request.body,
            fingerprint=fingerprint_of(request.body),
            stream=wants_stream(request.body),
        )


def _make_head(answer: Answer) -> ForwardHead:
    after = answer.retry_after
    return ForwardHead(
        outcome=answer.outcome,
        reason=answer.reason,
        remedy=answer.remedy,
        retry_after_s=after.total_seconds() if after else 0,
        status=int(answer.http_status),
    )


def _parse_answer(head: ForwardHead) -> Answer:
    return Answer(
        Outcome(head.outcome),
        head.reason,
        head.remedy,
        timedelta(seconds=head.retry_after_s) if head.retry_after_s else None,
        HTTPStatus(head.status),
    )
