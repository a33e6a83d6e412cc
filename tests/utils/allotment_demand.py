"""Simulated callers of a workspace on an in-memory network of VMs."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from bramleybend.decisions.allotment_models import Allowance, Tolerance
from tests.utils.peer_network import STEP_S, Network, Vm

RUN_S = 0.5  # until a run breaks off
# While no VM is up, callers queue at most this many seconds of demand.
MAX_BACKLOG_S = 1.0


@dataclass
class Demand:
    """Sends requests of one workspace, each to a random VM."""

    network: Network
    allowance: Allowance
    tolerance: Tolerance
    per_s: float  # demand in units per second
    units: float  # cost of one request
    are_runners_idle: bool = False
    failing_share: float = 0  # of the first tries; each is tried once more
    # Time and units of each admitted request.
    admitted: list[tuple[float, float]] = field(default_factory=list)
    # Time and VM name of each refused request.
    refused: list[tuple[float, str]] = field(default_factory=list)
    # When each failing run breaks off, and its VM.
    _failing: list[tuple[float, Vm]] = field(default_factory=list)
    _unsent_units: float = 0
    _failure_rng: Random = field(default_factory=lambda: Random(4))
    _rng: Random = field(default_factory=lambda: Random(3))

    def run(self, seconds: float) -> None:
        """Advance the network and send the demand of that time."""
        end = self.network.clock.monotonic() + seconds
        while self.network.clock.monotonic() < end:
            self.network.run(STEP_S)
            self._try_again()
            self._unsent_units += self.per_s * STEP_S
            self._send()

    def restart(
        self, numbers: Sequence[int], down_s: float, within_s: float
    ) -> None:
        """Stop VMs at the same time and restart them at random times.

        Each restarts between `down_s` and `down_s + within_s` later.
        """
        stopped_at = self.network.clock.monotonic()
        stopped_vms = {vm.name: vm for vm in self._running_vms(numbers)}
        for vm in stopped_vms.values():
            vm.is_up = False
        starts = sorted(
            (down_s + self._rng.uniform(0, within_s), number)
            for number in numbers
        )
        for after_s, number in starts:
            passed = self.network.clock.monotonic() - stopped_at
            self.run(max(after_s - passed, 0))
            capacity = stopped_vms[f'entry-{number}'].members.own.capacity
            self.network.add(number, f'after-{stopped_at:.2f}', capacity)

    def freeze(self, numbers: Sequence[int], seconds: float) -> None:
        """Freeze VMs; what is sent to them waits, `MAX_BACKLOG_S` at most."""
        frozen = self._running_vms(numbers)
        for vm in frozen:
            vm.is_frozen = True
        self.run(seconds)
        backlog = self.per_s * min(seconds, MAX_BACKLOG_S) / self.units
        waiting = round(backlog / len(self.network.vms) / 2)
        for vm in frozen:
            vm.is_frozen = False
            for _ in range(waiting):
                self._request_admission(vm)
            self.network.read_unread(vm)
            for _ in range(waiting):
                self._request_admission(vm)

    def is_admitted_by(self, vm: Vm) -> bool:
        """Send one more request to a VM; return whether it is admitted."""
        before = len(self.refused)
        self._request_admission(vm)
        return len(self.refused) == before

    def max_units_in_window(self) -> float:
        """Return the maximum units admitted in any window of the tolerance."""
        first, total, max_units = 0, float(0), float(0)
        for moment, units in self.admitted:
            total += units
            while self.admitted[first][0] < moment - self.tolerance.window_s:
                total -= self.admitted[first][1]
                first += 1
            max_units = max(max_units, total)
        return max_units

    def max_tolerated_units(self) -> float:
        """Return the units that allowance and tolerance permit in a window."""
        rate, burst = self.allowance.rate_per_s, self.allowance.burst
        allotted = rate * self.tolerance.window_s + burst
        return allotted + self.tolerance.units(rate, burst)

    def _send(self) -> None:
        up = [vm for vm in self.network.running_vms() if not vm.is_frozen]
        if not up:
            self._unsent_units = min(
                self._unsent_units, self.per_s * MAX_BACKLOG_S
            )
            return
        while self._unsent_units >= self.units:
            self._unsent_units -= self.units
            self._request_admission(self._rng.choice(up))

    def _request_admission(self, vm: Vm) -> None:
        now = self.network.clock.monotonic()
        vm.allotments.tolerance = self.tolerance
        verdict = vm.allotments.admit(
            'busy',
            self.allowance,
            self.units,
            now,
            vm.members.fleet_view(now),
            are_runners_idle=self.are_runners_idle,
        )
        if verdict.is_admitted:
            self.admitted.append((now, self.units))
            if self.failing_share > self._failure_rng.random():
                self._failing.append((now + RUN_S, vm))
        else:
            self.refused.append((now, vm.name))

    def _try_again(self) -> None:
        now = self.network.clock.monotonic()
        broken = [(at, vm) for at, vm in self._failing if at <= now]
        self._failing = [(at, vm) for at, vm in self._failing if at > now]
        for at, vm in broken:
            verdict = vm.allotments.admit_further_try(
                'busy',
                self.allowance,
                self.units,
                now,
                vm.members.fleet_view(now),
            )
            if verdict.is_admitted:
                self.admitted.append((now, self.units))
            elif vm.is_up:
                self._failing.append((at, vm))

    def _running_vms(self, numbers: Iterable[int]) -> list[Vm]:
        names = {f'entry-{number}' for number in numbers}
        return [vm for vm in self.network.running_vms() if vm.name in names]
