"""The VMs of a large fleet keep a workspace within its allotment together."""

import pytest

from bramleybend.decisions.allotment_models import Allowance, Tolerance
from tests.utils.allotment_demand import Demand
from tests.utils.peer_network import Network

VMS = 84
STRONG = 9  # VMs of higher capacity, three in each domain
RATE = 364_000
# The burst is worth one second, so the tolerance is small beside the rate.
ALLOWANCE = Allowance(RATE, RATE)
TOLERANCE = Tolerance(window_s=8, overage=0.1, slack=140_000)
UNITS = 6_700  # of one request


def busy_fleet(times: float, *, are_idle: bool = False) -> Demand:
    """Return callers that demand a multiple of the allotted rate."""
    network = Network(loss=0.005)
    for number in range(VMS):
        network.add(number, capacity=3 if number < STRONG else 1)
    network.run_until_all_discovered()
    network.run(1)
    return Demand(network, ALLOWANCE, TOLERANCE, RATE * times, UNITS, are_idle)


def test_idle_runners_get_no_more_than_the_tolerance() -> None:
    """VMs must not all use the same room of the tolerance at once."""
    demand = busy_fleet(times=8, are_idle=True)
    demand.run(8)
    assert demand.max_units_in_window() <= demand.max_tolerated_units()


def test_vms_that_hear_no_other_share_one_burst() -> None:
    """VMs that lose each other must not each use half of the burst."""
    demand = busy_fleet(times=0.5)
    demand.run(1)
    demand.network.loss = 1
    demand.per_s = RATE * 5
    demand.run(8)
    assert demand.max_units_in_window() <= demand.max_tolerated_units()


@pytest.mark.parametrize('within_s', [0, 0.3])
def test_a_restart_of_all_vms_keeps_the_tolerance(within_s: float) -> None:
    """VMs that restart together must not admit a burst each."""
    demand = busy_fleet(times=5)
    demand.run(3)
    demand.restart(range(VMS), down_s=1, within_s=within_s)
    demand.run(5)
    assert demand.max_units_in_window() <= demand.max_tolerated_units()


@pytest.mark.parametrize('failing_share', [0.2, 0.5, 1])
def test_further_tries_keep_the_tolerance(failing_share: float) -> None:
    """Tries of all VMs after runs that broke off must not add to a limit."""
    demand = busy_fleet(times=3)
    demand.run(2)
    demand.failing_share = failing_share
    demand.run(8)
    assert demand.max_units_in_window() <= demand.max_tolerated_units()


@pytest.mark.parametrize(
    ('frozen', 'seconds'), [(9, 1.5), (34, 0.6), (60, 0.6)]
)
def test_vms_keep_the_tolerance_while_hubs_stand_still(
    frozen: int, seconds: float
) -> None:
    """VMs that don't hear of each other must not use the rate each."""
    demand = busy_fleet(times=7.5)
    demand.run(8)
    demand.freeze(range(frozen), seconds)
    demand.run(4)
    assert demand.max_units_in_window() <= demand.max_tolerated_units()


def test_vms_keep_the_tolerance_when_all_hubs_are_killed() -> None:
    """For a second, the others believe that they hear all VMs."""
    demand = busy_fleet(times=7.5)
    demand.run(8)
    demand.restart(range(STRONG), down_s=1.5, within_s=0.3)
    demand.run(4)
    assert demand.max_units_in_window() <= demand.max_tolerated_units()
