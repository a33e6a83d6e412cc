"""Totals of allotments that several hubs tell: taken in once, in order."""

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any

import pytest

from bramleybend.decisions.allotments import Spending
from bramleybend.direct.beat_messages import SpendingNews, Spent
from bramleybend.direct.digests import Digests
from bramleybend.direct.members import Members, Self
from tests.utils.peer_network import DOMAINS, Network, Vm, started

VMS = 12 * DOMAINS
TOLD_S = 2.0  # a change is no longer told
RUNS_S = 4.0


@pytest.fixture
def network() -> Network:
    """Return VMs that have told each other of all that was spent."""
    network = started(VMS)
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


def test_a_change_that_all_hubs_tell_is_weighed_once(network: Network) -> None:
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
