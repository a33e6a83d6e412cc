"""Sends orders to engines under a claim, and stops when it is lost."""

from collections.abc import Mapping
from typing import Any

from bramleybend.clients.engine_client import EngineClient, order_fields
from bramleybend.decisions.orders import EngineState, Order, SetRole
from bramleybend.errors import ErrorKind, Problem
from bramleybend.metrics import Metric
from bramleybend.models import Vm
from bramleybend.scheduler.order_claims import ClaimHolder
from bramleybend.scheduler.order_deps import (
    EnginePlan,
    OrderDeps,
    OrderSources,
    ShardKey,
)


class OrderSender:
    """Sends one shard's orders with the fence of its claim."""

    def __init__(
        self,
        key: ShardKey,
        sources: OrderSources,
        deps: OrderDeps,
        engines: EngineClient,
    ) -> None:
        """Start without a claim."""
        # Engines that have received the fence of the current claim.
        self.fenced_engines: set[str] = set()
        self._key = key
        self._sources = sources
        self._deps = deps
        self._engines = engines
        self._claims = ClaimHolder(key, deps)

    async def acquire_claim(self, plan: EnginePlan) -> bool:
        """Refresh or acquire the claim; return whether orders may be sent."""
        if not self._sources.are_terms_fresh():
            return False
        previous_fence = self._claims.fence
        may_send = await self._claims.acquire(checks_fence=plan.checks_fence)
        if self._claims.fence != previous_fence:
            self.fenced_engines.clear()
        return may_send

    async def install_fence(
        self,
        plan: EnginePlan,
        states: Mapping[str, EngineState],
    ) -> None:
        """Send this issuer's fence to every engine before any other order.

        Otherwise an engine that needs no order would never see the new fence,
        and would still obey an earlier issuer that wakes from a pause. The
        order sets the role that the engine already has, so it changes nothing
        but the fence.
        """
        if not plan.checks_fence:
            return
        for vm in plan.vms:
            state = states.get(vm.name)
            if state is None or vm.name in self.fenced_engines:
                continue
            if await self.send(vm, SetRole(state.role)) is None:
                self.fenced_engines.add(vm.name)

    async def send(self, vm: Vm, order: Order) -> Problem | None:
        """Send one order; if the engine knows a higher fence, end the claim."""
        fence = self._claims.fence
        if fence is None:
            return Problem(
                ErrorKind.CONFLICT,
                'the claim on the engines was lost',
                'its next holder goes on',
            )
        kind = order_fields(order)['kind']
        self.record_event('order_sent', vm, kind=kind, fence=fence)
        problem = (await self._engines.send_order(vm, fence, order)).err()
        outcome = problem.kind if problem else 'accepted'
        self._deps.metrics.count(Metric.ORDERS, kind=kind, outcome=outcome)
        if problem is not None:
            self.record_event(
                'order_refused', vm, kind=problem.kind, fence=fence
            )
            if problem.kind is ErrorKind.CONFLICT:
                self._claims.abandon()
        return problem

    def record_event(self, event: str, vm: Vm, **fields: Any) -> None:
        """Record an event about one engine of the shard."""
        self._deps.events.record(
            event,
            service=self._key.service,
            shard=self._key.shard,
            runner=vm.name,
            **fields,
        )
