"""When an owner may say that nothing lower runs on its shard.

The caller of a higher tier sees `not run` for want of capacity while a lower
tier's request is served elsewhere, if an owner says so too early: after it
took over, after it was paused, after a run has left it for another owner.
"""

from datetime import UTC, datetime
from random import Random

import pytest

from bramleybend.clock import ManualClock
from bramleybend.decisions.floor import DEFAULT_TIMES
from bramleybend.decisions.quarantine import CrashBook
from bramleybend.events import EventLog
from bramleybend.metrics import NullMetrics
from bramleybend.models import Ask, Service, ServiceKind, Terms, Tier
from bramleybend.scheduler.messages import Adopted, HoldChannel, HoldLost
from bramleybend.scheduler.shard_task import ShardDeps, ShardTask
from bramleybend.scheduler.shards import (
    LOOK_INTERVAL_S,
    NOTES_A_LOOK,
    ShardTable,
    Surroundings,
)
from bramleybend.state.member import Member

POOL = Service('bend-lm', ServiceKind.ENGINE, slots=2)
TERMS = Terms(1, 'zvukopat', {POOL.name: POOL}, {}, {})
OWN = Member('entry-1', '10.0.0.1', 'sof-a', 'a1')
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
    """One scheduler's shards on a clock that the test moves."""

    def __init__(self, owner: Member = OWN) -> None:
        self.clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.shards = ShardTable(
            Surroundings(lambda: TERMS, tuple, lambda: (owner,), OWN.vm),
            ShardDeps(
                self.clock,
                EventLog('scheduler', 'a1', self.clock),
                NullMetrics(),
                CrashBook(),
            ),
            Random(1),
        )

    @property
    def task(self) -> ShardTask:
        task = self.shards.get(POOL.name, 0)
        assert task is not None
        return task

    @property
    def settled(self) -> bool:
        return self.shards.settled(self.task)

    def run_for(self, seconds: float) -> None:
        """Let time pass as it does for a process that is not paused."""
        end = self.clock.monotonic() + seconds
        self.shards.look()
        while self.clock.monotonic() < end:
            self.clock.advance(LOOK_INTERVAL_S)
            self.shards.look()


@pytest.fixture
async def world() -> World:
    made = World()
    made.run_for(DEFAULT_TIMES.grace_s)
    return made


async def test_new_owner_is_settled_only_after_the_grace() -> None:
    world = World()
    world.run_for(DEFAULT_TIMES.fresh_s)
    assert not world.settled
    world.run_for(DEFAULT_TIMES.hold_s)

    assert world.settled


async def test_paused_owner_starts_anew(world: World) -> None:
    assert world.settled
    world.clock.advance(DEFAULT_TIMES.fresh_s)
    assert not world.settled  # also before it has looked again
    world.run_for(DEFAULT_TIMES.fresh_s)
    assert not world.settled
    world.run_for(DEFAULT_TIMES.hold_s)

    assert world.settled


@pytest.mark.parametrize(('short_by_s', 'is_anew'), [(0.2, False), (0, True)])
async def test_a_pause_is_not_counted_longer_than_it_was(
    world: World, short_by_s: float, is_anew: bool
) -> None:
    """Guards against low tiers that wait out a takeover that nobody made."""
    for _ in range(NOTES_A_LOOK - 1):
        world.clock.advance(LOOK_INTERVAL_S / NOTES_A_LOOK)
        world.shards.note_running()
    world.clock.advance(DEFAULT_TIMES.fresh_s - short_by_s)
    world.shards.note_running()
    assert world.settled is not is_anew


async def test_run_that_left_unsettles_its_owner(world: World) -> None:
    hold = HoldChannel('draft#1', 'draft', Tier.BULK)
    now = world.clock.monotonic()
    world.task._handle(Adopted(hold, DRAFT, 'engine-1'), now)
    assert world.settled
    world.task._handle(HoldLost(hold), now)
    assert not world.settled
    world.run_for(DEFAULT_TIMES.grace_s)

    assert world.settled


async def test_who_is_no_owner_is_never_settled() -> None:
    world = World(Member('entry-2', '10.0.0.2', 'sof-b', 'b2'))
    world.run_for(DEFAULT_TIMES.grace_s)

    assert not world.settled
