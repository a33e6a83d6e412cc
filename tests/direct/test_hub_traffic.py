"""Messages between VMs must not fill the links to callers and runners."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from typing import Final, TypeAlias

import pytest

from bramleybend.direct.members import MAX_HUBS_PER_DOMAIN
from tests.utils.peer_network import DOMAINS, Network, Vm

VMS: Final = 84
WORKSPACES: Final = 16
LINK_MBPS: Final = 5
# A request that waits longer at its VM reaches a runner after its caller has
# left.
MAX_WAIT_S: Final = 0.5
BYTES_PER_S: Final = LINK_MBPS * 1_000_000 / 8

Datagram: TypeAlias = tuple[bytes, str, str]


@dataclass
class Links(Network):
    """A network in which the datagrams of a VM leave one after another."""

    # longest wait by sender's address
    waits: dict[str, float] = field(default_factory=dict)
    _free_at: dict[str, float] = field(default_factory=dict)
    _arrivals: list[tuple[float, int, Datagram]] = field(default_factory=list)
    _numbers: Iterator[int] = field(default_factory=count)

    def send(self, payload: bytes, sender: str, receiver: str) -> None:
        """Queue a datagram at its sender's link."""
        now = self.clock.monotonic()
        free_at = max(self._free_at.get(sender, 0), now)
        free_at += len(payload) / BYTES_PER_S
        self._free_at[sender] = free_at
        self.waits[sender] = max(self.waits.get(sender, 0), free_at - now)
        datagram = payload, sender, receiver
        heappush(self._arrivals, (free_at, next(self._numbers), datagram))

    def _deliver(self) -> None:
        now = self.clock.monotonic()
        while self._arrivals and self._arrivals[0][0] <= now:
            super().send(*heappop(self._arrivals)[-1])
        super()._deliver()


def _settled() -> Links:
    """Start VMs that each have spending of every workspace."""
    network = Links()
    for number in range(VMS):
        network.add(number)
    network.until_all_hear_all()
    for vm in network.up():
        for workspace in range(WORKSPACES):
            vm.spend(f'w{workspace}', 1000, network.clock.monotonic())
    network.run(6)
    network.waits.clear()
    return network


def _hubs(network: Network) -> list[Vm]:
    vms = network.up()
    first = vms[0].members
    return [vm for vm in vms if vm is vms[0] or first.is_hub(vm.name)][
        :MAX_HUBS_PER_DOMAIN
    ]


def test_a_vm_that_becomes_a_hub_keeps_its_link_free() -> None:
    """No datagram waits over half a second at a VM after a hub has died."""
    network = _settled()
    _hubs(network)[-1].is_up = False
    network.run(3)
    longest = sorted(network.waits.values(), reverse=True)
    assert longest[0] <= MAX_WAIT_S, longest[:MAX_HUBS_PER_DOMAIN]


@pytest.mark.parametrize('starting', [4, 12, 25])
def test_vms_that_start_leave_the_links_of_hubs_free(starting: int) -> None:
    """No datagram waits over half a second at a hub while VMs restart."""
    network = _settled()
    hubs = _hubs(network)
    for number in _first_of_domain(starting, {vm.name for vm in hubs}):
        network.add(number, '2')
    network.run(4)
    longest = sorted(network.waits.values(), reverse=True)
    assert longest[0] <= MAX_WAIT_S, longest[:MAX_HUBS_PER_DOMAIN]


def _first_of_domain(count: int, hubs: set[str]) -> list[int]:
    numbers = range(0, VMS, DOMAINS)
    return [one for one in numbers if f'entry-{one}' not in hubs][:count]
