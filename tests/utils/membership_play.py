"""Membership among many nodes in virtual time, over a network that fails.

Only the network is played; the nodes run the real `Members`.
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
CHECK_S = 0.25
START_MS = 1_790_000_000_000


@dataclass
class Network:
    """Which messages get through."""

    rng: Random
    loss: float = 0
    cut: set[tuple[str, str]] = field(default_factory=set)  # one way each
    split: dict[str, int] = field(default_factory=dict)  # address to side

    def passes(self, source: str, target: str) -> bool:
        """Whether one message gets through."""
        if (source, target) in self.cut:
            return False
        if self.split.get(source, 0) != self.split.get(target, 0):
            return False
        return self.rng.random() >= self.loss


@dataclass
class Node:
    """One process at an address; a restart puts another in its place."""

    address: str
    members: Membership
    running: bool = True
    messages: int = 0
    largest: int = 0  # records in one message


def domain_of(index: int, domains: int) -> str:
    """Return the domain of a VM by its place in the row."""
    return f'domain-{index % domains}'


class Play:
    """All nodes, the network between them and the VM list."""

    def __init__(self, size: int, seed: int = 1, domains: int = 3) -> None:
        """Start `size` nodes that all know each other."""
        self.rng = Random(seed)
        self.net = Network(self.rng)
        self.now = float(0)
        self.on_send: Callable[[Sequence[Member]], object] = len
        self.versions: dict[str, int] = {}  # of the terms, by address
        self._domains = domains
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self.nodes: dict[str, Node] = {}
        self._listed: dict[str, str] = {}  # address to VM name, as listed
        for index in range(size):
            self.start(index)
        everyone = [node.members.own.member for node in self.nodes.values()]
        for node in self.nodes.values():
            node.members.on_records(everyone, self.now)
        self._after(0, self._refresh_list)

    def start(self, index: int) -> Node:
        """Start a new incarnation at a place; it knows nobody."""
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
            self.rng.random() * PROBE_PERIOD_S, lambda: self._tick(node)
        )
        return node

    def kill(self, address: str) -> None:
        """End a node without a word; the list keeps it for a while."""
        node = self.nodes.pop(address)
        node.running = False
        self._after(LIST_LAG_S, lambda: self._unlist(address))

    def freeze(self, address: str, seconds: float) -> None:
        """Stop a node as SIGSTOP does, and let it go on later."""
        node = self.nodes[address]
        node.running = False
        self._after(seconds, lambda: self._thaw(node))

    def run(self, seconds: float) -> None:
        """Play on for a while."""
        self.run_until(lambda: False, seconds)

    def run_until(self, met: Callable[[], bool], limit: float) -> float:
        """Play on until a condition holds; return how long it took."""
        started = self.now
        checked = self.now
        while self._events and self._events[0][0] <= started + limit:
            self.now, _, act = heapq.heappop(self._events)
            act()
            if self.now - checked >= CHECK_S:
                checked = self.now
                if met():
                    return self.now - started
        self.now = started + limit
        return limit

    # ---- what the nodes believe

    def state_of(self, watcher: Node, address: str) -> MemberState | None:
        """Return what one node believes of an address."""
        known = watcher.members.list_records(self.now)
        states = {member.address: member.state for member in known}
        return states.get(address)

    def believers(self, address: str, states: Iterable[MemberState]) -> int:
        """Return how many others believe one of these states."""
        wanted = set(states)
        return sum(
            self.state_of(node, address) in wanted
            for node in self.nodes.values()
            if node.address != address
        )

    def held_dead(self) -> set[str]:
        """Return the addresses that any node holds to be dead."""
        return {
            member.address
            for node in self.nodes.values()
            for member in node.members.list_records(self.now)
            if member.state is MemberState.DEAD
        }

    def all_agree(self) -> bool:
        """Whether every node holds exactly the running nodes for alive."""
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

    def _after(self, seconds: float, act: Callable[[], None]) -> None:
        entry = (self.now + seconds, next(self._numbers), act)
        heapq.heappush(self._events, entry)

    def _tick(self, node: Node) -> None:
        if self.nodes.get(node.address) is not node:
            return
        if node.running:
            for outgoing in node.members.tick(self.now):
                self._probe(node, outgoing)
        self._after(PROBE_PERIOD_S, lambda: self._tick(node))

    def _probe(self, node: Node, outgoing: OutgoingMessage) -> None:
        target = outgoing.target
        self._exchange(
            node,
            outgoing,
            lambda answered: self._probed(node, target, answered),
        )

    def _exchange(
        self,
        node: Node,
        outgoing: OutgoingMessage,
        done: Callable[[bool], None],
    ) -> None:
        """Send, let the target answer, and say whether the answer came."""
        self._count(node, outgoing.records)
        if not self.net.passes(node.address, outgoing.target):
            self._after(PROBE_TIMEOUT_S, lambda: done(False))
            return
        self._after(LATENCY_S, lambda: self._arrive(node, outgoing, done))

    def _arrive(
        self,
        node: Node,
        outgoing: OutgoingMessage,
        done: Callable[[bool], None],
    ) -> None:
        peer = self.nodes.get(outgoing.target)
        if peer is None or not peer.running:
            self._after(PROBE_TIMEOUT_S, lambda: done(False))
            return
        sender, *records = outgoing.records
        self._hear_version(node.address, peer.address)
        reply = peer.members.on_message(sender, records, self.now)
        self._count(peer, reply)
        if not self.net.passes(peer.address, node.address):
            self._after(PROBE_TIMEOUT_S, lambda: done(False))
            return
        self._after(LATENCY_S, lambda: self._answer(node, reply, done))

    def _answer(
        self,
        node: Node,
        reply: Sequence[Member],
        done: Callable[[bool], None],
    ) -> None:
        if node.running:
            self._hear_version(reply[0].address, node.address)
            node.members.on_records(reply, self.now)
            done(True)

    def _hear_version(self, source: str, target: str) -> None:
        # The terms are fetched by one more call, within the same call's time.
        version = self.versions.get(source, 0)
        if version > self.versions.get(target, 0):
            self.versions[target] = version

    def _probed(self, node: Node, target: str, answered: bool) -> None:
        if not node.running:
            return
        asks = node.members.on_probe_result(target, answered, self.now)
        if not asks:
            return
        reached: list[bool] = []
        for ask in asks:
            self._exchange(node, ask, self._helper(ask, reached))
        self._after(
            HELPER_TIMEOUT_S,
            lambda: self._decide(node, target, reached),
        )

    def _helper(
        self,
        ask: OutgoingMessage,
        reached: list[bool],
    ) -> Callable[[bool], None]:
        def probe(asked: bool) -> None:
            helper = self.nodes.get(ask.target)
            if asked and helper is not None:
                sent = OutgoingMessage(
                    ask.probe_target, (helper.members.own.member,)
                )
                self._exchange(helper, sent, reached.append)

        return probe

    def _decide(self, node: Node, target: str, reached: list[bool]) -> None:
        if node.running:
            members = node.members
            members.on_indirect_result(target, any(reached), self.now)

    def _count(self, node: Node, records: Sequence[Member]) -> None:
        node.messages += 1
        node.largest = max(node.largest, len(records))
        self.on_send(records)

    # ---- the VM list

    def _refresh_list(self) -> None:
        vms = self._listed_vms()
        for node in self.nodes.values():
            node.members.update_listed_vms(vms, self.now)
        self._after(LIST_PERIOD_S, self._refresh_list)

    def _unlist(self, address: str) -> None:
        if address not in self.nodes:
            self._listed.pop(address, None)

    def _listed_vms(self) -> list[Vm]:
        return [
            Vm(name, address, 7000, 'bramleybend', '', RunnerState.LIVE)
            for address, name in self._listed.items()
        ]

    def _thaw(self, node: Node) -> None:
        node.running = True
