"""Orders that an issuer sends to an engine, and when it must send none."""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime, timedelta

import pytest
from result import Err, Ok, Result

from bramleybend.clients.engine_client import EngineLoad
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
from bramleybend.scheduler.engine_changes import RETRY_DELAY_S
from bramleybend.scheduler.load_permits import LoadPermits
from bramleybend.scheduler.order_deps import (
    EnginePlan,
    OrderDeps,
    OrderSources,
    ShardKey,
)
from bramleybend.scheduler.order_issuer import OrderIssuer
from bramleybend.state.order_records import LOADS_STREAM, ClaimRecord
from bramleybend.state.order_rules import PERMIT_VALIDITY_S
from tests.cli.fakes import LOG_DOWN, REPLY_LOST, FakeLog

KEY = ShardKey('llm', 0, 1)
CLAIMS_STREAM = 'orders-llm'
INITIAL_STATE = EngineState(
    'm', '1', frozenset(), EngineRole.MIXED, loading=False
)
NEW_VERSION = EngineTarget('m', '2')
NEW_ROLE = EngineTarget('m', '1', (), EngineRole.DECODE)
LOAD_NEW_VERSION = LoadModel('m', '2')
FENCE_ONLY = SetRole(EngineRole.MIXED)


class FakeLogService:
    """A log service with several streams that are down together."""

    def __init__(self, clock: ManualClock) -> None:
        self.streams = {
            name: FakeLog(clock) for name in (CLAIMS_STREAM, LOADS_STREAM)
        }
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
            return Err(LOG_DOWN)
        return await self.streams[stream].append(stream, records)

    async def read(
        self,
        stream: str,
        start: int,
        limit: int = READ_LIMIT,
        wait: timedelta = NO_WAIT,
    ) -> Result[LogBatch, Problem]:
        if self.is_down:
            return Err(LOG_DOWN)
        return await self.streams[stream].read(stream, start, limit, wait)


