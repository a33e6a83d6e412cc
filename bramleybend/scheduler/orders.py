"""Runs an issuer for every owned shard whose terms say what to hold."""

import asyncio
from typing import Final

from bramleybend.clients.engine_orders import (
    EngineOrders,
    HttpEngineOrders,
)
from bramleybend.decisions.ownership import shard_of
from bramleybend.metrics import Metric
from bramleybend.models import RunnerState, Terms, Vm
from bramleybend.scheduler.load_permits import LoadPermits
from bramleybend.scheduler.order_deps import (
    OrderDeps,
    OrderPort,
    Plan,
    ShardKey,
)
from bramleybend.scheduler.order_issuer import ShardIssuer

ROUND_S: Final = 0.5


class OrderManager:
    """Starts issuers with ownership and ends them with it."""

    def __init__(
        self,
        port: OrderPort,
        deps: OrderDeps,
        engines: EngineOrders,
    ) -> None:
        """Order nothing yet."""
        self._port = port
        self._deps = deps
        self._engines = engines
        self._permits = LoadPermits(deps)
        self._issuers: dict[ShardKey, ShardIssuer] = {}
        self._working: dict[ShardKey, asyncio.Task[None]] = {}
        self._gauged: frozenset[str] = frozenset()

    def is_fit(self, runner: str) -> bool:
        """Whether a runner may get work, as far as orders go."""
        return not any(
            runner in issuer.unfit for issuer in self._issuers.values()
        )

    async def follow(self) -> None:
        """Follow ownership and terms until cancelled."""
        try:
            while True:
                await self._look()
                await asyncio.sleep(ROUND_S)
        finally:
            for key in tuple(self._working):
                self._end(key)

    async def _look(self) -> None:
        terms = self._port.terms()
        wanted = _keys(terms, self._port) if terms else set()
        for key in self._issuers.keys() - wanted:
            self._end(key)
        for key in wanted - self._issuers.keys():
            self._begin(key)
        if terms and wanted:
            await self._permits.refresh(terms.weight_store)
        self._send_gauges()

    def _begin(self, key: ShardKey) -> None:
        issuer = ShardIssuer(
            key,
            self._port,
            self._deps,
            self._permits,
            self._engines,
        )
        self._issuers[key] = issuer
        self._working[key] = asyncio.create_task(self._work(key, issuer))

    def _end(self, key: ShardKey) -> None:
        self._issuers.pop(key)
        self._working.pop(key).cancel()

    async def _work(self, key: ShardKey, issuer: ShardIssuer) -> None:
        while True:
            plan = _plan(key, self._port)
            if plan is not None:
                await issuer.round(plan)
            await asyncio.sleep(ROUND_S)

    def _send_gauges(self) -> None:
        # A gauge keeps its last level, so services that moved on are told too.
        wrong = dict.fromkeys(self._gauged, 0)
        for key, issuer in self._issuers.items():
            wrong[key.service] = wrong.get(key.service, 0) + issuer.wrong
        self._gauged = frozenset(wrong)
        for service, count in wrong.items():
            self._deps.metrics.gauge(
                Metric.ENGINES_WRONG,
                count,
                service=service,
            )


def make_orders(port: OrderPort, deps: OrderDeps) -> OrderManager:
    """Build the manager of orders over HTTP."""
    return OrderManager(port, deps, HttpEngineOrders())


def _keys(terms: Terms, port: OrderPort) -> set[ShardKey]:
    keys: set[ShardKey] = set()
    for name, shard in port.owned():
        service = terms.services.get(name)
        if service and service.engines and shard < service.shards:
            keys.add(ShardKey(name, shard, service.shards))
    return keys


def _plan(key: ShardKey, port: OrderPort) -> Plan | None:
    terms = port.terms()
    service = terms.services.get(key.service) if terms else None
    if terms is None or service is None or service.engines is None:
        return None
    vms = tuple(
        vm
        for vm in port.runners()
        if vm.state is RunnerState.LIVE and _is_of(key, vm)
    )
    return Plan(service.engines, service.checks_fence, terms.weight_store, vms)


def _is_of(key: ShardKey, vm: Vm) -> bool:
    if vm.service != key.service:
        return False
    return shard_of(vm.name, key.shards) == key.shard
