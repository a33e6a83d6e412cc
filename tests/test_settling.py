"""When an owner may say that nothing lower runs on its shard.

The caller of a higher tier sees `not run` for want of capacity while a lower
tier's request is served elsewhere, if an owner says so too early: after it
took over, after it was paused, after a run has left it for another owner.
"""

import asyncio
from datetime import UTC, datetime
from random import Random

import pytest

from bramleybend.clock import ManualClock
from bramleybend.decisions.floor import DEFAULT_TIMES
from bramleybend.decisions.owner import make_shard_policy
from bramleybend.decisions.quarantine import CrashBook
from bramleybend.events import EventLog
from bramleybend.metrics import NullMetrics
from bramleybend.models import Ask, Service, ServiceKind, Tier
from bramleybend.scheduler.messages import (
    Adopted,
    FloorAsked,
    FloorState,
    HoldChannel,
    HoldLost,
    OwnershipMoved,
    OwnershipTaken,
    ShardMessage,
)
from bramleybend.scheduler.shard_task import (
    IDLE_TICK_S,
    ShardDeps,
    ShardTask,
)

POOL = Service('bend-lm', ServiceKind.ENGINE, slots=2)
DRAFT = Ask(
    request_id='draft#1',
    service=POOL.name,
    tier=Tier.BULK,
    workspace='sofia',
    cost=1,
    prompt_tokens=1,
    prefixes=(),
    deadline=10**6,
    cancellable=True,
)


class World:
    """One shard's task on a clock that the test moves."""

    def __init__(self) -> None:
        self.clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.task = ShardTask(
            POOL.name,
            0,
            make_shard_policy(POOL, Random(1)),
            ShardDeps(
                self.clock,
                EventLog('scheduler', 'a1', self.clock),
                NullMetrics(),
                CrashBook(),
            ),
        )
        self.tell(OwnershipTaken())

    def tell(self, message: ShardMessage | None) -> None:
        self.task._work_on(message, self.clock.monotonic())

    async def settled(self) -> bool:
        reply: asyncio.Future[FloorState] = asyncio.Future()
        self.tell(FloorAsked(Tier.HIGH, 0, reply))
        return (await reply).settled

    def run_for(self, seconds: float) -> None:
        """Let time pass as it does for a process that is not paused."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            self.clock.advance(IDLE_TICK_S)
            self.tell(None)


@pytest.fixture
def world() -> World:
    made = World()
    made.run_for(DEFAULT_TIMES.grace_s)
    return made


async def test_new_owner_is_settled_only_after_the_grace() -> None:
    world = World()
    world.run_for(DEFAULT_TIMES.fresh_s)
    assert not await world.settled()
    world.run_for(DEFAULT_TIMES.hold_s)

    assert await world.settled()


async def test_paused_owner_starts_anew(world: World) -> None:
    assert await world.settled()
    world.clock.advance(DEFAULT_TIMES.fresh_s)
    assert not await world.settled()
    world.run_for(DEFAULT_TIMES.fresh_s)
    assert not await world.settled()
    world.run_for(DEFAULT_TIMES.hold_s)

    assert await world.settled()


async def test_run_that_left_unsettles_its_owner(world: World) -> None:
    hold = HoldChannel('draft#1', 'draft', Tier.BULK)
    world.tell(Adopted(hold, DRAFT, 'engine-1'))
    assert await world.settled()
    world.tell(HoldLost(hold))
    assert not await world.settled()
    world.run_for(DEFAULT_TIMES.grace_s)

    assert await world.settled()


async def test_who_is_no_owner_is_never_settled(world: World) -> None:
    world.tell(OwnershipMoved())
    world.run_for(DEFAULT_TIMES.grace_s)

    assert not await world.settled()
