"""Follows the VM list; while it is down the last word stays in force."""

import asyncio
from dataclasses import replace
from typing import Final

from result import Err, Ok

from bramleybend.clients.vm_list import ENTRY_SERVICE, VmList
from bramleybend.clock import Clock
from bramleybend.events import EventLog
from bramleybend.metrics import Metric, Metrics
from bramleybend.models import RunnerState, Vm

# A state that turned back would send work to an upstream on its way out: a
# lagging list may still show as live what was leaving a moment ago.
LEAVING_HOLD_S: Final = 30.0


class ListWatch:
    """Polls the list and keeps what it last said."""

    def __init__(
        self,
        vms: VmList,
        poll_s: float,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        """Know no VM yet."""
        self.vms: tuple[Vm, ...] = ()
        self.ok = False
        self.heard_at = float('-inf')
        self._list = vms
        self._poll_s = poll_s
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._leaving: dict[str, float] = {}

    @property
    def runners(self) -> tuple[Vm, ...]:
        """Upstream VMs."""
        return tuple(vm for vm in self.vms if vm.service != ENTRY_SERVICE)

    @property
    def entries(self) -> tuple[Vm, ...]:
        """The system's own VMs."""
        return tuple(vm for vm in self.vms if vm.service == ENTRY_SERVICE)

    async def watch(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self._poll_s)

    async def poll(self) -> None:
        """Read the list once."""
        match await self._list.fetch():
            case Ok(()) if self.vms:
                # A list service that has just started has nothing yet; taken
                # at its word it would end all service at once.
                self._distrust('the VM list is empty')
            case Ok(vms):
                self._take(vms)
            case Err(problem):
                self._distrust(problem.detail)

    def _distrust(self, detail: str) -> None:
        self._metrics.count(Metric.LIST_ERRORS)
        if self.ok:
            self._events.record('list_down', detail=detail)
        self.ok = False

    def _take(self, vms: tuple[Vm, ...]) -> None:
        now = self._clock.monotonic()
        before = {vm.name: vm for vm in self.vms}
        vms = tuple(self._steadied(vm, now) for vm in vms)
        for vm in vms:
            if before.get(vm.name) != vm:
                self._events.record(
                    'vm_listed',
                    vm=vm.name,
                    endpoint=vm.endpoint,
                    state=vm.state,
                )
        self.vms = vms
        self.ok = True
        self.heard_at = now

    def _steadied(self, vm: Vm, now: float) -> Vm:
        """Keep a VM leaving that an older copy of the list shows live."""
        key = f'{vm.name}@{vm.endpoint}'
        if vm.state is RunnerState.LEAVING:
            self._leaving[key] = now
            return vm
        seen_at = self._leaving.get(key)
        if seen_at is None or now - seen_at > LEAVING_HOLD_S:
            self._leaving.pop(key, None)
            return vm
        return replace(vm, state=RunnerState.LEAVING)
