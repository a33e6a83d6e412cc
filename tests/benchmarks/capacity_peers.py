"""What heartbeats and digests cost a VM, from 6 to 350 VMs.

The real code on a network in memory; processor time is this machine's. Each
VM admits requests of two workspaces a second, so totals have to be told.
"""

import sys
from dataclasses import dataclass
from typing import Final

from tests.utils.peer_network import Network

SIZES: Final = (6, 9, 30, 84)  # 350 takes four minutes: --all
LARGEST: Final = 350
MEASURED_S: Final = 4
WORKSPACES: Final = 16
ADMIT_EVERY_S: Final = 0.5
KILOBYTE: Final = 1000


@dataclass(frozen=True)
class PeerCost:
    """What one VM sends and works on average, a second."""

    vms: int
    messages: float
    size: float  # bytes
    crossing: float  # bytes to other domains
    cores: float
    busiest: float  # messages of the VM that sends most
    until_heard_s: float  # from the start of all until all hear all


def measure(count: int, seconds: float = MEASURED_S) -> PeerCost:
    """Start so many VMs at once and count what they send in steady state."""
    network = Network()
    for number in range(count):
        network.add(number)
    until_heard_s = network.until_all_hear_all()
    network.run(6)  # the heartbeats of a start are over
    network.reset_counts()
    before = {vm.name: vm.peers.traffic.sent_messages for vm in network.up()}
    _admit_for(network, seconds)
    total = count * seconds
    busiest = max(
        vm.peers.traffic.sent_messages - before[vm.name] for vm in network.up()
    )
    return PeerCost(
        count,
        network.messages / total,
        network.size / total,
        network.crossing / total,
        network.seconds / total,
        busiest / seconds,
        until_heard_s,
    )


def _admit_for(network: Network, seconds: float) -> None:
    rounds = int(seconds / ADMIT_EVERY_S)
    for turn in range(rounds):
        now = network.clock.monotonic()
        for number, vm in enumerate(network.up()):
            name = f'workspace-{(number + turn) % WORKSPACES}'
            vm.spend(name, 1000, now)
        network.run(ADMIT_EVERY_S)


def main() -> None:
    """Print the table that docs/CAPACITY.md quotes."""
    sys.stdout.write(
        'VMs  messages/s  kB/s  kB/s to other domains  '
        'core %  busiest VM, messages/s  all heard after s\n'
    )
    sizes = (*SIZES, LARGEST) if '--all' in sys.argv else SIZES
    for size in sizes:
        cost = measure(size)
        sys.stdout.write(
            f'{cost.vms:3}  {cost.messages:10.1f}  '
            f'{cost.size / KILOBYTE:4.1f}  '
            f'{cost.crossing / KILOBYTE:21.2f}  {cost.cores * 100:6.2f}  '
            f'{cost.busiest:22.0f}  {cost.until_heard_s:17.2f}\n'
        )


if __name__ == '__main__':
    main()
