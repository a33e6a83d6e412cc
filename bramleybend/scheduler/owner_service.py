"""The gRPC service by which gateways request, hold and release slots."""

import asyncio
from collections.abc import AsyncIterator
from itertools import count

import grpc

from bramleybend.clock import Clock
from bramleybend.decisions.actions import RunReport
from bramleybend.decisions.quarantine import ContentStatus
from bramleybend.models import SlotRequest, Tier
from bramleybend.scheduler.shard_messages import (
    FirstTokenSeen,
    FloorRequested,
    HoldChannel,
    HoldLost,
    RunAdopted,
    RunEnded,
    SlotRequested,
)
from bramleybend.scheduler.shard_table import ShardTable
from bramleybend.scheduler.shard_task import ShardTask
from bramleybend.wire.bramleybend_pb2 import (
    AskMessage,
    FloorReply,
    FloorRequest,
    HoldReply,
    HoldRequest,
    Queued,
    Refused,
)
from bramleybend.wire.bramleybend_pb2_grpc import OwnerServicer
from bramleybend.wire.headers import Headers
from bramleybend.wire.protocol_check import Context


class OwnerService(OwnerServicer):
    """Turns gateways' streams into messages for the shards' tasks."""

    def __init__(
        self,
        shards: ShardTable,
        clock: Clock,
        headers: Headers,
    ) -> None:
        """Serve the shards of this scheduler."""
        self._headers = headers
        self._shards = shards
        self._clock = clock
        self._hold_numbers = count()

    async def Hold(
        self,
        request_iterator: AsyncIterator[HoldRequest],
        context: Context,
    ) -> AsyncIterator[HoldReply]:
        """Serve one request's stream, from its ask to the end of its run."""
        first = await anext(aiter(request_iterator))
        await self._headers.accept(first.header, context)
        ask = first.ask if first.HasField('ask') else first.adopt.ask
        task = self._shards.get_task(ask.service, ask.shard)
        if task is None:
            await context.abort(
                grpc.StatusCode.NOT_FOUND,
                f'no service {ask.service}; publish terms that name it',
            )
            return
        hold = self._make_hold(ask)
        self._post_first_request(task, hold, first)
        reader = asyncio.create_task(
            _post_requests(request_iterator, task, hold)
        )
        try:
            while (reply := await hold.outbox.get()) is not None:
                reply.header.CopyFrom(self._headers.make())
                yield reply
        finally:
            reader.cancel()
            task.post(HoldLost(hold))

    async def SetFloor(
        self,
        request: FloorRequest,
        context: Context,
    ) -> FloorReply:
        """Set a tier floor for a while and count the runs below it."""
        await self._headers.accept(request.header, context)
        task = self._shards.get_task(request.service, request.shard)
        if task is None:
            return FloorReply(settled=False)
        reply: asyncio.Future[int] = asyncio.Future()
        task.post(FloorRequested(Tier(request.tier), request.hold_s, reply))
        lower_running = await reply
        # A run may have moved away while the request was queued. It is not
        # counted here then, and the next owner may not know it yet, so the
        # shard counts as unsettled.
        return FloorReply(
            header=self._headers.make(),
            settled=self._shards.is_settled(task),
            lower_running=lower_running,
        )

    def _make_hold(self, ask: AskMessage) -> HoldChannel:
        # A request may be sent twice, after a reply was lost. So a slot is
        # held by the stream, and the key is unique to the stream.
        return HoldChannel(
            f'{ask.request_id}#{next(self._hold_numbers)}',
            ask.request_id,
            Tier(ask.tier),
            ask.fingerprint,
        )

    def _post_first_request(
        self,
        task: ShardTask,
        hold: HoldChannel,
        first: HoldRequest,
    ) -> None:
        now = self._clock.monotonic()
        if first.HasField('adopt'):
            ask = _parse_ask(first.adopt.ask, now)
            task.post(RunAdopted(hold, ask, first.adopt.runner))
            return
        verdict = self._shards.get_verdict(hold.fingerprint)
        if verdict is ContentStatus.REFUSED:
            _refuse_quarantined(hold)
            return
        is_suspect = verdict is ContentStatus.SUSPECT
        ask = _parse_ask(first.ask, now, is_suspect=is_suspect)
        task.post(SlotRequested(hold, ask, first.ask.urgent))


def _refuse_quarantined(hold: HoldChannel) -> None:
    refused = Refused(reason='quarantined', quarantined=True)
    hold.outbox.put_nowait(HoldReply(queued=Queued()))
    hold.outbox.put_nowait(HoldReply(refused=refused))
    hold.outbox.put_nowait(None)


async def _post_requests(
    requests: AsyncIterator[HoldRequest],
    task: ShardTask,
    hold: HoldChannel,
) -> None:
    async for request in requests:
        if request.HasField('first_token'):
            task.post(
                FirstTokenSeen(
                    hold,
                    request.first_token.prompt_tokens,
                    request.first_token.cached_tokens,
                ),
            )
        elif request.HasField('ended'):
            task.post(RunEnded(hold, _parse_report(request)))


def _parse_ask(
    message: AskMessage, now: float, *, is_suspect: bool = False
) -> SlotRequest:
    return SlotRequest(
        request_id=message.request_id,
        service=message.service,
        tier=Tier(message.tier),
        workspace=message.workspace,
        cost=message.cost,
        prompt_tokens=message.prompt_tokens,
        prefixes=tuple(message.prefixes),
        deadline=now + message.timeout_s,
        cancellable=message.cancellable,
        fingerprint=message.fingerprint,
        suspect=is_suspect,
        excluded=frozenset(message.excluded),
    )


def _parse_report(request: HoldRequest) -> RunReport:
    ended = request.ended
    return RunReport(
        outcome=ended.outcome,
        refused=ended.refused,
        crashed=ended.runner_crashed,
        prompt_tokens=ended.prompt_tokens,
        cached_tokens=ended.cached_tokens,
        completion_tokens=ended.completion_tokens,
        seconds=ended.seconds,
    )
