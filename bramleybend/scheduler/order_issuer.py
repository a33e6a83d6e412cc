"""Orders the engines of one shard until each holds what is declared.

Every round reads what the engines hold and goes on from there. So nothing has
to be remembered over a restart, and an order whose reply was lost, or that an
overtaken issuer gave, is seen by what it did.
"""

import asyncio
from collections.abc import Sequence

from result import Ok

from bramleybend.clients.engine_orders import EngineOrders
from bramleybend.decisions.orders import (
    EngineState,
    Order,
    engines_to_change,
    is_right,
    needs_weights,
    next_order,
    unfit_engines,
)
from bramleybend.errors import ErrorKind
from bramleybend.models import EngineTarget, Vm
from bramleybend.scheduler.load_permits import LoadPermits
from bramleybend.scheduler.order_changes import (
    Change,
    Phase,
    count_draining,
    is_taken,
    loads_of,
    views_of,
)
from bramleybend.scheduler.order_deps import (
    OrderDeps,
    OrderPort,
    Plan,
    ShardKey,
)
from bramleybend.scheduler.order_sender import OrderSender


class ShardIssuer:
    """The one that orders a shard's engines, while its claim holds."""

    def __init__(
        self,
        key: ShardKey,
        port: OrderPort,
        deps: OrderDeps,
        permits: LoadPermits,
        engines: EngineOrders,
    ) -> None:
        """Know nothing of the engines yet."""
        self.unfit: frozenset[str] = frozenset()
        self.wrong = 0
        self._key = key
        self._port = port
        self._deps = deps
        self._permits = permits
        self._engines = engines
        self._sender = OrderSender(key, port, deps, engines)
        self._states: dict[str, EngineState] = {}
        self._changes: dict[str, Change] = {}
        self._target: EngineTarget | None = None

    async def round(self, plan: Plan) -> None:
        """Look at every engine and give what orders are due."""
        self._forget(plan)
        await self._read_states(plan.vms)
        self._judge(plan)
        lost_loads = self._lost_loads(plan)
        if await self._sender.may_issue(plan):
            if self._sender.planted:
                await self._permits.end_all(lost_loads)
            await self._sender.plant(plan, self._states)
            self._take_out(plan)
        else:
            self._put_back()
        for change in tuple(self._changes.values()):
            await self._advance(change, plan)
        self._judge(plan)

    # ---- what the engines hold

    def _forget(self, plan: Plan) -> None:
        now = self._deps.clock.monotonic()
        listed = {vm.name for vm in plan.vms}
        renewed = plan.target != self._target
        self._target = plan.target
        for name, change in tuple(self._changes.items()):
            failed = change.phase is Phase.FAILED
            over = change.is_forgotten(now) or (renewed and failed)
            if over or name not in listed:
                self._changes.pop(name)

    async def _read_states(self, vms: Sequence[Vm]) -> None:
        replies = await asyncio.gather(*map(self._engines.state, vms))
        self._states = {
            vm.name: reply.ok_value
            for vm, reply in zip(vms, replies, strict=True)
            if isinstance(reply, Ok)
        }

    def _judge(self, plan: Plan) -> None:
        views = views_of(plan.vms, self._states, self._changes)
        self.unfit = unfit_engines(views, plan.target)
        self.wrong = sum(
            not is_right(view.state, plan.target) for view in views
        )

    def _lost_loads(self, plan: Plan) -> list[str]:
        """Return loads of issuers before this one that must be over.

        The engine has refused them since this one's fence was planted, and it
        is not loading. Engines that do not check may still be told to load by
        a lost issuer that wakes, so there its loads have to time out.
        """
        if not plan.checks_fence:
            return []
        own = loads_of(self._changes.values())
        return [
            load_id
            for name, state in self._states.items()
            if not state.loading and name in self._sender.planted
            for load_id in self._permits.open_of(name)
            if load_id not in own
        ]

    # ---- one engine's change

    def _put_back(self) -> None:
        """Return what waits for an order to service; ordered ones go on."""
        self._changes = {
            name: change
            for name, change in self._changes.items()
            if change.phase is not Phase.DRAINING
        }

    def _take_out(self, plan: Plan) -> None:
        views = views_of(plan.vms, self._states, self._changes)
        room = self._permits.room(plan.store) - count_draining(self._changes)
        by_name = {vm.name: vm for vm in plan.vms}
        most = plan.store.loads_at_once
        for name in engines_to_change(views, plan.target, most):
            order = next_order(self._states[name], plan.target)
            needed = order is not None and needs_weights(order)
            if needed and room <= 0:
                continue
            room -= needed
            now = self._deps.clock.monotonic()
            self._changes[name] = Change(by_name[name], Phase.DRAINING, now)

    async def _advance(self, change: Change, plan: Plan) -> None:
        match change.phase:
            case Phase.DRAINING:
                if await self._is_drained(change):
                    await self._order(change, plan)
            case Phase.ORDERED:
                await self._follow_up(change, plan)

    async def _is_drained(self, change: Change) -> bool:
        # Gateways may have been granted the engine by another VM, or have
        # vanished over a run, so the engine's own word is asked for too. It
        # is late; what it saw before the last grant ended proves nothing.
        key, name = self._key, change.vm.name
        if not self._port.is_drained(key.service, key.shard, name):
            change.drained_at = None
            return False
        now = self._deps.clock.monotonic()
        if change.drained_at is None:
            change.drained_at = now
        work = (await self._engines.work(change.vm)).ok()
        if work is None or work.runs:
            return False
        return now - change.drained_at > work.age_s

    async def _order(self, change: Change, plan: Plan) -> None:
        state = self._states.get(change.vm.name)
        if state is None or state.loading:
            return
        order = next_order(state, plan.target)
        if order is None or not await self._prepare(change, order, plan):
            await self._end_load(change)
            self._changes.pop(change.vm.name)
            return
        change.order = order
        change.enter(Phase.ORDERED, self._deps.clock.monotonic())
        problem = await self._sender.send(change.vm, order)
        if problem is None:
            return
        if problem.kind is ErrorKind.CONFLICT:
            await self._end_load(change)
            self._changes.pop(change.vm.name)
        elif problem.kind is ErrorKind.RUNNER_REFUSED:
            await self._fail(change)

    async def _prepare(
        self,
        change: Change,
        order: Order,
        plan: Plan,
    ) -> bool:
        """Do what must come before an order; whether it still is to be given.

        The state is read last: where fences are ignored, what a successor has
        done meanwhile shows only there.
        """
        if needs_weights(order):
            change.permit = await self._permits.acquire(
                change.vm.name,
                plan.store,
            )
            if change.permit is None:
                return False
        if not await self._sender.may_issue(plan):
            return False
        state = (await self._engines.state(change.vm)).ok()
        if state is None or state.loading:
            return False
        now = self._deps.clock.monotonic()
        may_load = change.permit is None or change.permit.is_fresh(now)
        return may_load and next_order(state, plan.target) == order

    async def _follow_up(self, change: Change, plan: Plan) -> None:
        state = self._states.get(change.vm.name)
        now = self._deps.clock.monotonic()
        if not is_taken(change, state, plan.target, now):
            return
        await self._end_load(change)
        if is_right(state, plan.target):
            self._changes.pop(change.vm.name)
            self._sender.note('engine_ready', change.vm)
        elif state and next_order(state, plan.target) == change.order:
            await self._fail(change)
        else:
            await self._order(change, plan)

    async def _fail(self, change: Change) -> None:
        await self._end_load(change)
        change.enter(Phase.FAILED, self._deps.clock.monotonic())
        self._sender.note('order_failed', change.vm)

    async def _end_load(self, change: Change) -> None:
        if change.permit is not None:
            await self._permits.release(change.permit.load_id)
            change.permit = None
