"""An in-memory network of entry VMs that exchange heartbeats.

Time is virtual. Each VM has the real tables and sends the real heartbeats
and digests, but serves no requests. The network delivers datagrams in order
after 0.5 ms, or loses them.
"""

from collections import deque
from dataclasses import dataclass, field
from random import Random
from time import process_time
from typing import Any

from bramleybend.clock import Clock, ManualClock
from bramleybend.decisions.allotment_models import Allowance, Tolerance
from bramleybend.decisions.allotments import (
    STARTUP_HOLD_S,
    AllotmentLedger,
    make_allotment_ledger,
)
from bramleybend.direct.catalog import Catalog
from bramleybend.direct.containment import Containment
from bramleybend.direct.datagrams import Datagram, ReceivedDatagrams
from bramleybend.direct.members import (
    HEARTBEAT_INTERVAL_S,
    MEMBER_TTL_S,
    Members,
    OwnVm,
)
from bramleybend.direct.peer_message_handler import (
    PeerMessageHandler,
    SharedTables,
)
from bramleybend.direct.peers import Peers
from bramleybend.direct.placement import Placer
from bramleybend.direct.queues import make_queues
from bramleybend.events import EventLog
from tests.utils.start_times import START

PORT = 7600
DELAY_S = 0.0005
STEP_S = 0.01
DOMAINS = 3
SEEDS = 3
SOCKET_DATAGRAMS = 200  # that wait at a frozen VM; further ones are lost
FIRST = '1'  # incarnation of the VMs at the system's first start
ALLOWANCE = Allowance(rate_per_s=50_000, burst=100_000)


@dataclass
class Vm:
    """The tables and the peer socket of one VM."""

    name: str
    address: str
    members: Members
    allotments: AllotmentLedger
    peers: Peers
    next_beat_at: float
    is_up: bool = True
    is_frozen: bool = False
    # Datagrams that wait in its socket, and who sent them.
    unread: deque[Datagram] = field(default_factory=deque)
    is_ready: bool = True

    def state(self) -> tuple[bool, bool]:
        """Return whether the VM is ready and whether it is leaving."""
        return self.is_ready, False

    def spend(self, workspace: str, units: float, now: float) -> None:
        """Admit a request of a workspace that costs `units`."""
        self.allotments.admit(workspace, ALLOWANCE, units, now)

    def debt(self, workspace: str) -> float:
        """Return the debt over all VMs, in units, that this VM knows of."""
        spending = self.allotments.reports().get(workspace)
        return spending.debt if spending else 0


