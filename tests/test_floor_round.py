"""How long a request waits for proof that nothing lower is served."""

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
from bramleybend.decisions.floor import ShedPermits
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
from bramleybend.wire.check import Context
from bramleybend.wire.headers import Headers

CLOCK = SystemClock()
SERVICE = 'briefing-llm'
ASKING = 5
ROUND_S = 0.4


@dataclass
class _Owner(OwnerServicer):
    """Answers after a while, that nothing lower runs."""

    after_s: float
    asked: list[float] = field(default_factory=list)

    async def SetFloor(
        self, request: FloorRequest, context: Context
    ) -> FloorReply:
        self.asked.append(time.monotonic())
        await asyncio.sleep(self.after_s)
        return FloorReply(settled=True)


@dataclass
class _Play:
    """One gateway's rounds with one owner."""

    rounds: FloorRounds
    owner: _Owner

    async def may_shed(self, within_s: float) -> bool:
        """Ask for leave to shed that is of use until then."""
        answer_by = CLOCK.monotonic() + within_s
        return await self.rounds.may_shed(SERVICE, Tier.HIGH, 1, answer_by)


@pytest_asyncio.fixture
async def play(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[_Play]:
    """An owner that takes longer than a round waits for it."""
    monkeypatch.setattr(floor_round, 'FLOOR_TIMEOUT_S', ROUND_S)
    owner = _Owner(after_s=60)
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
    yield _Play(rounds, owner)
    await channels.close()
    await server.stop(0)


async def test_requests_that_ask_at_once_share_a_round(play: _Play) -> None:
    """Guards against answers after the deadline while an owner is paused."""
    began = time.monotonic()
    told = await asyncio.gather(*(play.may_shed(60) for _ in range(ASKING)))
    assert told == [False] * ASKING
    assert time.monotonic() - began < 2 * ROUND_S
    assert len(play.owner.asked) == 1


async def test_a_round_does_not_outlast_the_request_that_asks(
    play: _Play,
) -> None:
    """Guards against an answer that comes when its caller has left."""
    began = time.monotonic()
    assert not await play.may_shed(ROUND_S / 4)
    assert time.monotonic() - began < ROUND_S / 2


async def test_leave_comes_from_an_owner_that_answers(play: _Play) -> None:
    """A round that is given up early still counts for those who ask later."""
    play.owner.after_s = ROUND_S / 4
    assert not await play.may_shed(0)
    assert await play.may_shed(60)
