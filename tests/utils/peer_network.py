"""Entry VMs' heartbeats on a network in memory, in virtual time.

The real tables, heartbeats and digests of each VM; datagrams are handed over
in order after half a millisecond, or lost. Nothing is served.
"""

from collections import deque
from dataclasses import dataclass, field
from random import Random
from time import process_time
from typing import Any

from bramleybend.clock import Clock, ManualClock
from bramleybend.decisions.allotments import (
    AllotmentBook,
    Allowance,
    Tolerance,
    make_allotment_book,
)
from bramleybend.direct.book import Book
from bramleybend.direct.containment import Containment
from bramleybend.direct.members import BEAT_S, Members, Self
from bramleybend.direct.peer_message_handler import (
    PeerMessageHandler,
    SharedTables,
)
from bramleybend.direct.peers import Peers
from bramleybend.direct.placing import Placer
from bramleybend.direct.queues import make_queues
from bramleybend.events import EventLog
from tests.utils.instants import START

PORT = 7600
DELAY_S = 0.0005
STEP_S = 0.01
DOMAINS = 3
SEEDS = 3
FIRST = '1'  # the incarnation of VMs of the system's first start
ALLOWANCE = Allowance(rate_per_s=50_000, burst=100_000)


@dataclass
class Vm:
    """One VM's tables and socket."""

    name: str
    address: str
    members: Members
    allotments: AllotmentBook
    peers: Peers
    next_beat: float
    is_up: bool = True
    is_ready: bool = True

    def state(self) -> tuple[bool, bool]:
        """Tell whether it is ready, and whether it leaves."""
        return self.is_ready, False

    def spend(self, workspace: str, units: float, now: float) -> None:
        """Admit a request of a workspace."""
        self.allotments.admit(workspace, ALLOWANCE, units, now)

    def debt(self, workspace: str) -> float:
        """Return what it knows that all VMs have taken of an allotment."""
        spending = self.allotments.spendings().get(workspace)
        return spending.debt if spending else 0


@dataclass
class Network:
    """All VMs, and the datagrams between them."""

    clock: ManualClock = field(default_factory=lambda: ManualClock(START))
    loss: float = 0
    rng: Random = field(default_factory=lambda: Random(7))  # of losses
    vms: dict[str, Vm] = field(default_factory=dict)  # by address
    cut: set[frozenset[str]] = field(default_factory=set)  # domains
    messages: int = 0
    size: int = 0  # bytes
    crossing: int = 0  # bytes between domains
    seconds: float = 0  # of processor time
    _queue: deque[tuple[float, bytes, str, str]] = field(default_factory=deque)

    def add(
        self, number: int, incarnation: str = FIRST, capacity: int = 1
    ) -> Vm:
        """Start a VM; the first `SEEDS` are the seeds of all."""
        vm = _make_vm(self, number, incarnation, capacity)
        self.vms[vm.address] = vm
        return vm

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            self.clock.advance(STEP_S)
            self._deliver()
            self._beat()

    def up(self) -> list[Vm]:
        """Return the VMs that run."""
        return [vm for vm in self.vms.values() if vm.is_up]

    def all_hear_all(self) -> bool:
        """Tell whether each VM takes just the running ones for alive."""
        now = self.clock.monotonic()
        running = {vm.name for vm in self.up()}
        return all(
            {one.vm for one in vm.members.alive(now)} == running - {vm.name}
            for vm in self.up()
        )

    def until_all_hear_all(self, most_s: float = 10) -> float:
        """Run until then; returns how long it took."""
        began = self.clock.monotonic()
        while not self.all_hear_all():
            assert self.clock.monotonic() - began < most_s, 'not all heard'
            self.run(STEP_S)
        return self.clock.monotonic() - began

    def reset_counts(self) -> None:
        """Start counting anew."""
        self.messages, self.size, self.crossing = 0, 0, 0
        self.seconds = 0

    def send(self, payload: bytes, sender: str, receiver: str) -> None:
        """Take a datagram from a socket."""
        self.messages += 1
        self.size += len(payload)
        ends = frozenset((_domain(sender), _domain(receiver)))
        if len(ends) > 1:
            self.crossing += len(payload)
        if ends in self.cut or self.rng.random() < self.loss:
            return
        at = self.clock.monotonic() + DELAY_S
        self._queue.append((at, payload, sender, receiver))

    def _deliver(self) -> None:
        began = process_time()
        now = self.clock.monotonic()
        while self._queue and self._queue[0][0] <= now:
            _, payload, sender, receiver = self._queue.popleft()
            vm = self.vms.get(receiver)
            if vm is not None and vm.is_up:
                vm.peers.datagram_received(payload, (sender, PORT))
        self.seconds += process_time() - began

    def _beat(self) -> None:
        began = process_time()
        now = self.clock.monotonic()
        for vm in self.up():
            if vm.next_beat <= now:
                vm.next_beat += BEAT_S
                vm.peers.beat()
        self.seconds += process_time() - began


class _Socket:
    def __init__(self, network: Network, address: str) -> None:
        self._network = network
        self._address = address

    def sendto(self, payload: bytes, where: tuple[str, int]) -> None:
        """Send a datagram."""
        self._network.send(payload, self._address, where[0])

    def close(self) -> None:
        """Do nothing."""


def started(count: int, **options: Any) -> Network:
    """Start VMs at once and let them find each other."""
    network = Network(**options)
    for number in range(count):
        network.add(number)
    network.until_all_hear_all()
    return network


def address_of(number: int) -> str:
    """Return where a VM listens; its second part is its domain."""
    return f'10.{number % DOMAINS}.{number // 250}.{number % 250}'


def _domain(address: str) -> str:
    return address.split('.')[1]


def _make_vm(
    network: Network, number: int, incarnation: str, capacity: int
) -> Vm:
    clock: Clock = network.clock
    name, address = f'entry-{number}', address_of(number)
    events = EventLog(name, incarnation, clock, kept=0)
    members = Members(
        Self(
            name,
            f'{name}/{incarnation}',
            address,
            f'{address}:8221',
            _domain(address),
            capacity,
        )
    )
    book = Book(clock, events)
    queues = make_queues(book, members, clock, events, Random(number))
    placer = Placer(book, members, queues, clock, events)
    allotments = make_allotment_book(
        Tolerance(), clock.monotonic(), is_first_start=incarnation == FIRST
    )
    vm: Vm
    containment = Containment(clock, events)
    listener = PeerMessageHandler(
        SharedTables(members, placer, queues, allotments, containment),
        lambda: vm.state(),  # noqa: PLW0108
        clock,
    )
    peers = Peers(members, queues.engines, listener, PORT, clock, events)
    peers.add_seeds(address_of(seed) for seed in range(SEEDS))
    peers.connection_made(_Socket(network, address))
    first = clock.monotonic() + Random(number).uniform(0, BEAT_S)
    vm = Vm(name, address, members, allotments, peers, first)
    return vm