@dataclass
class Network:
    """All VMs and the datagrams in flight between them."""

    clock: ManualClock = field(default_factory=lambda: ManualClock(START))
    loss: float = 0
    rng: Random = field(default_factory=lambda: Random(7))  # draws the losses
    vms: dict[str, Vm] = field(default_factory=dict)  # by address
    cut: set[frozenset[str]] = field(default_factory=set)  # pairs of domains
    # Whether VMs that restart read the register of all VMs at once.
    has_register: bool = True
    messages: int = 0
    size: int = 0  # bytes
    cross_domain_bytes: int = 0  # bytes sent between domains
    seconds: float = 0  # processor time
    _queue: deque[tuple[float, bytes, str, str]] = field(default_factory=deque)

    def add(
        self, number: int, incarnation: str = FIRST, capacity: int = 1
    ) -> Vm:
        """Start a VM; VMs 0 to `SEEDS` - 1 are the seed peers of all VMs."""
        vm = _make_vm(self, number, incarnation, capacity)
        if incarnation != FIRST:
            self._read_register(vm)
        self.vms[vm.address] = vm
        return vm

    def run(self, seconds: float) -> None:
        """Advance the clock, deliver datagrams and send heartbeats."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            self.clock.advance(STEP_S)
            self._deliver()
            self._send_heartbeats()

    def running_vms(self) -> list[Vm]:
        """Return the running VMs."""
        return [vm for vm in self.vms.values() if vm.is_up]

    def have_all_discovered(self) -> bool:
        """Whether each VM regards exactly the running VMs as alive."""
        now = self.clock.monotonic()
        running = {vm.name for vm in self.running_vms()}
        return all(
            {member.vm for member in vm.members.alive(now)}
            == running - {vm.name}
            for vm in self.running_vms()
        )

    def run_until_all_discovered(self, max_s: float = 10) -> float:
        """Run until `have_all_discovered`; return how many seconds it took."""
        started_at = self.clock.monotonic()
        while not self.have_all_discovered():
            assert self.clock.monotonic() - started_at < max_s, (
                'VMs have not discovered each other'
            )
            self.run(STEP_S)
        return self.clock.monotonic() - started_at

    def reset_counts(self) -> None:
        """Set the traffic and processor time counters to 0."""
        self.messages, self.size, self.cross_domain_bytes = 0, 0, 0
        self.seconds = 0

    def send(self, payload: bytes, sender: str, receiver: str) -> None:
        """Count a datagram and queue it for delivery, or lose it."""
        self.messages += 1
        self.size += len(payload)
        domains = frozenset((_domain(sender), _domain(receiver)))
        if len(domains) > 1:
            self.cross_domain_bytes += len(payload)
        if domains in self.cut or self.rng.random() < self.loss:
            return
        at = self.clock.monotonic() + DELAY_S
        self._queue.append((at, payload, sender, receiver))

    def read_unread(self, vm: Vm) -> None:
        """Let a VM that woke read what waits in its socket."""
        if vm.unread:
            vm.peers.datagram_received(*vm.unread.popleft())

    def _read_register(self, vm: Vm) -> None:
        now = self.clock.monotonic()
        if self.has_register:
            registered = {
                other.name: other.address for other in self.vms.values()
            }
            vm.members.expected.add(registered, {vm.name}, now + MEMBER_TTL_S)
        else:
            vm.members.expected.is_unknown_until = now + STARTUP_HOLD_S

    def _deliver(self) -> None:
        started_at = process_time()
        now = self.clock.monotonic()
        while self._queue and self._queue[0][0] <= now:
            _, payload, sender, receiver = self._queue.popleft()
            vm = self.vms.get(receiver)
            if vm is not None and vm.is_frozen:
                if len(vm.unread) < SOCKET_DATAGRAMS:
                    vm.unread.append((payload, (sender, PORT)))
            elif vm is not None and vm.is_up:
                vm.peers.datagram_received(payload, (sender, PORT))
        self.seconds += process_time() - started_at

    def _send_heartbeats(self) -> None:
        started_at = process_time()
        now = self.clock.monotonic()
        for vm in self.running_vms():
            if vm.next_beat_at <= now and not vm.is_frozen:
                vm.next_beat_at += HEARTBEAT_INTERVAL_S
                vm.peers.send_round()
        self.seconds += process_time() - started_at


class _Socket:
    def __init__(self, network: Network, address: str) -> None:
        self._network = network
        self._address = address

    def sendto(self, payload: bytes, where: tuple[str, int]) -> None:
        """Send a datagram through the network."""
        self._network.send(payload, self._address, where[0])

    def close(self) -> None:
        """Do nothing; the network has no real socket to close."""


def start_network(count: int, **options: Any) -> Network:
    """Start `count` VMs; return once all have discovered each other."""
    network = Network(**options)
    for number in range(count):
        network.add(number)
    network.run_until_all_discovered()
    return network


def address_of(number: int) -> str:
    """Return a VM's address; the second octet is its failure domain."""
    return f'10.{number % DOMAINS}.{number // 250}.{number % 250}'


def _domain(address: str) -> str:
    return address.split('.')[1]


def _make_vm(
    network: Network, number: int, incarnation: str, capacity: int
) -> Vm:
    clock: Clock = network.clock
    name, address = f'entry-{number}', address_of(number)
    events = EventLog(name, incarnation, clock, max_kept_events=0)
    members = Members(
        OwnVm(
            name,
            f'{name}/{incarnation}',
            address,
            f'{address}:8221',
            _domain(address),
            capacity,
        )
    )
    book = Catalog(clock, events)
    queues = make_queues(book, members, clock, events, Random(number))
    placer = Placer(book, members, queues, clock, events)
    allotments = make_allotment_ledger(
        Tolerance(), clock.monotonic(), is_first_start=incarnation == FIRST
    )
    vm: Vm
    containment = Containment(clock, events)
    listener = PeerMessageHandler(
        SharedTables(members, placer, queues, allotments, containment),
        lambda: vm.state(),  # noqa: PLW0108
        clock,
    )
    peers = Peers(
        members, queues.engine_services, listener, PORT, clock, events
    )
    peers.add_seeds(address_of(seed) for seed in range(SEEDS))
    unread: deque[Datagram] = deque()
    peers.received = ReceivedDatagrams(
        lambda: unread.popleft() if unread else None, clock
    )
    peers.connection_made(_Socket(network, address))
    first_beat = clock.monotonic() + Random(number).uniform(
        0, HEARTBEAT_INTERVAL_S
    )
    vm = Vm(
        name, address, members, allotments, peers, first_beat, unread=unread
    )
    return vm
