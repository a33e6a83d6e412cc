"""Gives orders under a claim, and stops when the claim is lost."""

from collections.abc import Mapping
from typing import Any

from bramleybend.clients.engine_orders import EngineOrders, order_fields
from bramleybend.decisions.orders import EngineState, Order, SetRole
from bramleybend.errors import ErrorKind, Problem
from bramleybend.metrics import Metric
from bramleybend.models import Vm
from bramleybend.scheduler.order_claims import ClaimHolder
from bramleybend.scheduler.order_deps import (
    OrderDeps,
    OrderSources,
    EnginePlan,
    ShardKey,
)


class OrderSender:
    """Sends one shard's orders with the fence of the claim on it."""

    def __init__(
        self,
        key: ShardKey,
        sources: OrderSources,
        deps: OrderDeps,
        engines: EngineOrders,
    ) -> None:
        """Claim nothing yet."""
        self.fenced_engines: set[str] = (
            set()
        )  # engines that know the present fence
        self._key = key
        self._sources = sources
        self._deps = deps
        self._engines = engines
        self._claims = ClaimHolder(key, deps)

    async def acquire_claim(self, plan: EnginePlan) -> bool:
        """Read the claims again, and say whether orders may go out now."""
        if not self._sources.are_terms_fresh():
            return False
        held = self._claims.fence
        may = await self._claims.acquire(checks_fence=plan.checks_fence)
        if self._claims.fence != held:
            self.fenced_engines.clear()
        return may

    async def install_fence(
        self,
        plan: EnginePlan,
        states: Mapping[str, EngineState],
    ) -> None:
        """Make every engine know this issuer before any other order.

        Until then an issuer that was paused, and wakes, would be obeyed by
        engines that this one has found nothing to order of. The order sets
        the role that the engine has, so it changes nothing but the fence.
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
        """Give one order; a higher fence at the engine ends the claim."""
        fence = self._claims.fence
        if fence is None:
            return Problem(
                ErrorKind.CONFLICT,
                'the claim on the engines was lost',
                'its next holder goes on',
            )
        kind = order_fields(order)['kind']
        self.record_event('order_sent', vm, kind=kind, fence=fence)
        problem = (await self._engines.send(vm, fence, order)).err()
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
