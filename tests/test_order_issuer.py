"""One issuer, round by round: what it orders, and when it must not."""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime, timedelta

import pytest
from result import Err, Ok, Result

from bramleybend.clients.engine_orders import ReportedWork
from bramleybend.clients.log_service import NO_WAIT, READ_LIMIT, LogBatch
from bramleybend.clock import ManualClock
from bramleybend.decisions.orders import (
    EngineState,
    LoadModel,
    Order,
    SetRole,
)
from bramleybend.errors import ErrorKind, Problem
from bramleybend.events import EventLog
from bramleybend.metrics import NullMetrics
from bramleybend.models import (
    EngineRole,
    EngineTarget,
    RunnerState,
    Vm,
    WeightStore,
)
from bramleybend.scheduler.load_permits import LoadPermits
from bramleybend.scheduler.engine_changes import RETRY_DELAY_S
from bramleybend.scheduler.order_deps import (
    OrderDeps,
    OrderSources,
    EnginePlan,
    ShardKey,
)
from bramleybend.scheduler.order_issuer import OrderIssuer
from bramleybend.state.order_records import LOADS_STREAM, ClaimRecord
from bramleybend.state.order_rules import PERMIT_USE_S
from tests.cli.world import DOWN, LOST, FakeLog

KEY = ShardKey('llm', 0, 1)
CLAIMS = 'orders-llm'
HELD = EngineState('m', '1', frozenset(), EngineRole.MIXED, loading=False)
NEW_VERSION = EngineTarget('m', '2')
NEW_ROLE = EngineTarget('m', '1', (), EngineRole.DECODE)
LOAD = LoadModel('m', '2')
FENCE_ONLY = SetRole(EngineRole.MIXED)


class FakeLogService:
    """A log of several streams that is down as a whole."""

    def __init__(self, clock: ManualClock) -> None:
        self.streams = {name: FakeLog(clock) for name in (CLAIMS, LOADS_STREAM)}
        self.is_down = False
        self.append_delay_s = float(0)
        self._clock = clock

    async def append(
        self,
        stream: str,
        records: Sequence[str],
    ) -> Result[int, Problem]:
        self._clock.advance(self.append_delay_s)
        if self.is_down:
            return Err(DOWN)
        return await self.streams[stream].append(stream, records)

    async def read(
        self,
        stream: str,
        start: int,
        limit: int = READ_LIMIT,
        wait: timedelta = NO_WAIT,
    ) -> Result[LogBatch, Problem]:
        if self.is_down:
            return Err(DOWN)
        return await self.streams[stream].read(stream, start, limit, wait)


@dataclass
class FakeEngines:
    """Engines that check fences and load within a round."""

    states: dict[str, EngineState] = field(default_factory=dict)
    orders: list[Order] = field(default_factory=list)
    fence: int = -1
    error: Problem | None = None  # to the next orders, taken or not
    ignores_orders: bool = False

    async def state(self, vm: Vm) -> Result[EngineState, Problem]:
        return Ok(self.states[vm.name])

    async def work(self, vm: Vm) -> Result[ReportedWork, Problem]:
        return Ok(ReportedWork(0, 0))

    async def send(
        self,
        vm: Vm,
        fence: int,
        order: Order,
    ) -> Result[None, Problem]:
        if fence < self.fence:
            return Err(Problem(ErrorKind.CONFLICT, 'old fence', 'stop'))
        self.fence = fence
        self.orders.append(order)
        if not self.ignores_orders:
            self.states[vm.name] = _after(self.states[vm.name], order)
        return Err(self.error) if self.error else Ok(None)


def _after(state: EngineState, order: Order) -> EngineState:
    match order:
        case LoadModel(model, version):
            return replace(state, model=model, version=version)
        case SetRole(role):
            return replace(state, role=role)
    raise AssertionError(order)


class IssuerFixture:
    """An issuer of one engine with everything around it in memory."""

    def __init__(self) -> None:
        self.clock = ManualClock(datetime(2026, 12, 1, tzinfo=UTC))
        self.log = FakeLogService(self.clock)
        self.engines = FakeEngines({'e': HELD})
        self.is_fresh = True
        self.is_drained = True
        deps = OrderDeps(
            'vm',
            self.log,
            self.clock,
            EventLog('scheduler', 'a1', self.clock),
            NullMetrics(),
        )
        port = OrderSources(
            lambda: None,
            lambda: self.is_fresh,
            lambda: (),
            lambda: (),
            lambda *_: self.is_drained,
        )
        self.permits = LoadPermits(deps)
        self.issuer = OrderIssuer(KEY, port, deps, self.permits, self.engines)

    async def run_rounds(
        self,
        target: EngineTarget,
        *,
        checks: bool = True,
        count: int = 8,
    ) -> list[Order]:
        """Play some rounds; return the orders that the engine took."""
        vm = Vm('e', '127.0.0.1', 1, 'llm', 'walton', RunnerState.LIVE)
        plan = EnginePlan(target, checks, WeightStore(), (vm,))
        before = len(self.engines.orders)
        for _ in range(count):
            await self.permits.refresh(plan.weight_store)
            await self.issuer.run_round(plan)
            self.clock.advance(1)
        return self.engines.orders[before:]

    def add_other_claim(self) -> None:
        """Let another VM claim the shard."""
        other = ClaimRecord(claim_id='other', shard=0, shards=1, by='vm-2')
        self.log.streams[CLAIMS].records.append(other.encode())


