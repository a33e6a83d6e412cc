"""Simulation of the membership protocol over an unreliable network.

Time and network are simulated; the nodes run the real `Members`.
"""

import heapq
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from itertools import count
from random import Random

from bramleybend.models import RunnerState, Vm
from bramleybend.state.member import Member, MemberState
from bramleybend.state.membership import (
    PROBE_PERIOD_S,
    Membership,
    OutgoingMessage,
)

LATENCY_S = 0.0005
PROBE_TIMEOUT_S = 0.3
HELPER_TIMEOUT_S = 0.4
LIST_LAG_S = 15.0
LIST_PERIOD_S = 5.0
CHECK_PERIOD_S = 0.25
START_MS = 1_790_000_000_000


@dataclass
class Network:
    """Decides which messages are delivered.

    `cut` blocks messages in one direction; `split` blocks those between
    addresses on different sides.
    """

    rng: Random
    loss: float = 0
    cut: set[tuple[str, str]] = field(default_factory=set)  # source, target
    split: dict[str, int] = field(default_factory=dict)  # side by address

    def passes(self, source: str, target: str) -> bool:
        """Return whether a message is delivered; draws a random loss."""
        if (source, target) in self.cut:
            return False
        if self.split.get(source, 0) != self.split.get(target, 0):
            return False
        return self.rng.random() >= self.loss


@dataclass
class Node:
    """One process at an address; a restart makes a new node."""

    address: str
    members: Membership
    running: bool = True
    messages: int = 0
    largest: int = 0  # maximum number of records in a message


def domain_of(index: int, domains: int) -> str:
    """Return the failure domain of the VM with this index."""
    return f'domain-{index % domains}'


