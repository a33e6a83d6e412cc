"""Membership of schedulers over gRPC, with peers cut off or killed."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import UTC, datetime
from random import Random

import grpc
import pytest

from bramleybend.clock import ManualClock, SystemClock
from bramleybend.models import RunnerState, Vm
from bramleybend.scheduler.gossip import Gossip, GossipDeps
from bramleybend.scheduler.peer_service import PeerService
from bramleybend.scheduler.peer_transport import GrpcPeerTransport
from bramleybend.state.member import Member, MemberState
from bramleybend.state.membership import Membership, OutgoingMessage
from bramleybend.wire.bramleybend_pb2 import (
    GossipMessage,
    Header,
    ShardRecord,
    SuspectRecord,
    TermsReply,
    TermsRequest,
)
from bramleybend.wire.bramleybend_pb2_grpc import (
    PeerStub,
    add_PeerServicer_to_server,
)
from bramleybend.wire.channels import PROTOCOL_VERSION
from tests.utils.cluster import free_prefix
from tests.utils.waiting import wait_until

PORT = 7002
SUSPECT_OR_DEAD = {MemberState.SUSPECT, MemberState.DEAD}
CLOCK = SystemClock()


@dataclass
class FakeDelegate:
    """What one node sends, and what it received."""

    address: str
    vms: list[Vm]
    terms_version: int = 1
    shards: list[ShardRecord] = field(default_factory=list)
    suspect_records: list[SuspectRecord] = field(default_factory=list)
    merged_suspects: dict[str, SuspectRecord] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)

    def make_header(self) -> Header:
        """Return a header that names this node."""
        return Header(
            protocol=PROTOCOL_VERSION,
            vm=self.address,
            incarnation=f'{self.address}-a',
            terms_version=self.terms_version,
        )

    def get_listed_vms(self) -> Sequence[Vm]:
        """Return every node."""
        return self.vms

    def sample_owned_shards(self) -> Iterable[ShardRecord]:
        """Return the test's records."""
        return self.shards

    def sample_suspects(self) -> Iterable[SuspectRecord]:
        """Return the test's records."""
        return self.suspect_records

    def merge_suspects(self, records: Iterable[SuspectRecord]) -> None:
        """Keep the records received."""
        self.merged_suspects.update(
            {record.fingerprint: record for record in records}
        )

    def on_peer_heard(self, peer: Member, terms_version: int) -> None:
        """Keep the terms version received."""
        self.versions[peer.address] = terms_version


@dataclass
class CutTransport:
    """A transport that silently drops messages to some addresses."""

    transport: GrpcPeerTransport
    cut_addresses: set[str] = field(default_factory=set)

    async def gossip(
        self,
        address: str,
        message: GossipMessage,
        timeout_s: float,
    ) -> GossipMessage | None:
        """Send a message, or wait for its timeout if the address is cut."""
        if address in self.cut_addresses:
            await asyncio.sleep(timeout_s)
            return None
        return await self.transport.gossip(address, message, timeout_s)

    async def fetch_terms(
        self,
        address: str,
        request: TermsRequest,
    ) -> TermsReply | None:
        """Forward to the actual transport."""
        return await self.transport.fetch_terms(address, request)


