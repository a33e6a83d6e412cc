"""VMs that start again beside others, or all at once, keep to allotments."""

import pytest

from bramleybend.decisions.allotments import Allowance, Tolerance
from tests.utils.allotment_demand import Demand
from tests.utils.peer_network import Network

RATE = 50_000
TOLERANCE = Tolerance(window_s=8, overage=0.1, slack=64_000)
UNITS = 800  # of one request
STRONG = 8  # of many VMs


def demand_on(
    count: int, burst_s: float, times: float, *, are_idle: bool = False
) -> Demand:
    """Return callers who ask for many times the rate of some VMs.

    `burst_s` is the burst in seconds of the rate.
    """
    network = Network(loss=0.005)
    strong = STRONG if count > STRONG + 1 else 0
    for number in range(count):
        network.add(number, capacity=3 if number < strong else 1)
    network.until_all_hear_all()
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
    """A busy workspace's units overload the runners after an outage.

    All VMs lose what they knew, and start again within a second. No VM can
    tell the others what the workspace owes.
    """
    demand = demand_on(count, burst_s, times=5)
    demand.run(3)
    demand.restart(range(count), down_s=1, within_s=within_s)
    demand.run(5)
    assert demand.most_in_window() <= demand.tolerated()
