"""Polls the VM list; while that service is down, the last list holds."""

import asyncio
from dataclasses import replace
from typing import Final

from result import Err, Ok

from bramleybend.clients.vm_list import ENTRY_SERVICE, VmList
from bramleybend.clock import Clock
from bramleybend.events import EventLog
from bramleybend.metrics import Metric, Metrics
from bramleybend.models import Vm, VmState

# A list service that lags may show a VM as live that was leaving a moment ago.
# If the VM's state went back to live, requests would go to an upstream that is
# about to stop.
MIN_LEAVING_S: Final = 30.0


class VmListPoller:
    """Polls the VM list and keeps the last list that could be used."""

    def __init__(
        self,
        vms: VmList,
        poll_s: float,
        clock: Clock,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        """Know no VMs before the first poll."""
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
        """The upstream VMs on the list."""
        return tuple(vm for vm in self.vms if vm.service != ENTRY_SERVICE)

    @property
    def entry_vms(self) -> tuple[Vm, ...]:
        """The entry VMs on the list."""
        return tuple(vm for vm in self.vms if vm.service == ENTRY_SERVICE)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self._poll_s)

    async def poll(self) -> None:
        """Fetch the list once."""
        match await self._client.fetch():
            case Ok(()) if self.vms:
                # A list service that has just started may have no entries
                # yet. Applying an empty list would stop all requests.
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
        previous = {vm.name: vm for vm in self.vms}
        vms = tuple(self._keep_leaving(vm, now) for vm in vms)
        for vm in vms:
            if previous.get(vm.name) != vm:
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
        """Return the VM as leaving if it was leaving a short time ago."""
        key = f'{vm.name}@{vm.endpoint}'
        if vm.state is VmState.LEAVING:
            self._leaving_seen_at[key] = now
            return vm
        leaving_seen_at = self._leaving_seen_at.get(key)
        if leaving_seen_at is None or now - leaving_seen_at > MIN_LEAVING_S:
            self._leaving_seen_at.pop(key, None)
            return vm
        return replace(vm, state=VmState.LEAVING)
