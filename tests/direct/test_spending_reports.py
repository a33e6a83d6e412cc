"""Spending totals that several hubs report are applied once, in order."""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

import pytest

from bramleybend.decisions.allotment_models import AccountReport
from bramleybend.direct.digests import Digests
from bramleybend.direct.heartbeat_messages import (
    Digest,
    RelayedTotals,
    WorkspaceTotals,
)
from bramleybend.direct.members import MAX_HUBS_PER_DOMAIN, Members, OwnVm
from bramleybend.direct.messages import decode
from tests.utils.peer_network import DOMAINS, Network, Vm

VMS = 12 * DOMAINS
REPORT_S = 2.0  # after which a change is no longer reported
SETTLE_S = 4.0


@dataclass
class WatchedNetwork(Network):
    """A network that counts reported totals and drops digests of muted VMs."""

    reported: Counter[tuple[str, str]] = field(default_factory=Counter)
    muted: set[str] = field(default_factory=set)  # addresses

    def send(self, payload: bytes, sender: str, receiver: str) -> None:
        """Count and deliver a datagram."""
        message = decode(payload)
        if isinstance(message, Digest):
            totals = sum(len(spent.totals) for spent in message.relayed_totals)
            self.reported[sender, receiver] += totals
        if sender not in self.muted or not isinstance(message, Digest):
            super().send(payload, sender, receiver)


@pytest.fixture
def network() -> WatchedNetwork:
    """Return VMs that know each other's spending."""
    network = WatchedNetwork()
    for number in range(VMS):
        network.add(number)
    network.run(SETTLE_S)
    for vm in network.running_vms():
        vm.spend('first', 1000, network.clock.monotonic())
    network.run(SETTLE_S)
    return network


def spent(used: int) -> RelayedTotals:
    """Return a hub's report on one workspace of a VM."""
    return RelayedTotals(
        7, [WorkspaceTotals('first', used, 0, 0, 0)], tells_all=False
    )


def non_hubs(network: Network) -> Iterator[Vm]:
    """Yield the VMs that are not hubs."""
    for vm in network.running_vms():
        if not vm.members.is_hub(vm.name):
            yield vm


def count_reported(vm: Vm) -> Counter[str]:
    """Count the totals that a VM applies from now on, by spending VM."""
    reported: Counter[str] = Counter()
    apply = vm.allotments.merge_report

    def count_and_apply(
        peer: str, news: Mapping[str, AccountReport], now: float, **options: Any
    ) -> None:
        reported[peer.partition('/')[0]] += len(news)
        apply(peer, news, now, **options)

    vars(vm.allotments)['merge_report'] = count_and_apply
    return reported


def test_a_change_that_all_hubs_report_is_applied_once(
    network: WatchedNetwork,
) -> None:
    """Applying each hub's report would take most of a VM's CPU time."""
    first, second, *_ = non_hubs(network)
    owed_before = second.debt('first')
    reported = count_reported(second)
    first.spend('first', 1000, network.clock.monotonic())
    network.run(REPORT_S)
    assert reported[first.name] == 1
    assert second.debt('first') == owed_before + 1000


def test_an_older_total_of_a_slower_hub_changes_nothing() -> None:
    """If an older total were applied, spending since would be lost."""
    digests = Digests(Members(OwnVm('vm-1', '1', '10.0.0.1', '')))
    for used, said_at in ((100, 1.0), (300, 3.0)):
        assert digests.update_totals('vm-2', spent(used), said_at, 4.0)
    assert not digests.update_totals('vm-2', spent(200), 2.0, 5.0)
    assert digests.update_totals('vm-2', spent(250), 4.0, 5.0)


def test_two_of_three_hubs_report_a_change(network: WatchedNetwork) -> None:
    """If each hub reported each change, it would be most of a hub's traffic."""
    vms = list(non_hubs(network))
    network.reported.clear()
    vms[0].spend('first', 1000, network.clock.monotonic())
    network.run(REPORT_S)
    for vm in vms[1:]:
        hubs = vm.members.hubs(vm.members.own.domain)
        report_counts = [
            network.reported[one.address, vm.address] for one in hubs
        ]
        assert sorted(report_counts) == [0, 1, 1]


@pytest.mark.parametrize('muted', range(MAX_HUBS_PER_DOMAIN))
def test_a_change_is_heard_though_one_hub_is_not(
    network: WatchedNetwork, muted: int
) -> None:
    """A change that only one hub reported could be lost and admitted twice."""
    vms = list(non_hubs(network))
    for domain in range(DOMAINS):
        hubs = vms[0].members.hubs(str(domain))
        network.muted.add(hubs[muted].address)
    owed_before = {vm.name: vm.debt('first') for vm in vms}
    vms[0].spend('first', 1000, network.clock.monotonic())
    network.run(REPORT_S)
    for vm in vms[1:]:
        assert vm.debt('first') == owed_before[vm.name] + 1000
