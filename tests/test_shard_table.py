"""When an owner may report that no lower tier runs on its shard.

If an owner reports this too early, a higher tier's request is shed for lack of
capacity (its caller sees `not run`) while a lower tier's request is served.
Too early is: shortly after a takeover, after a pause of the owner, or after a
run has moved from it to another owner.
"""

from datetime import UTC, datetime
from random import Random

import pytest

from bramleybend.clock import ManualClock
from bramleybend.decisions.quarantine import CrashRegistry
from bramleybend.decisions.tier_floor import DEFAULT_TIMES
from bramleybend.events import EventLog
from bramleybend.metrics import NullMetrics
from bramleybend.models import Service, ServiceKind, SlotRequest, Terms, Tier
from bramleybend.scheduler.shard_messages import (
    HoldChannel,
    HoldLost,
    RunAdopted,
)
from bramleybend.scheduler.shard_table import (
    PAUSE_CHECKS_PER_UPDATE,
    UPDATE_INTERVAL_S,
    ShardSources,
    ShardTable,
)
from bramleybend.scheduler.shard_task import ShardDeps, ShardTask
from bramleybend.state.member import Member

POOL = Service('bend-lm', ServiceKind.ENGINE, slots=2)
TERMS = Terms(1, 'zvukopat', {POOL.name: POOL}, {}, {})
OWN_MEMBER = Member('entry-1', '10.0.0.1', 'sof-a', 'a1')
BULK_ASK = SlotRequest(
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

    def __init__(self, owner: Member = OWN_MEMBER) -> None:
        self.clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.shards = ShardTable(
            ShardSources(lambda: TERMS, tuple, lambda: (owner,), OWN_MEMBER.vm),
            ShardDeps(
                self.clock,
                EventLog('scheduler', 'a1', self.clock),
                NullMetrics(),
                CrashRegistry(),
            ),
            Random(1),
        )

    @property
    def task(self) -> ShardTask:
        task = self.shards.get_task(POOL.name, 0)
        assert task is not None
        return task

    @property
    def is_settled(self) -> bool:
        return self.shards.is_settled(self.task)

    def run_unpaused(self, seconds: float) -> None:
        """Let time pass with regular updates, as in an unpaused process."""
        end = self.clock.monotonic() + seconds
        self.shards.update()
        while self.clock.monotonic() < end:
            self.clock.advance(UPDATE_INTERVAL_S)
            self.shards.update()


@pytest.fixture
async def table() -> ShardTableFixture:
    table = ShardTableFixture()
    table.run_unpaused(DEFAULT_TIMES.grace_s)
    return table


async def test_new_owner_is_settled_only_after_the_grace() -> None:
    table = ShardTableFixture()
    table.run_unpaused(DEFAULT_TIMES.max_view_age_s)
    assert not table.is_settled
    table.run_unpaused(DEFAULT_TIMES.hold_s)

    assert table.is_settled


async def test_paused_owner_must_settle_again(table: ShardTableFixture) -> None:
    assert table.is_settled
    table.clock.advance(DEFAULT_TIMES.max_view_age_s)
    assert not table.is_settled  # also before the next update
    table.run_unpaused(DEFAULT_TIMES.max_view_age_s)
    assert not table.is_settled
    table.run_unpaused(DEFAULT_TIMES.hold_s)

    assert table.is_settled


@pytest.mark.parametrize(
    ('short_by_s', 'must_settle_again'), [(0.2, False), (0, True)]
)
async def test_a_pause_is_not_counted_longer_than_it_was(
    table: ShardTableFixture, short_by_s: float, must_settle_again: bool
) -> None:
    """Guards against holding low tiers back although no takeover happened."""
    for _ in range(PAUSE_CHECKS_PER_UPDATE - 1):
        table.clock.advance(UPDATE_INTERVAL_S / PAUSE_CHECKS_PER_UPDATE)
        table.shards.mark_running()
    table.clock.advance(DEFAULT_TIMES.max_view_age_s - short_by_s)
    table.shards.mark_running()
    assert table.is_settled is not must_settle_again


async def test_run_that_moved_away_unsettles_its_owner(
    table: ShardTableFixture,
) -> None:
    hold = HoldChannel('draft#1', 'draft', Tier.BULK)
    now = table.clock.monotonic()
    table.task._handle_message(RunAdopted(hold, BULK_ASK, 'engine-1'), now)
    assert table.is_settled
    table.task._handle_message(HoldLost(hold), now)
    assert not table.is_settled
    table.run_unpaused(DEFAULT_TIMES.grace_s)

    assert table.is_settled


async def test_a_vm_that_is_not_the_owner_is_never_settled() -> None:
    table = ShardTableFixture(Member('entry-2', '10.0.0.2', 'sof-b', 'b2'))
    table.run_unpaused(DEFAULT_TIMES.grace_s)

    assert not table.is_settled
