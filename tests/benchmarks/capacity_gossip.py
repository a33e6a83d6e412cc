"""What membership costs a node, by the number of nodes."""

import asyncio
import time
import tracemalloc
from collections.abc import Iterator, Sequence
from random import Random

import grpc

from bramleybend.clock import SystemClock
from bramleybend.scheduler.gossip import Gossip, GossipDeps
from bramleybend.scheduler.member_records import decode_members, encode_members
from bramleybend.scheduler.peer_service import PeerService
from bramleybend.scheduler.peer_transport import GrpcPeerTransport
from bramleybend.state.member import Member, MemberState
from bramleybend.state.membership import Membership
from bramleybend.wire.bramleybend_pb2 import (
    GossipMessage,
    Header,
    ShardRecord,
    SuspectRecord,
)
from bramleybend.wire.bramleybend_pb2_grpc import add_PeerServicer_to_server
from tests.benchmarks.slopes import Series
from tests.test_gossip import PORT, FakeDelegate
from tests.utils.cluster import free_prefix
from tests.utils.membership_play import Play

SIZES = (6, 25, 50, 100, 200, 350)
WARM_S = 20
PLAYED_S = 30
CALLS = 400
EXTRAS = 16  # shard loads and crash records in one message, at most


def make_members(size: int) -> list[Member]:
    """Return records as long as real ones."""
    return [
        Member(
            vm=f'entry-domain-{idx % 7}-{idx}',
            address=f'10.0.{idx // 250}.{idx % 250 + 1}',
            domain=f'domain-{idx % 7}',
            incarnation=f'{idx:016x}',
            heartbeat=1_790_000_000_000 + idx,
        )
        for idx in range(size)
    ]


def _message(records: Sequence[Member]) -> GossipMessage:
    header = Header(
        protocol=1,
        vm='entry-domain-1-123',
        incarnation='0' * 16,
        terms_version=4800,
    )
    return GossipMessage(header=header, members=encode_members(records))


class Meter:
    """Counts what is sent in a play, with real encoding and decoding."""

    def __init__(self) -> None:
        """Start at nothing."""
        self.messages = 0
        self.sent_bytes = 0

    def __call__(self, records: Sequence[Member]) -> None:
        """Encode one message and decode it again."""
        text = _message(records).SerializeToString()
        decode_members(GossipMessage.FromString(text).members)
        self.messages += 1
        self.sent_bytes += len(text)


def membership() -> Iterator[Series]:
    """Quiet membership in virtual time."""
    rows = [(size, *_play(size)) for size in SIZES]
    titles = (
        ('membership: messages sent by a node', '1/s'),
        ('membership: bytes sent by a node', 'B/s'),
        ('membership: processor time of a node, without gRPC', 'ms/s'),
    )
    for column, (title, unit) in enumerate(titles, start=1):
        points = tuple((row[0], row[column]) for row in rows)
        yield Series(title, 'nodes', unit, points, 350)
    memory = tuple((size, _memory_kb(size)) for size in SIZES)
    yield Series('membership: memory of a node', 'nodes', 'KB', memory, 350)


def _play(size: int) -> tuple[float, float, float]:
    play = Play(size, domains=7)
    play.run(WARM_S)
    meter = Meter()
    play.on_send = meter
    before = time.process_time()
    play.run(PLAYED_S)
    spent = time.process_time() - before
    node_seconds = size * PLAYED_S
    return (
        meter.messages / node_seconds,
        meter.sent_bytes / node_seconds,
        1000 * spent / node_seconds,
    )


