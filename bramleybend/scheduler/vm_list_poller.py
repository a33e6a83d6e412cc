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


class VmListPoller:
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
        self.is_available = False
        self.last_read_at = float('-inf')
        self._client = vms
        self._poll_s = poll_s
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._leaving_seen_at: dict[str, float] = {}

    @property
    def runners(self) -> tuple[Vm, ...]:
        """Upstream VMs."""
        return tuple(vm for vm in self.vms if vm.service != ENTRY_SERVICE)

    @property
    def entries(self) -> tuple[Vm, ...]:
        """The system's own VMs."""
        return tuple(vm for vm in self.vms if vm.service == ENTRY_SERVICE)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self._poll_s)

    async def poll(self) -> None:
        """Read the list once."""
        match await self._client.fetch():
            case Ok(()) if self.vms:
                # A list service that has just started has nothing yet; taken
                # at its word it would end all service at once.
                self._mark_unavailable('the VM list is empty')
            case Ok(vms):
                self._apply_list(vms)
            case Err(problem):
                self._mark_unavailable(problem.detail)

    def _mark_unavailable(self, detail: str) -> None:
        self._metrics.count(Metric.LIST_ERRORS)
        if self.is_available:
            self._events.record('list_down', detail=detail)
        self.is_available = False

    def _apply_list(self, vms: tuple[Vm, ...]) -> None:
        now = self._clock.monotonic()
        before = {vm.name: vm for vm in self.vms}
        vms = tuple(self._keep_leaving(vm, now) for vm in vms)
        for vm in vms:
            if before.get(vm.name) != vm:
                self._events.record(
                    'vm_listed',
                    vm=vm.name,
                    endpoint=vm.endpoint,
                    state=vm.state,
                )
        self.vms = vms
        self.is_available = True
        self.last_read_at = now

    def _keep_leaving(self, vm: Vm, now: float) -> Vm:
        """Keep a VM leaving that an older copy of the list shows live."""
        key = f'{vm.name}@{vm.endpoint}'
        if vm.state is RunnerState.LEAVING:
            self._leaving_seen_at[key] = now
            return vm
        seen_at = self._leaving_seen_at.get(key)
        if seen_at is None or now - seen_at > LEAVING_HOLD_S:
            self._leaving_seen_at.pop(key, None)
            return vm
        return replace(vm, state=RunnerState.LEAVING)
