"""Cost of heartbeats and digests for one VM, from 6 to 350 VMs.

The real code runs on a network in memory; CPU times depend on the machine.
Each VM admits requests of two workspaces a second, so that digests have
totals to carry.
"""

import sys
from dataclasses import dataclass
from typing import Final

from tests.utils.peer_network import Network

SIZES: Final = (6, 9, 30, 84)  # --all adds 350, in four minutes
LARGEST: Final = 350
MEASURED_S: Final = 4
WORKSPACES: Final = 16
ADMIT_PERIOD_S: Final = 0.5
KILOBYTE: Final = 1000


@dataclass(frozen=True)
class PeerCost:
    """Mean traffic and CPU use of one VM a second."""

    vms: int
    messages_per_s: float
    bytes_per_s: float
    cross_domain_bytes_per_s: float  # to other failure domains
    cores: float  # CPU seconds a second
    max_messages_per_s: float  # of the VM that sends most
    startup_s: float  # from a joint start until all VMs hear all others


def measure_peer_cost(vm_count: int, seconds: float = MEASURED_S) -> PeerCost:
    """Start the VMs at once and measure their steady-state traffic."""
    network = Network()
    for number in range(vm_count):
        network.add(number)
    startup_s = network.until_all_hear_all()
    network.run(6)  # past the extra heartbeats to just started VMs
    network.reset_counts()
    before = {vm.name: vm.peers.traffic.sent_messages for vm in network.up()}
    _admit_requests(network, seconds)
    total = vm_count * seconds
    max_messages = max(
        vm.peers.traffic.sent_messages - before[vm.name] for vm in network.up()
    )
    return PeerCost(
        vm_count,
        network.messages / total,
        network.size / total,
        network.crossing / total,
        network.seconds / total,
        max_messages / seconds,
        startup_s,
    )


def _admit_requests(network: Network, seconds: float) -> None:
    rounds = int(seconds / ADMIT_PERIOD_S)
    for round_number in range(rounds):
        now = network.clock.monotonic()
        for number, vm in enumerate(network.up()):
            name = f'workspace-{(number + round_number) % WORKSPACES}'
            vm.spend(name, 1000, now)
        network.run(ADMIT_PERIOD_S)


def main() -> None:
    """Print the table that docs/CAPACITY.md quotes."""
    sys.stdout.write(
        'VMs  messages/s  kB/s  kB/s to other domains  '
        'core %  busiest VM, messages/s  all heard after s\n'
    )
    sizes = (*SIZES, LARGEST) if '--all' in sys.argv else SIZES
    for vm_count in sizes:
        cost = measure_peer_cost(vm_count)
        sys.stdout.write(
            f'{cost.vms:3}  {cost.messages_per_s:10.1f}  '
            f'{cost.bytes_per_s / KILOBYTE:4.1f}  '
            f'{cost.cross_domain_bytes_per_s / KILOBYTE:21.2f}  '
            f'{cost.cores * 100:6.2f}  '
            f'{cost.max_messages_per_s:22.0f}  {cost.startup_s:17.2f}\n'
        )


if __name__ == '__main__':
    main()
