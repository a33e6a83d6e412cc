"""A workspace's callers on a network of entry VMs, in virtual time."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from bramleybend.decisions.allotments import Allowance, Tolerance
from tests.utils.peer_network import STEP_S, Network, Vm

# Of the rate, for requests that all VMs of an outage kept from being sent.
BACKLOG_S = 1.0


@dataclass
class Demand:
    """Requests of one workspace, each sent to a VM drawn at random."""

    network: Network
    allowance: Allowance
    tolerance: Tolerance
    per_s: float  # units
    units: float  # of one request
    are_runners_idle: bool = False
    let_in: list[tuple[float, float]] = field(default_factory=list)
    refused: list[tuple[float, str]] = field(default_factory=list)  # by VM
    _unsent: float = 0
    _rng: Random = field(default_factory=lambda: Random(3))

    def run(self, seconds: float) -> None:
        """Let time pass, and callers send."""
        end = self.network.clock.monotonic() + seconds
        while self.network.clock.monotonic() < end:
            self.network.run(STEP_S)
            self._unsent += self.per_s * STEP_S
            self._send()

    def restart(
        self, numbers: Sequence[int], down_s: float, within_s: float
    ) -> None:
        """End some VMs at once; they start again at random within a span."""
        began = self.network.clock.monotonic()
        ended = {vm.name: vm for vm in self._named(numbers)}
        for vm in ended.values():
            vm.is_up = False
        starts = sorted(
            (down_s + self._rng.uniform(0, within_s), number)
            for number in numbers
        )
        for after_s, number in starts:
            passed = self.network.clock.monotonic() - began
            self.run(max(after_s - passed, 0))
            capacity = ended[f'entry-{number}'].members.own.capacity
            self.network.add(number, f'after-{began:.2f}', capacity)

    def is_let_in_by(self, vm: Vm) -> bool:
        """Send one more request to a VM."""
        before = len(self.refused)
        self._ask(vm)
        return len(self.refused) == before

    def most_in_window(self) -> float:
        """Return the most that was let in within any window of the contract."""
        first, total, most = 0, float(0), float(0)
        for moment, units in self.let_in:
            total += units
            while self.let_in[first][0] < moment - self.tolerance.window_s:
                total -= self.let_in[first][1]
                first += 1
            most = max(most, total)
        return most

    def tolerated(self) -> float:
        """Return what the contracts allow in a window."""
        rate, burst = self.allowance.rate_per_s, self.allowance.burst
        allotted = rate * self.tolerance.window_s + burst
        return allotted + self.tolerance.units(rate, burst)

    def _send(self) -> None:
        up = self.network.up()
        if not up:
            self._unsent = min(self._unsent, self.per_s * BACKLOG_S)
            return
        while self._unsent >= self.units:
            self._unsent -= self.units
            self._ask(self._rng.choice(up))

    def _ask(self, vm: Vm) -> None:
        now = self.network.clock.monotonic()
        vm.allotments.tolerance = self.tolerance
        verdict = vm.allotments.admit(
            'busy',
            self.allowance,
            self.units,
            now,
            vm.members.alive_fraction(now),
            are_runners_idle=self.are_runners_idle,
        )
        if verdict.is_admitted:
            self.let_in.append((now, self.units))
        else:
            self.refused.append((now, vm.name))

    def _named(self, numbers: Iterable[int]) -> list[Vm]:
        names = {f'entry-{number}' for number in numbers}
        return [vm for vm in self.network.up() if vm.name in names]