class GossipNode:
    """One scheduler's gossip, with a server of its own."""

    def __init__(self, address: str, vms: list[Vm], seed: int) -> None:
        """Know only this node."""
        own = Member(address, address, 'walton', f'{address}-a', heartbeat=1)
        rng = Random(seed)
        self.address = address
        self.delegate = FakeDelegate(address, vms)
        self.transport = CutTransport(GrpcPeerTransport(PORT))
        self.members = Membership(own, rng, CLOCK.monotonic())
        deps = GossipDeps(self.members, self.transport, self.delegate, CLOCK)
        self.gossip = Gossip(deps, rng)
        self.server = grpc.aio.server()
        self._gossip_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serve and probe."""
        service = PeerService(
            self.gossip, self.delegate.make_header, lambda: None
        )
        add_PeerServicer_to_server(service, self.server)
        self.server.add_insecure_port(f'{self.address}:{PORT}')
        await self.server.start()
        self._gossip_task = asyncio.create_task(self.gossip.run())

    async def stop(self) -> None:
        """Stop without telling the peers."""
        if self._gossip_task is not None:
            self._gossip_task.cancel()
        await self.server.stop(None)
        await self.transport.transport.close()

    def state_of(self, address: str) -> MemberState | None:
        """Return the state in which this node sees an address."""
        known = self.members.list_records(CLOCK.monotonic())
        states = {member.address: member.state for member in known}
        return states.get(address)


@asynccontextmanager
async def _running_nodes(size: int) -> AsyncIterator[list[GossipNode]]:
    prefix = free_prefix()
    addresses = [f'{prefix}.{index + 11}' for index in range(size)]
    vms = [
        Vm(addr, addr, PORT, 'bramleybend', 'walton', RunnerState.LIVE)
        for addr in addresses
    ]
    nodes = [GossipNode(addr, vms, seed) for seed, addr in enumerate(addresses)]
    for node in nodes:
        await node.start()
    try:
        await wait_until(
            _all_know_each_other(nodes), 'all nodes know each other'
        )
        yield nodes
    finally:
        for node in nodes:
            await node.stop()


def _all_know_each_other(nodes: list[GossipNode]) -> Callable[[], bool]:
    def is_complete() -> bool:
        now = CLOCK.monotonic()
        return all(
            len(node.members.owner_candidates(now)) == len(nodes)
            for node in nodes
        )

    return is_complete


async def test_all_notice_a_killed_peer_within_seconds() -> None:
    """A scheduler dies; connections to its address are refused.

    The next node to probe it asks helpers, which are refused too. So it is
    suspected within about a period, and its shards go to their fallbacks once
    the suspicion has timed out. The timeouts here allow for a busy machine.
    """
    async with _running_nodes(6) as nodes:
        victim, *others = nodes
        await victim.stop()

        await wait_until(
            lambda: all(
                node.state_of(victim.address) in SUSPECT_OR_DEAD
                for node in others
            ),
            'all suspect it',
            8,
        )
        await wait_until(
            lambda: all(
                node.state_of(victim.address) is MemberState.DEAD
                for node in others
            ),
            'all see it as dead',
            8,
        )


async def test_a_peer_cut_off_one_way_is_reached_by_helpers() -> None:
    """Messages from one node to one peer are lost; all other paths work.

    The node's direct probes of the peer time out, but helpers reach the peer,
    so no node declares it dead.
    """
    async with _running_nodes(4) as nodes:
        first, second, *_ = nodes
        first.transport.cut_addresses.add(second.address)

        for _ in range(40):
            await asyncio.sleep(0.2)
            for node in nodes:
                assert node.state_of(second.address) is not MemberState.DEAD


async def test_a_peer_cut_off_both_ways_comes_back() -> None:
    """One node is cut off from all others for a while, and then reconnected.

    Each side declares the other dead. The address is still listed, so it is
    tried again; the node learns that it was declared dead and refutes that.
    """
    async with _running_nodes(4) as nodes:
        lost, *others = nodes
        lost.transport.cut_addresses.update(node.address for node in others)
        for node in others:
            node.transport.cut_addresses.add(lost.address)
        await wait_until(
            lambda: all(
                node.state_of(lost.address) is MemberState.DEAD
                for node in others
            ),
            'the others see it as dead',
        )

        for node in nodes:
            node.transport.cut_addresses.clear()

        await wait_until(
            _all_know_each_other(nodes), 'all know each other again'
        )


@dataclass
class PausedTransport:
    """Gives no replies; at the given call the whole process is paused."""

    clock: ManualClock
    paused_at: int
    calls: int = 0

    async def gossip(
        self,
        address: str,
        message: GossipMessage,
        timeout_s: float,
    ) -> GossipMessage | None:
        """Let the timeout pass, or a pause that is much longer."""
        self.calls += 1
        is_paused = self.calls == self.paused_at
        self.clock.advance(60 if is_paused else timeout_s)
        return await asyncio.sleep(0, None)

    async def fetch_terms(
        self,
        address: str,
        request: TermsRequest,
    ) -> TermsReply | None:
        """Give no reply."""
        return await asyncio.sleep(0, None)


@pytest.mark.parametrize(
    ('paused_at', 'state'),
    [
        (0, MemberState.SUSPECT),
        (1, MemberState.ALIVE),  # during the direct probe
        (2, MemberState.ALIVE),  # during the indirect probes
    ],
)
async def test_a_pause_of_this_process_suspects_no_peer(
    paused_at: int,
    state: MemberState,
) -> None:
    """This process is paused for a minute during a probe.

    When the process resumes, the probe has timed out. The reply may have been
    lost in the pause, so the timeout says nothing about the peer; without a
    pause the same timeout makes the peer a suspect.
    """
    clock = ManualClock(datetime(2026, 12, 2, tzinfo=UTC))
    transport = PausedTransport(clock, paused_at)
    own, peer, helper = (
        Member(f'entry-{idx}', f'10.0.0.{idx}', 'walton', 'a', heartbeat=1)
        for idx in range(3)
    )
    members = Membership(own, Random(1), 0)
    members.on_records([peer, helper], 0)
    deps = GossipDeps(members, transport, FakeDelegate('10.0.0.0', []), clock)

    await Gossip(deps, Random(1)).probe(OutgoingMessage(peer.address, (own,)))

    states = {member.vm: member.state for member in members.list_records(0)}
    assert states[peer.vm] is state


async def test_gossip_reaches_every_node() -> None:
    async with _running_nodes(6) as nodes:
        source, *others = nodes
        source.delegate.terms_version = 7
        source.delegate.suspect_records = [
            SuspectRecord(fingerprint='f', generation=1)
        ]
        source.delegate.shards = [
            ShardRecord(
                service='briefing-llm',
                shard=2,
                owner=f'{source.address}-a',
                running=3,
                limit=4,
            ),
        ]

        def is_spread() -> bool:
            now = CLOCK.monotonic()
            return all(
                node.delegate.versions.get(source.address) == 7
                and 'f' in node.delegate.merged_suspects
                and ('briefing-llm', 2)
                in node.gossip.remote_loads.get_views(now)
                for node in others
            )

        await wait_until(is_spread, 'all have received it')


async def test_a_peer_of_another_protocol_is_refused_by_name() -> None:
    async with _running_nodes(1) as nodes:
        endpoint = f'{nodes[0].address}:{PORT}'
        message = GossipMessage(header=Header(protocol=99, vm='entry-9'))
        async with grpc.aio.insecure_channel(endpoint) as channel:
            try:
                await PeerStub(channel).Gossip(message, timeout=5)
            except grpc.aio.AioRpcError as exc:
                assert exc.code() is grpc.StatusCode.FAILED_PRECONDITION
                assert 'entry-9 speaks protocol 99' in str(exc.details())
            else:
                raise AssertionError('the message was accepted')


async def test_a_message_without_a_sender_changes_nothing() -> None:
    async with _running_nodes(1) as nodes:
        reply = await nodes[0].gossip.handle_message(GossipMessage())

        assert not reply.members
        assert len(nodes[0].members.list_records(CLOCK.monotonic())) == 1
