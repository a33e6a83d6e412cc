"""Restarts of some or all VMs keep workspaces within their allotments."""

import pytest

from bramleybend.decisions.allotment_models import Allowance, Tolerance
from bramleybend.decisions.allotments import STARTUP_HOLD_S
from bramleybend.direct.members import HEARTBEAT_INTERVAL_S
from tests.utils.allotment_demand import Demand
from tests.utils.peer_network import Network

RATE = 50_000
TOLERANCE = Tolerance(window_s=8, overage=0.1, slack=64_000)
UNITS = 800  # of one request
STRONG = 8  # VMs of higher capacity, if there are many VMs


def demand_on(
    count: int, burst_s: float, times: float, *, are_idle: bool = False
) -> Demand:
    """Return callers that demand a multiple of the allotted rate.

    `burst_s` is the burst in seconds of the rate.
    """
    network = Network(loss=0.005)
    strong = STRONG if count > STRONG + 1 else 0
    for number in range(count):
        network.add(number, capacity=3 if number < strong else 1)
    network.run_until_all_discovered()
    network.run(1)
    return Demand(
        network,
        Allowance(RATE, RATE * burst_s),
        TOLERANCE,
        RATE * times,
        UNITS,
        are_idle,
    )


@pytest.mark.parametrize('within_s', [0, 0.3, 1])
@pytest.mark.parametrize(
    ('count', 'burst_s'), [(1, 6), (6, 6), (9, 2), (9, 6), (69, 2), (69, 6)]
)
def test_a_restart_of_all_vms_lets_in_no_second_burst(
    count: int, burst_s: float, within_s: float
) -> None:
    """A restart of all VMs must not give a busy workspace a second burst.

    All VMs lose their state and restart within a second, so none can tell the
    others what the workspace owes. A second burst would overload the runners.
    """
    demand = demand_on(count, burst_s, times=5)
    demand.run(3)
    demand.restart(range(count), down_s=1, within_s=within_s)
    demand.run(5)
    assert demand.max_units_in_window() <= demand.max_tolerated_units()


@pytest.mark.parametrize('count', [6, 9])
def test_a_restart_of_all_vms_keeps_the_contracts_on_idle_runners(
    count: int,
) -> None:
    """Units admitted because runners were idle count after a restart, too."""
    demand = demand_on(count, burst_s=6, times=5, are_idle=True)
    demand.run(3)
    demand.restart(range(count), down_s=1, within_s=0.3)
    demand.run(5)
    assert demand.max_units_in_window() <= demand.max_tolerated_units()


def test_the_first_start_of_a_system_has_its_whole_burst() -> None:
    """On a system's first start, workspaces have their whole burst."""
    demand = demand_on(69, burst_s=6, times=5)
    began = demand.network.clock.monotonic()
    demand.run(3)
    first_refused, _ = demand.refused[0]
    assert first_refused - began >= demand.allowance.burst / demand.per_s


@pytest.mark.parametrize('count', [6, 9, 69])
def test_a_vm_that_starts_beside_others_serves_at_once(count: int) -> None:
    """A restarted VM must not reject requests within the allotment.

    The workspace asks for half its rate. The other VMs know what it owes and
    report it in the answer to the VM's first heartbeat.
    """
    demand = demand_on(count, burst_s=6, times=0.5)
    demand.run(2)
    demand.restart([count - 1], down_s=0.5, within_s=0)
    demand.run(2 * HEARTBEAT_INTERVAL_S)
    demand.refused.clear()
    starter = demand.network.running_vms()[-1]
    assert starter.name == f'entry-{count - 1}'
    assert demand.is_admitted_by(starter)
    demand.run(3)
    assert not demand.refused


def test_vms_that_are_added_serve_at_once() -> None:
    """Added VMs must not reject requests within the allotment."""
    demand = demand_on(30, burst_s=6, times=0.5)
    demand.run(1)
    added = [demand.network.add(number, 'added') for number in range(30, 42)]
    began = demand.network.clock.monotonic()
    demand.run(3)
    assert all(
        moment - began <= 2 * HEARTBEAT_INTERVAL_S
        for moment, _ in demand.refused
    )
    assert {name for _, name in demand.refused} <= {vm.name for vm in added}


