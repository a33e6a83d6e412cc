"""Runs an order issuer for each owned shard whose terms declare engines."""

import asyncio
from typing import Final

from bramleybend.clients.engine_client import (
    EngineClient,
    HttpEngineClient,
)
from bramleybend.decisions.ownership import shard_of
from bramleybend.metrics import Metric
from bramleybend.models import RunnerState, Terms, Vm
from bramleybend.scheduler.load_permits import LoadPermits
from bramleybend.scheduler.order_deps import (
    EnginePlan,
    OrderDeps,
    OrderSources,
    ShardKey,
)
from bramleybend.scheduler.order_issuer import OrderIssuer

ROUND_INTERVAL_S: Final = 0.5


class OrderManager:
    """Starts an issuer when a shard becomes owned and stops it afterwards."""

    def __init__(
        self,
        sources: OrderSources,
        deps: OrderDeps,
        engines: EngineClient,
    ) -> None:
        """Start without issuers."""
        self._sources = sources
        self._deps = deps
        self._engines = engines
        self._permits = LoadPermits(deps)
        self._issuers: dict[ShardKey, OrderIssuer] = {}
        self._issuer_tasks: dict[ShardKey, asyncio.Task[None]] = {}
        self._gauged_services: frozenset[str] = frozenset()

    def is_schedulable(self, runner: str) -> bool:
        """Whether no issuer keeps a runner from getting new work."""
        return not any(
            runner in issuer.unschedulable for issuer in self._issuers.values()
        )

    async def run(self) -> None:
        """Start and stop issuers until cancelled."""
        try:
            while True:
                await self._update_issuers()
                await asyncio.sleep(ROUND_INTERVAL_S)
        finally:
            for key in tuple(self._issuer_tasks):
                self._stop_issuer(key)

    async def _update_issuers(self) -> None:
        terms = self._sources.terms()
        wanted = _list_keys(terms, self._sources) if terms else set()
        for key in self._issuers.keys() - wanted:
            self._stop_issuer(key)
        for key in wanted - self._issuers.keys():
            self._start_issuer(key)
        if terms and wanted:
            await self._permits.refresh(terms.weight_store)
        self._send_gauges()

    def _start_issuer(self, key: ShardKey) -> None:
        issuer = OrderIssuer(
            key,
            self._sources,
            self._deps,
            self._permits,
            self._engines,
        )
        self._issuers[key] = issuer
        self._issuer_tasks[key] = asyncio.create_task(
            self._run_issuer(key, issuer)
        )

    def _stop_issuer(self, key: ShardKey) -> None:
        self._issuers.pop(key)
        self._issuer_tasks.pop(key).cancel()

    async def _run_issuer(self, key: ShardKey, issuer: OrderIssuer) -> None:
        while True:
            plan = _make_plan(key, self._sources)
            if plan is not None:
                await issuer.run_round(plan)
            await asyncio.sleep(ROUND_INTERVAL_S)

    def _send_gauges(self) -> None:
        # A gauge keeps its last value, so 0 is sent for services that were
        # gauged before and have no issuer here now.
        mismatch_counts = dict.fromkeys(self._gauged_services, 0)
        for key, issuer in self._issuers.items():
            mismatch_counts[key.service] = (
                mismatch_counts.get(key.service, 0) + issuer.mismatch_count
            )
        self._gauged_services = frozenset(mismatch_counts)
        for service, count in mismatch_counts.items():
            self._deps.metrics.gauge(
                Metric.ENGINES_WRONG,
                count,
                service=service,
            )


def make_order_manager(sources: OrderSources, deps: OrderDeps) -> OrderManager:
    """Build a manager that sends orders over HTTP."""
    return OrderManager(sources, deps, HttpEngineClient())


def _list_keys(terms: Terms, sources: OrderSources) -> set[ShardKey]:
    keys: set[ShardKey] = set()
    for name, shard in sources.owned_shards():
        service = terms.services.get(name)
        if service and service.engines and shard < service.shards:
            keys.add(ShardKey(name, shard, service.shards))
    return keys


def _make_plan(key: ShardKey, sources: OrderSources) -> EnginePlan | None:
    terms = sources.terms()
    service = terms.services.get(key.service) if terms else None
    if terms is None or service is None or service.engines is None:
        return None
    vms = tuple(
        vm
        for vm in sources.runners()
        if vm.state is RunnerState.LIVE and _is_in_shard(key, vm)
    )
    return EnginePlan(
        service.engines, service.checks_fence, terms.weight_store, vms
    )


def _is_in_shard(key: ShardKey, vm: Vm) -> bool:
    if vm.service != key.service:
        return False
    return shard_of(vm.name, key.shard_count) == key.shard
