"""The issuer that orders a shard's engines into their declared state.

Every round starts from the state that the engines report. So an issuer needs
no stored state after a restart, and it sees the effect of orders whose reply
was lost or that a superseded issuer sent.
"""

import asyncio
from collections.abc import Sequence

from result import Ok

from bramleybend.clients.engine_client import EngineClient
from bramleybend.decisions.orders import (
    EngineState,
    Order,
    engines_to_change,
    matches_target,
    needs_weights,
    next_order,
    unavailable_engines,
)
from bramleybend.errors import ErrorKind
from bramleybend.models import EngineTarget, Vm
from bramleybend.scheduler.engine_changes import (
    ChangePhase,
    EngineChange,
    collect_load_ids,
    count_draining,
    is_order_finished,
    make_engine_views,
)
from bramleybend.scheduler.load_permits import LoadPermits
from bramleybend.scheduler.order_deps import (
    EnginePlan,
    OrderDeps,
    OrderSources,
    ShardKey,
)
from bramleybend.scheduler.order_sender import OrderSender


class OrderIssuer:
    """Sends orders to a shard's engines while it holds the claim on them."""

    def __init__(
        self,
        key: ShardKey,
        sources: OrderSources,
        deps: OrderDeps,
        permits: LoadPermits,
        engines: EngineClient,
    ) -> None:
        """Know no engine's state before the first round."""
        self.unschedulable: frozenset[str] = frozenset()
        self.mismatch_count = 0
        self._key = key
        self._sources = sources
        self._deps = deps
        self._permits = permits
        self._engines = engines
        self._sender = OrderSender(key, sources, deps, engines)
        self._states: dict[str, EngineState] = {}
        self._changes: dict[str, EngineChange] = {}
        self._target: EngineTarget | None = None

    async def run_round(self, plan: EnginePlan) -> None:
        """Read every engine's state and send the orders that are due."""
        self._drop_stale_changes(plan)
        await self._read_states(plan.vms)
        self._update_status(plan)
        orphaned_loads = self._list_orphaned_loads(plan)
        if await self._sender.acquire_claim(plan):
            if self._sender.fenced_engines:
                await self._permits.release_all(orphaned_loads)
            await self._sender.install_fence(plan, self._states)
            self._start_draining(plan)
        else:
            self._cancel_draining()
        for change in tuple(self._changes.values()):
            await self._advance_change(change, plan)
        self._update_status(plan)

    # ---- state of the engines

    def _drop_stale_changes(self, plan: EnginePlan) -> None:
        now = self._deps.clock.monotonic()
        listed = {vm.name for vm in plan.vms}
        has_new_target = plan.target != self._target
        self._target = plan.target
        for name, change in tuple(self._changes.items()):
            has_failed = change.phase is ChangePhase.FAILED
            is_stale = change.is_retry_due(now) or (
                has_new_target and has_failed
            )
            if is_stale or name not in listed:
                self._changes.pop(name)

    async def _read_states(self, vms: Sequence[Vm]) -> None:
        replies = await asyncio.gather(*map(self._engines.fetch_state, vms))
        self._states = {
            vm.name: reply.ok_value
            for vm, reply in zip(vms, replies, strict=True)
            if isinstance(reply, Ok)
        }

    def _update_status(self, plan: EnginePlan) -> None:
        views = make_engine_views(plan.vms, self._states, self._changes)
        self.unschedulable = unavailable_engines(views, plan.target)
        self.mismatch_count = sum(
            not matches_target(view.state, plan.target) for view in views
        )

    def _list_orphaned_loads(self, plan: EnginePlan) -> list[str]:
        """Return open loads of earlier issuers that can't be under way.

        The engine is not loading and refuses orders of earlier issuers, as it
        has this issuer's fence. An engine that doesn't check fences may still
        be ordered to load by an earlier issuer that wakes from a pause, so the
        loads of such engines have to time out.
        """
        if not plan.checks_fence:
            return []
        own_load_ids = collect_load_ids(self._changes.values())
        return [
            load_id
            for name, state in self._states.items()
            if not state.loading and name in self._sender.fenced_engines
            for load_id in self._permits.list_open_loads(name)
            if load_id not in own_load_ids
        ]

    # ---- changes of engines

    def _cancel_draining(self) -> None:
        """Return draining engines to service; orders already sent go on."""
        self._changes = {
            name: change
            for name, change in self._changes.items()
            if change.phase is not ChangePhase.DRAINING
        }

    def _start_draining(self, plan: EnginePlan) -> None:
        views = make_engine_views(plan.vms, self._states, self._changes)
        available_permits = self._permits.count_available(
            plan.weight_store
        ) - count_draining(self._changes)
        vm_by_name = {vm.name: vm for vm in plan.vms}
        max_loads = plan.weight_store.loads_at_once
        for name in engines_to_change(views, plan.target, max_loads):
            order = next_order(self._states[name], plan.target)
            needs_permit = order is not None and needs_weights(order)
            if needs_permit and available_permits <= 0:
                continue
            available_permits -= needs_permit
            now = self._deps.clock.monotonic()
            self._changes[name] = EngineChange(
                vm_by_name[name], ChangePhase.DRAINING, now
            )

    async def _advance_change(
        self, change: EngineChange, plan: EnginePlan
    ) -> None:
        match change.phase:
            case ChangePhase.DRAINING:
                if await self._is_drained(change):
                    await self._issue_order(change, plan)
            case ChangePhase.ORDERED:
                await self._check_order(change, plan)

    async def _is_drained(self, change: EngineChange) -> bool:
        # The engine may have runs that this VM doesn't know: granted by
        # another VM, or of a gateway that died. So the engine's own report is
        # checked too. The report is `age_s` old and counts only if it was
        # taken after the last run granted here had ended.
        key, name = self._key, change.vm.name
        if not self._sources.is_drained(key.service, key.shard, name):
            change.drained_at = None
            return False
        now = self._deps.clock.monotonic()
        if change.drained_at is None:
            change.drained_at = now
        work = (await self._engines.fetch_load(change.vm)).ok()
        if work is None or work.runs:
            return False
        return now - change.drained_at > work.age_s

    async def _issue_order(
        self, change: EngineChange, plan: EnginePlan
    ) -> None:
        state = self._states.get(change.vm.name)
        if state is None or state.loading:
            return
        order = next_order(state, plan.target)
        if order is None or not await self._prepare_order(change, order, plan):
            await self._end_load(change)
            self._changes.pop(change.vm.name)
            return
        change.order = order
        change.enter_phase(ChangePhase.ORDERED, self._deps.clock.monotonic())
        problem = await self._sender.send(change.vm, order)
        if problem is None:
            return
        if problem.kind is ErrorKind.CONFLICT:
            await self._end_load(change)
            self._changes.pop(change.vm.name)
        elif problem.kind is ErrorKind.RUNNER_REFUSED:
            await self._fail_change(change)

    async def _prepare_order(
        self,
        change: EngineChange,
        order: Order,
        plan: EnginePlan,
    ) -> bool:
        """Acquire permit and claim; return whether to send the order.

        The engine's state is read last. An engine that doesn't check fences
        shows only in its state what a later issuer has ordered meanwhile.
        """
        if needs_weights(order):
            change.permit = await self._permits.acquire(
                change.vm.name,
                plan.weight_store,
            )
            if change.permit is None:
                return False
        if not await self._sender.acquire_claim(plan):
            return False
        state = (await self._engines.fetch_state(change.vm)).ok()
        if state is None or state.loading:
            return False
        now = self._deps.clock.monotonic()
        may_load = change.permit is None or change.permit.is_fresh(now)
        return may_load and next_order(state, plan.target) == order

    async def _check_order(
        self, change: EngineChange, plan: EnginePlan
    ) -> None:
        state = self._states.get(change.vm.name)
        now = self._deps.clock.monotonic()
        if not is_order_finished(change, state, plan.target, now):
            return
        await self._end_load(change)
        if matches_target(state, plan.target):
            self._changes.pop(change.vm.name)
            self._sender.record_event('engine_ready', change.vm)
        elif state and next_order(state, plan.target) == change.order:
            await self._fail_change(change)
        else:
            await self._issue_order(change, plan)

    async def _fail_change(self, change: EngineChange) -> None:
        await self._end_load(change)
        change.enter_phase(ChangePhase.FAILED, self._deps.clock.monotonic())
        self._sender.record_event('order_failed', change.vm)

    async def _end_load(self, change: EngineChange) -> None:
        if change.permit is not None:
            await self._permits.release(change.permit.load_id)
            change.permit = None