async def test_a_fence_is_planted_before_the_first_real_order() -> None:
    bench = IssuerFixture()

    assert await bench.run_rounds(NEW_VERSION) == [FENCE_ONLY, LOAD]
    assert not bench.issuer.unschedulable
    assert not bench.issuer.mismatch_count


async def test_nothing_is_planted_where_fences_are_ignored() -> None:
    assert await IssuerFixture().run_rounds(NEW_VERSION, checks=False) == [LOAD]


async def test_a_claim_whose_reply_was_lost_is_read_back() -> None:
    bench = IssuerFixture()
    bench.log.streams[CLAIMS].lose_replies = 1

    assert await bench.run_rounds(NEW_ROLE) == [
        FENCE_ONLY,
        SetRole(EngineRole.DECODE),
    ]
    assert len(bench.log.streams[CLAIMS].records) == 1


async def test_a_claim_that_never_landed_is_made_again() -> None:
    bench = IssuerFixture()
    bench.log.streams[CLAIMS].lose_records = 1

    assert not await bench.run_rounds(NEW_ROLE, count=3)
    assert await bench.run_rounds(NEW_ROLE) == [
        FENCE_ONLY,
        SetRole(EngineRole.DECODE),
    ]


async def test_without_the_log_nobody_begins_to_order() -> None:
    bench = IssuerFixture()
    bench.log.is_down = True

    assert not await bench.run_rounds(NEW_ROLE)
    assert not bench.issuer.unschedulable


@pytest.mark.parametrize('checks', [True, False])
async def test_a_holder_goes_on_without_the_log_where_fences_are_checked(
    checks: bool,
) -> None:
    bench = IssuerFixture()
    await bench.run_rounds(EngineTarget('m', '1'), checks=checks)
    bench.log.is_down = True

    orders = await bench.run_rounds(NEW_ROLE, checks=checks)

    assert orders == [SetRole(EngineRole.DECODE)] * checks


async def test_no_engine_leaves_service_for_a_load_without_the_log() -> None:
    bench = IssuerFixture()
    await bench.run_rounds(EngineTarget('m', '1'))
    bench.log.is_down = True

    for _ in range(5):
        assert not await bench.run_rounds(NEW_VERSION, count=1)
        assert not bench.issuer.unschedulable


async def test_an_overtaken_issuer_stops_at_its_next_look() -> None:
    bench = IssuerFixture()
    await bench.run_rounds(EngineTarget('m', '1'))
    bench.add_other_claim()

    assert not await bench.run_rounds(NEW_ROLE, checks=False, count=1)


async def test_old_terms_are_no_reason_to_order() -> None:
    bench = IssuerFixture()
    bench.is_fresh = False

    assert not await bench.run_rounds(NEW_ROLE)


async def test_an_engine_at_work_is_not_ordered_but_gets_nothing_new() -> None:
    bench = IssuerFixture()
    bench.is_drained = False

    assert await bench.run_rounds(NEW_VERSION) == [FENCE_ONLY]
    assert bench.issuer.unschedulable == {'e'}


async def test_a_lost_reply_of_an_order_is_settled_by_the_state() -> None:
    bench = IssuerFixture()
    await bench.run_rounds(EngineTarget('m', '1'))
    bench.engines.error = LOST

    assert await bench.run_rounds(NEW_VERSION) == [LOAD]
    assert not bench.issuer.unschedulable
    assert bench.permits.count_available(WeightStore()) == 2


async def test_an_order_that_does_nothing_is_given_again_later() -> None:
    bench = IssuerFixture()
    bench.engines.ignores_orders = True

    assert await bench.run_rounds(NEW_VERSION) == [FENCE_ONLY, LOAD]
    assert not bench.issuer.unschedulable
    assert bench.permits.count_available(WeightStore()) == 2
    bench.clock.advance(RETRY_DELAY_S)
    assert LOAD in await bench.run_rounds(NEW_VERSION)


async def test_a_permit_that_came_late_is_given_back() -> None:
    bench = IssuerFixture()
    await bench.run_rounds(EngineTarget('m', '1'))
    bench.log.append_delay_s = PERMIT_USE_S

    assert not await bench.run_rounds(NEW_VERSION)
    bench.log.append_delay_s = 0
    assert await bench.run_rounds(NEW_VERSION) == [LOAD]