def _memory_kb(size: int) -> float:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    own, *others = make_members(size)
    members = Membership(own, Random(1), 0)
    members.on_records(others, 0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / 1024


def detection() -> Iterator[Series]:
    """How long until all know of a death, a join and a lost region."""
    killed, joined, split, healed = [], [], [], []
    for size in SIZES:
        play = Play(size, domains=2)
        play.run(WARM_S)
        victim = next(iter(play.nodes))
        play.kill(victim)
        killed.append((size, play.run_until(lambda: _gone(play, victim), 60)))
        play.start(0)
        joined.append((size, play.run_until(play.all_agree, 60)))
        play.net.split = {addr: i % 2 for i, addr in enumerate(play.nodes)}
        split.append((size, play.run_until(lambda: _halved(play), 60)))
        play.run(30)
        play.net.split = {}
        healed.append((size, play.run_until(play.all_agree, 60)))
    rows = (
        ('all hold a killed node dead', killed),
        ('all views equal after a join', joined),
        ('all hold the other half dead', split),
        ('all views equal after a heal', healed),
    )
    for title, points in rows:
        yield Series(title, 'nodes', 's', tuple(points), 350)


def _gone(play: Play, victim: str) -> bool:
    others = len(play.nodes)
    return play.believers(victim, (MemberState.DEAD,)) == others


def _halved(play: Play) -> bool:
    sides = list(play.net.split.values())
    return all(
        len(node.members.owner_candidates(play.now))
        == sides.count(play.net.split[node.address])
        for node in play.nodes.values()
    )


def terms_spread() -> Iterator[Series]:
    """How long until terms that one node knows are known to all."""
    points = []
    for size in SIZES:
        play = Play(size, domains=7)
        play.run(WARM_S)
        play.versions[next(iter(play.nodes))] = 1
        points.append(
            (size, play.run_until(lambda: len(play.versions) == size, 60)),
        )
    title = 'terms: time to reach all by gossip alone, log cut off'
    yield Series(title, 'nodes', 's', tuple(points), 350)


def calls() -> Iterator[Series]:
    """Both ends of one gossip call over loopback gRPC."""
    yield from asyncio.run(_calls())


async def _calls() -> list[Series]:
    address = f'{free_prefix()}.11'
    own = Member(address, address, 'walton', 'a', heartbeat=1)
    clock = SystemClock()
    members = Membership(own, Random(1), clock.monotonic())
    news = FakeDelegate(address, [])
    wire = GrpcPeerTransport(PORT)
    gossip = Gossip(GossipDeps(members, wire, news, clock), Random(1))
    server = grpc.aio.server()
    service = PeerService(gossip, news.make_header, lambda: None)
    add_PeerServicer_to_server(service, server)
    server.add_insecure_port(f'{address}:{PORT}')
    await server.start()
    kept, opened, sizes = [], [], []
    for records in (1, 16, 32, 64):
        message = _message(make_members(records))
        kept.append((records, await _cost(wire, address, message)))
        opened.append((records, await _cost_opening(address, message)))
        _add_extras(message)
        sizes.append((records, float(message.ByteSize())))
    await wire.close()
    await server.stop(None)
    return [
        Series(title, 'records', unit, tuple(points), 14)
        for title, unit, points in (
            ('gossip call, both ends, open channel', 'ms', kept),
            ('gossip call, both ends, new channel', 'ms', opened),
            ('gossip message with the most loads and crashes', 'B', sizes),
        )
    ]


def _add_extras(message: GossipMessage) -> None:
    for idx in range(EXTRAS):
        message.shards.append(
            ShardRecord(
                service='model-small-chat',
                shard=idx,
                owner='0' * 16,
                running=100,
                waiting=100,
                limit=128,
            ),
        )
        message.suspects.append(
            SuspectRecord(
                fingerprint='f' * 16,
                generation=1,
                runners=['runner-domain-1-123'] * 2,
            ),
        )


async def _cost(
    wire: GrpcPeerTransport, address: str, message: GossipMessage
) -> float:
    for _ in range(CALLS // 10):
        await wire.gossip(address, message, 1)
    before = time.process_time()
    for _ in range(CALLS):
        assert await wire.gossip(address, message, 1) is not None
    return 1000 * (time.process_time() - before) / CALLS


async def _cost_opening(address: str, message: GossipMessage) -> float:
    before = time.process_time()
    for _ in range(CALLS // 4):
        wire = GrpcPeerTransport(PORT)
        assert await wire.gossip(address, message, 1) is not None
        await wire.close()
    return 1000 * (time.process_time() - before) / (CALLS // 4)
