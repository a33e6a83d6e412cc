"""Tier floor rounds: ask every owner of a service before a request is shed.

No request may be shed while a lower tier is served anywhere in the pool. Each
owner knows only its shard, so the gateway asks all owners. An owner that
replies starts no lower tier for `FLOOR_HOLD_S`, so that its reply stays true
until the permit to shed expires.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import grpc

from bramleybend.clock import Clock
from bramleybend.decisions.tier_floor import FLOOR_HOLD_S, ShedPermits
from bramleybend.models import Tier
from bramleybend.state.member import Member
from bramleybend.wire.bramleybend_pb2 import FloorReply, FloorRequest
from bramleybend.wire.bramleybend_pb2_grpc import OwnerStub
from bramleybend.wire.channels import Channels
from bramleybend.wire.headers import Headers

FLOOR_TIMEOUT_S: Final = 1.0

FindOwner = Callable[[str, int], Member | None]


@dataclass(frozen=True)
class FloorRpc:
    """How to reach the owners of shards for tier floor requests."""

    channels: Channels
    port: int
    find_owner: FindOwner
    view_age_s: Callable[[], float]
    headers: Headers


class FloorRounds:
    """Runs the rounds, at most one at a time for each service and tier."""

    def __init__(
        self,
        permits: ShedPermits,
        rpc: FloorRpc,
        clock: Clock,
    ) -> None:
        """Start without rounds."""
        self._permits = permits
        self._rpc = rpc
        self._clock = clock
        self._rounds: dict[tuple[str, Tier], asyncio.Task[None]] = {}

    async def may_shed(
        self,
        service: str,
        tier: Tier,
        shards: int,
        answer_by: float,
    ) -> bool:
        """Return whether a request of this tier may be shed now.

        False unless all owners confirm by `answer_by` (monotonic clock) that
        they serve no lower tier of the service.
        """
        if self._permits.has_permit(service, tier, self._clock.monotonic()):
            return True
        # In a shortage many requests ask at once, so they share a round. With
        # one round each, the last would wait past its deadline while an owner
        # does not reply.
        left_s = answer_by - self._clock.monotonic()
        if left_s > 0:
            round_task = self._join_round(service, tier, shards)
            await asyncio.wait((round_task,), timeout=left_s)
        return self._permits.has_permit(service, tier, self._clock.monotonic())

    def _join_round(
        self, service: str, tier: Tier, shards: int
    ) -> asyncio.Task[None]:
        """Return the task of the current round; start one if there is none."""
        key = (service, tier)
        round_task = self._rounds.get(key)
        if round_task is None or round_task.done():
            round_task = asyncio.create_task(
                self._run_round(service, tier, shards)
            )
            self._rounds[key] = round_task
        return round_task

    async def _run_round(self, service: str, tier: Tier, shards: int) -> None:
        current_round = self._permits.open_round(
            service,
            tier,
            frozenset(range(shards)),
            self._clock.monotonic(),
            view_age=self._rpc.view_age_s(),
        )
        replies = await asyncio.gather(
            *(self._ask_owner(service, tier, shard) for shard in range(shards))
        )
        for shard, reply in enumerate(replies):
            if reply is not None:
                self._permits.handle_reply(
                    current_round,
                    shard,
                    self._clock.monotonic(),
                    settled=reply.settled,
                    lower_running=reply.lower_running,
                )

    async def _ask_owner(
        self,
        service: str,
        tier: Tier,
        shard: int,
    ) -> FloorReply | None:
        owner = self._rpc.find_owner(service, shard)
        if owner is None:
            return None
        endpoint = f'{owner.address}:{self._rpc.port}'
        request = FloorRequest(
            header=self._rpc.headers.make(),
            service=service,
            tier=tier,
            shard=shard,
            hold_s=FLOOR_HOLD_S,
        )
        stub = OwnerStub(self._rpc.channels.get(endpoint))
        try:
            reply: FloorReply = await stub.SetFloor(
                request,
                timeout=FLOOR_TIMEOUT_S,
            )
        except grpc.aio.AioRpcError:
            return None
        self._rpc.headers.observe(reply.header)
        return reply
