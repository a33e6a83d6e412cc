"""Spending and membership after VMs died or became unreachable."""

from random import Random

import pytest

from bramleybend.direct.members import (
    HEARTBEAT_INTERVAL_S,
    MEMBER_TTL_S,
    RELAYED_TIMEOUT_S,
)
from tests.direct.test_hubs import hubs_of, spend
from tests.utils.peer_network import ALLOWANCE, Network, started

MAX_DEBT_AFTER_PAYBACK = 10_000  # units; a tenth of the burst


def test_totals_of_a_dead_vm_are_not_told_as_its_successors() -> None:
    """The restart of a hub and a VM must not give a workspace a second burst.

    The totals of a dead VM must not be taken for those of its successor.
    """
    network = Network()
    for number in range(30):
        network.add(number, capacity=3 if number < 9 else 1)
    network.until_all_hear_all()
    network.run(2)
    hub = network.up()[0]
    victim = next(vm for vm in network.up() if vm not in hubs_of(network))
    victim.spend('first', 90_000, network.clock.monotonic())
    network.run(2)
    victim.is_up = False
    hub.is_up = False
    network.run(1.5)
    network.add(0, '2', capacity=3)
    network.run(4)
    network.add(9, '2')
    for _ in range(50):
        network.run(0.1)
        debts = {
            vm.debt('first') for vm in network.up() if vm.name != victim.name
        }
        assert debts == {90_000}


@pytest.mark.parametrize('count', [9, 12, 30])
def test_half_of_the_vms_restarting_changes_no_total(count: int) -> None:
    """VMs that stay up neither forget spending nor count it twice."""
    wrong = [seed for seed in range(12) if not keep_totals(count, seed)]
    assert not wrong


def keep_totals(count: int, seed: int) -> bool:
    """Restart half of the VMs; return whether the others' totals stay."""
    rng = Random(seed)
    network = started(count, rng=Random(seed))
    network.run(2)
    spend(network, 1000)
    network.run(7)
    dead = rng.sample(range(count), count // 2)
    vms = network.up()
    survivors = [vm for number, vm in enumerate(vms) if number not in dead]
    for number in dead:
        vms[number].is_up = False
    back_at = {number: rng.uniform(1, 6) for number in dead}
    for step in range(200):
        due = [number for number, at in back_at.items() if at <= step / 20]
        for number in due:
            back_at.pop(number)
            network.add(number, '2')
        network.run(0.05)
        debts = {vm.debt('first') for vm in survivors}
        if debts != {count * 1000}:
            return False
    return True


@pytest.mark.parametrize('count', [3, 9])
def test_hubs_without_a_path_stay_silent_once_forgotten(count: int) -> None:
    """A third hub's digests must not make forgotten VMs look alive."""
    beyond = {'0': '1', '1': '0'}
    network = started(count)
    network.cut = {frozenset('01')}
    network.run(RELAYED_TIMEOUT_S + HEARTBEAT_INTERVAL_S)
    for _ in range(int(2 * MEMBER_TTL_S / 0.1)):
        network.run(0.1)
        now = network.clock.monotonic()
        for vm in network.up():
            heard = {one.domain for one in vm.members.alive(now)}
            assert beyond.get(vm.members.own.domain) not in heard


def test_a_hub_does_not_take_a_dead_vms_old_debt_for_owed() -> None:
    """A restarted VM must not count a dead VM's old debt.

    Otherwise it would reject a workspace that has paid back.
    """
    network = started(9)
    network.run(2)
    victim, hub = network.up()[8], network.up()[0]
    victim.spend('first', 100_000, network.clock.monotonic())
    network.run(1)
    admit_one(network)
    network.run(1)
    victim.is_up = False
    network.run(10)
    admit_one(network)
    network.run(6)
    hub.is_up = False
    network.run(2)
    starter = network.add(0, '2')
    for _ in range(110):
        network.run(0.1)
        assert starter.debt('first') <= MAX_DEBT_AFTER_PAYBACK


def admit_one(network: Network) -> None:
    """Let each VM admit a unit, which also accounts for what was paid back."""
    for vm in network.up():
        vm.spend('first', 1, network.clock.monotonic())


def test_domains_find_each_other_after_a_long_cut_without_seeds() -> None:
    """VMs that forgot each other in a partition meet again without seeds."""
    network = started(30)
    network.run(2)
    for seed in network.up()[:3]:
        seed.is_up = False
    network.run(2)
    network.cut = {frozenset('01'), frozenset('02')}
    network.run(MEMBER_TTL_S + 5)
    network.cut = set()
    network.run(60)
    assert network.all_hear_all()


def test_totals_whose_news_was_lost_are_told_again() -> None:
    """A total that was lost with its heartbeats is repeated later."""
    lacking = []
    for seed in range(8):
        network = started(30, rng=Random(seed))
        network.run(2)
        network.loss = 0.3
        spend(network, 1000)
        network.run(1)
        network.loss = 0
        network.run(12)
        if {vm.debt('first') for vm in network.up()} != {30 * 1000}:
            lacking.append(seed)
    assert not lacking


def test_debt_that_was_paid_back_is_not_told_as_owed() -> None:
    """A VM that starts admits as much as the others."""
    network = started(30)
    network.run(2)
    network.up()[5].spend('first', 100_000, network.clock.monotonic())
    network.run(60)
    old = network.up()[7]
    starter = network.add(29, '2')
    network.run(0.5)
    now = network.clock.monotonic()
    let_in = [
        sum(
            vm.allotments.admit('first', ALLOWANCE, 10_000, now).is_admitted
            for _ in range(20)
        )
        for vm in (old, starter)
    ]
    assert let_in[0] == let_in[1]
