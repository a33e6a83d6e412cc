"""Forwards requests that arrive at another VM than their home.

They are sent to the home over gRPC, and the answer is streamed back as it
arrives. If the home is lost, the answer is taken from its journal.
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
from bramleybend.gateway.request_checks import compute_fingerprint, wants_stream
from bramleybend.gateway.run import CallerRequest, IncompleteAnswerError, Run
from bramleybend.state.tickets import RequestId
from bramleybend.wire.bramleybend_pb2 import (
    ForwardHead,
    ForwardReply,
    ForwardRequest,
)
from bramleybend.wire.bramleybend_pb2_grpc import HomeServicer, HomeStub
from bramleybend.wire.channels import Channels
from bramleybend.wire.headers import Headers
from bramleybend.wire.protocol_check import Context

FIRST_REPLY_TIMEOUT_S: Final = 2.0
UNKNOWN_HOME: Final = grpc.StatusCode.NOT_FOUND

Submit = Callable[[CallerRequest], Run | Answer | None]


@dataclass(frozen=True)
class ForwardRpc:
    """How to reach the homes on other VMs."""

    channels: Channels
    headers: Headers
    is_member: Callable[[str], bool]


class Forwarder:
    """Forwards requests to their homes."""

    def __init__(
        self,
        rpc: ForwardRpc,
        lost_homes: LostHomes,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Keep no state between requests."""
        self._rpc = rpc
        self._lost_homes = lost_homes
        self._clock = clock
        self._events = events

    async def forward(self, request_id: RequestId, run: Run) -> None:
        """Finish `run` with the home's answer, or with what its journal proves.

        If the home is lost after a part of the answer, `run` is marked
        incomplete.
        """
        ticket = request_id.ticket
        # The caller supplies the ticket's address, so the gateway connects to
        # it only if it belongs to a member VM.
        if not self._rpc.is_member(ticket.address):
            await self._lost_homes.finish_from_journal(request_id, run)
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
            raise TimeoutError('the home closed the stream without an outcome')

    async def _handle_lost_home(self, request_id: RequestId, run: Run) -> None:
        if run.has_answer_data:
            # The caller has part of the answer already. It resends the id and
            # then gets the answer that the journal proves.
            run.mark_incomplete()
            return
        await self._lost_homes.finish_from_journal(request_id, run)

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
    """Serves forwarded requests at their home, like those of direct callers."""

    def __init__(
        self,
        submit: Submit,
        clock: Clock,
        headers: Headers,
    ) -> None:
        """Serve requests by `submit`; it returns None for an unknown home."""
        self._headers = headers
        self._submit = submit
        self._clock = clock

    async def Forward(
        self,
        request: ForwardRequest,
        context: Context,
    ) -> AsyncIterator[ForwardReply]:
        """Start or join the request's run; stream its answer as it arrives."""
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
        # The first head is sent at once. A home that sends nothing within
        # `FIRST_REPLY_TIMEOUT_S` is taken for frozen or cut off.
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
            fingerprint=compute_fingerprint(request.body),
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
