"""Totals of allotments that several hubs tell: taken in once, in order."""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

import pytest

from bramleybend.decisions.allotments import Spending
from bramleybend.direct.beat_messages import Digest, SpendingNews, Spent
from bramleybend.direct.digests import Digests
from bramleybend.direct.members import HUBS, Members, Self
from bramleybend.direct.messages import decode
from tests.utils.peer_network import DOMAINS, Network, Vm

VMS = 12 * DOMAINS
TOLD_S = 2.0  # a change is no longer told
RUNS_S = 4.0


@dataclass
class Watched(Network):
    """A network that counts who tells whom of totals, and mutes senders."""

    told: Counter[tuple[str, str]] = field(default_factory=Counter)
    muted: set[str] = field(default_factory=set)  # addresses

    def send(self, payload: bytes, sender: str, receiver: str) -> None:
        """Take a datagram from a socket."""
        message = decode(payload)
        if isinstance(message, Digest):
            totals = sum(len(spent.spendings) for spent in message.spent)
            self.told[sender, receiver] += totals
        if sender not in self.muted or not isinstance(message, Digest):
            super().send(payload, sender, receiver)


@pytest.fixture
def network() -> Watched:
    """Return VMs that have told each other of all that was spent."""
    network = Watched()
    for number in range(VMS):
        network.add(number)
    network.run(RUNS_S)
    for vm in network.up():
        vm.spend('first', 1000, network.clock.monotonic())
    network.run(RUNS_S)
    return network


def spent(used: int) -> Spent:
    """Return what a hub tells of one workspace of a VM."""
    return Spent(7, [SpendingNews('first', used, 0, 0, 0)], tells_all=False)


def ordinary(network: Network) -> Iterator[Vm]:
    """Yield the VMs that are no hubs."""
    for vm in network.up():
        if not vm.members.is_hub(vm.name):
            yield vm


def count_told(vm: Vm) -> Counter[str]:
    """Count from now on the totals that a VM weighs, by the VM they are of."""
    told: Counter[str] = Counter()
    heard = vm.allotments.heard

    def counting(
        peer: str, news: Mapping[str, Spending], now: float, **terms: Any
    ) -> None:
        told[peer.partition('/')[0]] += len(news)
        heard(peer, news, now, **terms)

    vars(vm.allotments)['heard'] = counting
    return told


def test_a_change_that_all_hubs_tell_is_weighed_once(network: Watched) -> None:
    """Weighed once a hub, totals take most of a VM's processor time."""
    first, second, *_ = ordinary(network)
    owed = second.debt('first')
    told = count_told(second)
    first.spend('first', 1000, network.clock.monotonic())
    network.run(TOLD_S)
    assert told[first.name] == 1
    assert second.debt('first') == owed + 1000


def test_an_older_total_of_a_slower_hub_changes_nothing() -> None:
    """Taken for news, it would give back what was spent since."""
    digests = Digests(Members(Self('vm-1', '1', '10.0.0.1', '')))
    for used, said_at in ((100, 1.0), (300, 3.0)):
        assert digests.note_spendings('vm-2', spent(used), said_at, 4.0)
    assert not digests.note_spendings('vm-2', spent(200), 2.0, 5.0)
    assert digests.note_spendings('vm-2', spent(250), 4.0, 5.0)


def test_two_of_three_hubs_tell_a_change(network: Watched) -> None:
    """Told by each hub, changes take most of what a hub sends."""
    vms = list(ordinary(network))
    network.told.clear()
    vms[0].spend('first', 1000, network.clock.monotonic())
    network.run(TOLD_S)
    for vm in vms[1:]:
        hubs = vm.members.hubs(vm.members.own.domain)
        tellers = [network.told[one.address, vm.address] for one in hubs]
        assert sorted(tellers) == [0, 1, 1]


@pytest.mark.parametrize('muted', range(HUBS))
def test_a_change_is_heard_though_one_hub_is_not(
    network: Watched, muted: int
) -> None:
    """Left to a hub whose datagrams are lost, it would be let in twice."""
    vms = list(ordinary(network))
    for domain in range(DOMAINS):
        hubs = vms[0].members.hubs(str(domain))
        network.muted.add(hubs[muted].address)
    owed = {vm.name: vm.debt('first') for vm in vms}
    vms[0].spend('first', 1000, network.clock.monotonic())
    network.run(TOLD_S)
    for vm in vms[1:]:
        assert vm.debt('first') == owed[vm.name] + 1000