class Play:
    """The simulation: nodes, network, VM list and event queue."""

    def __init__(self, size: int, seed: int = 1, domains: int = 3) -> None:
        """Start `size` nodes that all know each other."""
        self.rng = Random(seed)
        self.net = Network(self.rng)
        self.now = float(0)
        self.on_send: Callable[[Sequence[Member]], object] = len
        self.versions: dict[str, int] = {}  # version of the terms, by address
        self._domains = domains
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self.nodes: dict[str, Node] = {}
        self._listed: dict[str, str] = {}  # VM name by address
        for index in range(size):
            self.start(index)
        everyone = [node.members.own.member for node in self.nodes.values()]
        for node in self.nodes.values():
            node.members.on_records(everyone, self.now)
        self._after(0, self._refresh_list)

    def start(self, index: int) -> Node:
        """Start a new incarnation of the VM with this index.

        It knows only the VM list.
        """
        address = f'10.0.{index // 250}.{index % 250 + 1}'
        started_ms = START_MS + int(self.now * 1000)
        own = Member(
            vm=f'entry-{index}',
            address=address,
            domain=domain_of(index, self._domains),
            incarnation=f'{started_ms}-{self.rng.getrandbits(32):08x}',
            heartbeat=started_ms,
        )
        members = Membership(own, Random(self.rng.random()), self.now)
        node = Node(address, members)
        self.nodes[address] = node
        vm = own.vm
        self._after(LIST_LAG_S, lambda: self._listed.update({address: vm}))
        members.update_listed_vms(self._listed_vms(), self.now)
        self._after(
            self.rng.random() * PROBE_PERIOD_S, lambda: self._run_period(node)
        )
        return node

    def kill(self, address: str) -> None:
        """Crash a node; the VM list shows it for another `LIST_LAG_S`."""
        node = self.nodes.pop(address)
        node.running = False
        self._after(LIST_LAG_S, lambda: self._remove_from_list(address))

    def freeze(self, address: str, seconds: float) -> None:
        """Pause a node, as SIGSTOP does, and resume it after `seconds`."""
        node = self.nodes[address]
        node.running = False
        self._after(seconds, lambda: self._resume(node))

    def run(self, seconds: float) -> None:
        """Run the simulation for some virtual seconds."""
        self.run_until(lambda: False, seconds)

    def run_until(self, met: Callable[[], bool], limit: float) -> float:
        """Run until `met` holds; return the virtual seconds that it took.

        Returns `limit` if it didn't hold by then.
        """
        started = self.now
        checked = self.now
        while self._events and self._events[0][0] <= started + limit:
            self.now, _, action = heapq.heappop(self._events)
            action()
            if self.now - checked >= CHECK_PERIOD_S:
                checked = self.now
                if met():
                    return self.now - started
        self.now = started + limit
        return limit

    # ---- the views of the nodes

    def state_of(self, observer: Node, address: str) -> MemberState | None:
        """Return the state of an address in the view of one node."""
        known = observer.members.list_records(self.now)
        states = {member.address: member.state for member in known}
        return states.get(address)

    def believers(self, address: str, states: Iterable[MemberState]) -> int:
        """Count the other nodes that see an address in one of these states."""
        wanted_states = set(states)
        return sum(
            self.state_of(node, address) in wanted_states
            for node in self.nodes.values()
            if node.address != address
        )

    def held_dead(self) -> set[str]:
        """Return the addresses that are dead in the view of some node."""
        return {
            member.address
            for node in self.nodes.values()
            for member in node.members.list_records(self.now)
            if member.state is MemberState.DEAD
        }

    def all_agree(self) -> bool:
        """Whether each node sees exactly the current nodes as alive."""
        running = {
            (node.address, node.members.own.member.incarnation)
            for node in self.nodes.values()
        }
        return all(
            {
                (member.address, member.incarnation)
                for member in node.members.owner_candidates(self.now)
            }
            == running
            for node in self.nodes.values()
        )

    # ---- the network

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        entry = (self.now + seconds, next(self._sequence), action)
        heapq.heappush(self._events, entry)

    def _run_period(self, node: Node) -> None:
        if self.nodes.get(node.address) is not node:
            return
        if node.running:
            for outgoing in node.members.tick(self.now):
                self._probe(node, outgoing)
        self._after(PROBE_PERIOD_S, lambda: self._run_period(node))

    def _probe(self, node: Node, outgoing: OutgoingMessage) -> None:
        target = outgoing.target
        self._exchange(
            node,
            outgoing,
            lambda answered: self._on_probe_done(node, target, answered),
        )

    def _exchange(
        self,
        node: Node,
        outgoing: OutgoingMessage,
        on_done: Callable[[bool], None],
    ) -> None:
        """Send a message; call `on_done` with whether the answer arrived."""
        self._count_message(node, outgoing.records)
        if not self.net.passes(node.address, outgoing.target):
            self._after(PROBE_TIMEOUT_S, lambda: on_done(False))
            return
        self._after(LATENCY_S, lambda: self._deliver(node, outgoing, on_done))

    def _deliver(
        self,
        node: Node,
        outgoing: OutgoingMessage,
        on_done: Callable[[bool], None],
    ) -> None:
        peer = self.nodes.get(outgoing.target)
        if peer is None or not peer.running:
            self._after(PROBE_TIMEOUT_S, lambda: on_done(False))
            return
        sender, *records = outgoing.records
        self._update_version(node.address, peer.address)
        reply = peer.members.on_message(sender, records, self.now)
        self._count_message(peer, reply)
        if not self.net.passes(peer.address, node.address):
            self._after(PROBE_TIMEOUT_S, lambda: on_done(False))
            return
        self._after(
            LATENCY_S, lambda: self._deliver_reply(node, reply, on_done)
        )

    def _deliver_reply(
        self,
        node: Node,
        reply: Sequence[Member],
        on_done: Callable[[bool], None],
    ) -> None:
        if node.running:
            self._update_version(reply[0].address, node.address)
            node.members.on_records(reply, self.now)
            on_done(True)

    def _update_version(self, source: str, target: str) -> None:
        # A node that hears of a newer version fetches the terms; the simulation
        # counts no extra time for that call.
        version = self.versions.get(source, 0)
        if version > self.versions.get(target, 0):
            self.versions[target] = version

    def _on_probe_done(self, node: Node, target: str, answered: bool) -> None:
        if not node.running:
            return
        indirect_probes = node.members.on_probe_result(
            target, answered, self.now
        )
        if not indirect_probes:
            return
        results: list[bool] = []
        for indirect_probe in indirect_probes:
            self._exchange(
                node,
                indirect_probe,
                self._make_indirect_probe(indirect_probe, results),
            )
        self._after(
            HELPER_TIMEOUT_S,
            lambda: self._finish_indirect_probe(node, target, results),
        )

    def _make_indirect_probe(
        self,
        indirect_probe: OutgoingMessage,
        results: list[bool],
    ) -> Callable[[bool], None]:
        def probe(is_helper_reached: bool) -> None:
            helper = self.nodes.get(indirect_probe.target)
            if is_helper_reached and helper is not None:
                sent = OutgoingMessage(
                    indirect_probe.probe_target, (helper.members.own.member,)
                )
                self._exchange(helper, sent, results.append)

        return probe

    def _finish_indirect_probe(
        self, node: Node, target: str, results: list[bool]
    ) -> None:
        if node.running:
            members = node.members
            members.on_indirect_result(target, any(results), self.now)

    def _count_message(self, node: Node, records: Sequence[Member]) -> None:
        node.messages += 1
        node.largest = max(node.largest, len(records))
        self.on_send(records)

    # ---- the VM list

    def _refresh_list(self) -> None:
        vms = self._listed_vms()
        for node in self.nodes.values():
            node.members.update_listed_vms(vms, self.now)
        self._after(LIST_PERIOD_S, self._refresh_list)

    def _remove_from_list(self, address: str) -> None:
        if address not in self.nodes:
            self._listed.pop(address, None)

    def _listed_vms(self) -> list[Vm]:
        return [
            Vm(name, address, 7000, 'bramleybend', '', RunnerState.LIVE)
            for address, name in self._listed.items()
        ]

    def _resume(self, node: Node) -> None:
        node.running = True
