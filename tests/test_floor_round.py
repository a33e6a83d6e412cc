"""How long a request waits for a permit to be shed."""

import asyncio
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import cast

import grpc
import pytest
import pytest_asyncio

from bramleybend.clock import SystemClock
from bramleybend.decisions.tier_floor import ShedPermits
from bramleybend.gateway import floor_round
from bramleybend.gateway.floor_round import FloorRounds, FloorRpc
from bramleybend.models import Tier
from bramleybend.state.member import Member
from bramleybend.wire.bramleybend_pb2 import FloorReply, FloorRequest, Header
from bramleybend.wire.bramleybend_pb2_grpc import (
    OwnerServicer,
    add_OwnerServicer_to_server,
)
from bramleybend.wire.channels import Channels
from bramleybend.wire.headers import Headers
from bramleybend.wire.protocol_check import Context

CLOCK = SystemClock()
SERVICE = 'briefing-llm'
CONCURRENT_REQUESTS = 5
ROUND_TIMEOUT_S = 0.4


@dataclass
class _Owner(OwnerServicer):
    """Replies after a delay that no lower tier runs."""

    reply_delay_s: float
    asked_at: list[float] = field(default_factory=list)

    async def SetFloor(
        self, request: FloorRequest, context: Context
    ) -> FloorReply:
        self.asked_at.append(time.monotonic())
        await asyncio.sleep(self.reply_delay_s)
        return FloorReply(settled=True)


@dataclass
class _Gateway:
    """A gateway's floor rounds, with one owner."""

    rounds: FloorRounds
    owner: _Owner

    async def may_shed(self, within_s: float) -> bool:
        """Ask for a permit to shed, to be answered within that time."""
        answer_by = CLOCK.monotonic() + within_s
        return await self.rounds.may_shed(SERVICE, Tier.HIGH, 1, answer_by)


@pytest_asyncio.fixture
async def gateway(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[_Gateway]:
    """A gateway whose owner replies later than the rounds' timeout."""
    monkeypatch.setattr(floor_round, 'FLOOR_TIMEOUT_S', ROUND_TIMEOUT_S)
    owner = _Owner(reply_delay_s=60)
    server = grpc.aio.server()
    add_OwnerServicer_to_server(owner, server)
    port = server.add_insecure_port('127.0.0.1:0')
    await server.start()
    channels = Channels()
    headers = SimpleNamespace(make=Header, observe=lambda header: None)
    member = Member('v1', '127.0.0.1', 'north', 'a')
    rounds = FloorRounds(
        ShedPermits(),
        FloorRpc(
            channels,
            port,
            lambda service, shard: member,
            lambda: 0,
            cast('Headers', headers),
        ),
        CLOCK,
    )
    yield _Gateway(rounds, owner)
    await channels.close()
    await server.stop(0)


async def test_requests_that_ask_at_once_share_a_round(
    gateway: _Gateway,
) -> None:
    """Guards against answers after the deadline while an owner is paused.

    With a round of its own for each request, the last would wait for all.
    """
    began = time.monotonic()
    results = await asyncio.gather(
        *(gateway.may_shed(60) for _ in range(CONCURRENT_REQUESTS))
    )
    assert results == [False] * CONCURRENT_REQUESTS
    assert time.monotonic() - began < 2 * ROUND_TIMEOUT_S
    assert len(gateway.owner.asked_at) == 1


async def test_a_round_does_not_outlast_the_request_that_asks(
    gateway: _Gateway,
) -> None:
    """Guards against an answer after the deadline, when the caller has left."""
    began = time.monotonic()
    assert not await gateway.may_shed(ROUND_TIMEOUT_S / 4)
    assert time.monotonic() - began < ROUND_TIMEOUT_S / 2


async def test_a_permit_comes_from_an_owner_that_replies(
    gateway: _Gateway,
) -> None:
    """A round continues for later requests when its first request gives up."""
    gateway.owner.reply_delay_s = ROUND_TIMEOUT_S / 4
    assert not await gateway.may_shed(0)
    assert await gateway.may_shed(60)