@pytest.mark.parametrize('are_all_restarted', [False, True])
def test_a_rolling_restart_refuses_nothing_that_is_allotted(
    are_all_restarted: bool,
) -> None:
    """In a rolling restart, a VM rejects requests for two heartbeats at most.

    This also holds a few seconds after a restart of all VMs, while no VM knows
    the spending for long.
    """
    demand = demand_on(9, burst_s=2, times=0.5)
    demand.run(1)
    if are_all_restarted:
        demand.restart(range(9), down_s=1, within_s=0.3)
        demand.run(STARTUP_HOLD_S + 3)
    demand.refused.clear()
    for number in range(9):
        before = len(demand.refused)
        demand.restart([number], down_s=0.3, within_s=0)
        started = demand.network.clock.monotonic()
        demand.run(1)
        late = [moment - started for moment, _ in demand.refused[before:]]
        assert all(since <= 2 * HEARTBEAT_INTERVAL_S for since in late)


@pytest.mark.parametrize('count', [9, 69])
def test_a_rolling_restart_lets_in_no_burst_for_each_vm(count: int) -> None:
    """Restarted VMs must not each give a busy workspace a burst."""
    demand = demand_on(count, burst_s=6, times=5)
    demand.run(2)
    for number in range(9):
        demand.restart([number], down_s=0.3, within_s=0)
        demand.run(0.5)
    assert demand.max_units_in_window() <= demand.max_tolerated_units()


def test_spending_assumed_after_a_start_is_not_reported() -> None:
    """A burst that restarted VMs assume as spent is not reported as spent.

    The VMs of one domain restart while they hear only each other, so they
    assume that the workspace's burst is spent. Once they hear the other VMs
    again, nobody may reject the workspace, which owes nothing.
    """
    demand = demand_on(9, burst_s=6, times=0.5)
    demand.run(2)
    demand.network.cut = {frozenset('01'), frozenset('12')}
    numbers = [1, 4, 7]
    demand.restart(numbers, down_s=0.5, within_s=0)
    demand.run(STARTUP_HOLD_S + 0.2)
    starters = {f'entry-{number}' for number in numbers}
    assert {name for _, name in demand.refused} <= starters
    demand.network.cut = set()
    demand.network.run_until_all_discovered()
    demand.run(2 * HEARTBEAT_INTERVAL_S)
    demand.refused.clear()
    assert all(demand.is_admitted_by(vm) for vm in demand.network.running_vms())
    demand.run(3)
    assert not demand.refused


def test_vms_that_start_again_with_all_seeds_soon_hear_what_is_owed() -> None:
    """Restarted VMs learn what is owed even if all seeds restarted with them.

    They find the others only when the others contact VMs that went silent.
    Until then they reject requests as if bursts were spent.
    """
    demand = demand_on(30, burst_s=6, times=0.5)
    demand.run(2)
    restarted = range(15)
    demand.restart(restarted, down_s=1, within_s=0.3)
    demand.network.run_until_all_discovered(2)
    demand.run(2 * HEARTBEAT_INTERVAL_S)
    names = {f'entry-{number}' for number in restarted}
    assert {name for _, name in demand.refused} <= names
    demand.refused.clear()
    assert all(demand.is_admitted_by(vm) for vm in demand.network.running_vms())
    demand.run(3)
    assert not demand.refused


def test_after_a_restart_of_all_the_rate_pays_the_burst_back() -> None:
    """After a restart of all VMs, the assumed debt is paid back at the rate.

    A workspace that owed nothing must not be rejected for longer than that.
    """
    demand = demand_on(9, burst_s=2, times=0.5)
    demand.run(1)
    demand.restart(range(9), down_s=1, within_s=0.3)
    started = demand.network.clock.monotonic()
    demand.run(10)
    late = [moment - started for moment, _ in demand.refused]
    assert all(since <= STARTUP_HOLD_S + 2 for since in late)
    now = demand.network.clock.monotonic()
    for vm in demand.network.running_vms():
        vm.allotments.admit('busy', demand.allowance, 0, now)
        assert vm.debt('busy') <= demand.allowance.burst * 0.1
