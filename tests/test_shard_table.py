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
from bramleybend.scheduler.shard_messages import (
    RunAdopted,
    HoldChannel,
    HoldLost,
)
from bramleybend.scheduler.shard_task import ShardDeps, ShardTask
from bramleybend.scheduler.shard_table import (
    UPDATE_INTERVAL_S,
    PAUSE_CHECKS_PER_UPDATE,
    ShardTable,
    ShardSources,
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


class ShardTableFixture:
    """One scheduler's shards on a clock that the test moves."""

    def __init__(self, owner: Member = OWN) -> None:
        self.clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.shards = ShardTable(
            ShardSources(lambda: TERMS, tuple, lambda: (owner,), OWN.vm),
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
    def is_settled(self) -> bool:
        return self.shards.is_settled(self.task)

    def run_unpaused(self, seconds: float) -> None:
        """Let time pass as it does for a process that is not paused."""
        end = self.clock.monotonic() + seconds
        self.shards.update()
        while self.clock.monotonic() < end:
            self.clock.advance(UPDATE_INTERVAL_S)
            self.shards.update()


@pytest.fixture
async def world() -> ShardTableFixture:
    made = ShardTableFixture()
    made.run_unpaused(DEFAULT_TIMES.grace_s)
    return made


async def test_new_owner_is_settled_only_after_the_grace() -> None:
    world = ShardTableFixture()
    world.run_unpaused(DEFAULT_TIMES.fresh_s)
    assert not world.is_settled
    world.run_unpaused(DEFAULT_TIMES.hold_s)

    assert world.is_settled


async def test_paused_owner_starts_anew(world: ShardTableFixture) -> None:
    assert world.is_settled
    world.clock.advance(DEFAULT_TIMES.fresh_s)
    assert not world.is_settled  # also before it has looked again
    world.run_unpaused(DEFAULT_TIMES.fresh_s)
    assert not world.is_settled
    world.run_unpaused(DEFAULT_TIMES.hold_s)

    assert world.is_settled


@pytest.mark.parametrize(('short_by_s', 'is_anew'), [(0.2, False), (0, True)])
async def test_a_pause_is_not_counted_longer_than_it_was(
    world: ShardTableFixture, short_by_s: float, is_anew: bool
) -> None:
    """Guards against low tiers that wait out a takeover that nobody made."""
    for _ in range(PAUSE_CHECKS_PER_UPDATE - 1):
        world.clock.advance(UPDATE_INTERVAL_S / PAUSE_CHECKS_PER_UPDATE)
        world.shards.mark_running()
    world.clock.advance(DEFAULT_TIMES.fresh_s - short_by_s)
    world.shards.mark_running()
    assert world.is_settled is not is_anew


async def test_run_that_left_unsettles_its_owner(
    world: ShardTableFixture,
) -> None:
    hold = HoldChannel('draft#1', 'draft', Tier.BULK)
    now = world.clock.monotonic()
    world.task._handle_message(RunAdopted(hold, DRAFT, 'engine-1'), now)
    assert world.is_settled
    world.task._handle_message(HoldLost(hold), now)
    assert not world.is_settled
    world.run_unpaused(DEFAULT_TIMES.grace_s)

    assert world.is_settled


async def test_who_is_no_owner_is_never_settled() -> None:
    world = ShardTableFixture(Member('entry-2', '10.0.0.2', 'sof-b', 'b2'))
    world.run_unpaused(DEFAULT_TIMES.grace_s)

    assert not world.is_settled