@dataclass
class FakeEngines:
    """Engines that check fences and finish a load within a round."""

    states: dict[str, EngineState] = field(default_factory=dict)
    orders: list[Order] = field(default_factory=list)
    fence: int = -1
    error: Problem | None = None  # returned for orders, executed or not
    ignores_orders: bool = False

    async def fetch_state(self, vm: Vm) -> Result[EngineState, Problem]:
        return Ok(self.states[vm.name])

    async def fetch_load(self, vm: Vm) -> Result[EngineLoad, Problem]:
        return Ok(EngineLoad(0, 0))

    async def send_order(
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
            self.states[vm.name] = _apply_order(self.states[vm.name], order)
        return Err(self.error) if self.error else Ok(None)


def _apply_order(state: EngineState, order: Order) -> EngineState:
    match order:
        case LoadModel(model, version):
            return replace(state, model=model, version=version)
        case SetRole(role):
            return replace(state, role=role)
    raise AssertionError(order)


class IssuerFixture:
    """An issuer of one engine, with fakes for all that it uses."""

    def __init__(self) -> None:
        self.clock = ManualClock(datetime(2026, 12, 1, tzinfo=UTC))
        self.log = FakeLogService(self.clock)
        self.engines = FakeEngines({'e': INITIAL_STATE})
        self.are_terms_fresh = True
        self.is_drained = True
        deps = OrderDeps(
            'vm',
            self.log,
            self.clock,
            EventLog('scheduler', 'a1', self.clock),
            NullMetrics(),
        )
        sources = OrderSources(
            lambda: None,
            lambda: self.are_terms_fresh,
            lambda: (),
            lambda: (),
            lambda *_: self.is_drained,
        )
        self.permits = LoadPermits(deps)
        self.issuer = OrderIssuer(
            KEY, sources, deps, self.permits, self.engines
        )

    async def run_rounds(
        self,
        target: EngineTarget,
        *,
        checks_fence: bool = True,
        count: int = 8,
    ) -> list[Order]:
        """Run some rounds; return the orders that the engine accepted."""
        vm = Vm('e', '127.0.0.1', 1, 'llm', 'walton', RunnerState.LIVE)
        plan = EnginePlan(target, checks_fence, WeightStore(), (vm,))
        before = len(self.engines.orders)
        for _ in range(count):
            await self.permits.refresh(plan.weight_store)
            await self.issuer.run_round(plan)
            self.clock.advance(1)
        return self.engines.orders[before:]

    def add_other_claim(self) -> None:
        """Append another VM's claim on the shard."""
        other = ClaimRecord(claim_id='other', shard=0, shards=1, by='vm-2')
        self.log.streams[CLAIMS_STREAM].records.append(other.encode())


async def test_a_fence_is_installed_before_the_first_change() -> None:
    fixture = IssuerFixture()

    assert await fixture.run_rounds(NEW_VERSION) == [
        FENCE_ONLY,
        LOAD_NEW_VERSION,
    ]
    assert not fixture.issuer.unschedulable
    assert not fixture.issuer.mismatch_count


async def test_no_fence_is_installed_where_engines_ignore_fences() -> None:
    assert await IssuerFixture().run_rounds(
        NEW_VERSION, checks_fence=False
    ) == [LOAD_NEW_VERSION]


async def test_a_claim_whose_reply_was_lost_is_read_back() -> None:
    fixture = IssuerFixture()
    fixture.log.streams[CLAIMS_STREAM].lose_replies = 1

    assert await fixture.run_rounds(NEW_ROLE) == [
        FENCE_ONLY,
        SetRole(EngineRole.DECODE),
    ]
    assert len(fixture.log.streams[CLAIMS_STREAM].records) == 1


async def test_a_claim_that_was_not_appended_is_appended_again() -> None:
    fixture = IssuerFixture()
    fixture.log.streams[CLAIMS_STREAM].lose_records = 1

    assert not await fixture.run_rounds(NEW_ROLE, count=3)
    assert await fixture.run_rounds(NEW_ROLE) == [
        FENCE_ONLY,
        SetRole(EngineRole.DECODE),
    ]


async def test_no_orders_begin_without_the_log() -> None:
    fixture = IssuerFixture()
    fixture.log.is_down = True

    assert not await fixture.run_rounds(NEW_ROLE)
    assert not fixture.issuer.unschedulable


@pytest.mark.parametrize('checks_fence', [True, False])
async def test_a_holder_goes_on_without_the_log_where_fences_are_checked(
    checks_fence: bool,
) -> None:
    fixture = IssuerFixture()
    await fixture.run_rounds(EngineTarget('m', '1'), checks_fence=checks_fence)
    fixture.log.is_down = True

    orders = await fixture.run_rounds(NEW_ROLE, checks_fence=checks_fence)

    assert orders == [SetRole(EngineRole.DECODE)] * checks_fence


async def test_no_engine_leaves_service_for_a_load_without_the_log() -> None:
    fixture = IssuerFixture()
    await fixture.run_rounds(EngineTarget('m', '1'))
    fixture.log.is_down = True

    for _ in range(5):
        assert not await fixture.run_rounds(NEW_VERSION, count=1)
        assert not fixture.issuer.unschedulable


async def test_a_superseded_issuer_stops_in_its_next_round() -> None:
    fixture = IssuerFixture()
    await fixture.run_rounds(EngineTarget('m', '1'))
    fixture.add_other_claim()

    assert not await fixture.run_rounds(NEW_ROLE, checks_fence=False, count=1)


async def test_outdated_terms_cause_no_orders() -> None:
    fixture = IssuerFixture()
    fixture.are_terms_fresh = False

    assert not await fixture.run_rounds(NEW_ROLE)


async def test_a_busy_engine_gets_no_order_and_no_new_work() -> None:
    fixture = IssuerFixture()
    fixture.is_drained = False

    assert await fixture.run_rounds(NEW_VERSION) == [FENCE_ONLY]
    assert fixture.issuer.unschedulable == {'e'}


async def test_a_lost_reply_of_an_order_is_resolved_by_the_engine_state() -> (
    None
):
    fixture = IssuerFixture()
    await fixture.run_rounds(EngineTarget('m', '1'))
    fixture.engines.error = REPLY_LOST

    assert await fixture.run_rounds(NEW_VERSION) == [LOAD_NEW_VERSION]
    assert not fixture.issuer.unschedulable
    assert fixture.permits.count_available(WeightStore()) == 2


async def test_an_order_without_effect_is_sent_again_later() -> None:
    fixture = IssuerFixture()
    fixture.engines.ignores_orders = True

    assert await fixture.run_rounds(NEW_VERSION) == [
        FENCE_ONLY,
        LOAD_NEW_VERSION,
    ]
    assert not fixture.issuer.unschedulable
    assert fixture.permits.count_available(WeightStore()) == 2
    fixture.clock.advance(RETRY_DELAY_S)
    assert LOAD_NEW_VERSION in await fixture.run_rounds(NEW_VERSION)


async def test_a_permit_that_came_late_is_released() -> None:
    fixture = IssuerFixture()
    await fixture.run_rounds(EngineTarget('m', '1'))
    fixture.log.append_delay_s = PERMIT_VALIDITY_S

    assert not await fixture.run_rounds(NEW_VERSION)
    fixture.log.append_delay_s = 0
    assert await fixture.run_rounds(NEW_VERSION) == [LOAD_NEW_VERSION]
