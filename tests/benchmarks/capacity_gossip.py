"""Cost of membership for one node, by the number of nodes."""

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
WARM_UP_S = 20
MEASURED_S = 30
CALLS = 400
EXTRA_RECORDS = 16  # of shard loads, and of crash records, in a message


def make_members(size: int) -> list[Member]:
    """Make member records of realistic length."""
    return [
        Member(
            vm=f'entry-domain-{index % 7}-{index}',
            address=f'10.0.{index // 250}.{index % 250 + 1}',
            domain=f'domain-{index % 7}',
            incarnation=f'{index:016x}',
            heartbeat=1_790_000_000_000 + index,
        )
        for index in range(size)
    ]


def _make_message(records: Sequence[Member]) -> GossipMessage:
    header = Header(
        protocol=1,
        vm='entry-domain-1-123',
        incarnation='0' * 16,
        terms_version=4800,
    )
    return GossipMessage(header=header, members=encode_members(records))


class MessageMeter:
    """Counts sent messages and bytes, with real encoding and decoding."""

    def __init__(self) -> None:
        """Start the counts at zero."""
        self.messages = 0
        self.sent_bytes = 0

    def __call__(self, records: Sequence[Member]) -> None:
        """Encode, decode and count one message."""
        text = _make_message(records).SerializeToString()
        decode_members(GossipMessage.FromString(text).members)
        self.messages += 1
        self.sent_bytes += len(text)


def measure_membership() -> Iterator[Series]:
    """Measure membership without changes, in virtual time."""
    rows = [(size, *_measure_traffic(size)) for size in SIZES]
    titles = (
        ('membership: messages sent by a node', '1/s'),
        ('membership: bytes sent by a node', 'B/s'),
        ('membership: processor time of a node, without gRPC', 'ms/s'),
    )
    for column, (title, unit) in enumerate(titles, start=1):
        points = tuple((row[0], row[column]) for row in rows)
        yield Series(title, 'nodes', unit, points, 350)
    memory = tuple((size, _measure_memory_kb(size)) for size in SIZES)
    yield Series('membership: memory of a node', 'nodes', 'KB', memory, 350)


def _measure_traffic(size: int) -> tuple[float, float, float]:
    simulation = Play(size, domains=7)
    simulation.run(WARM_UP_S)
    meter = MessageMeter()
    simulation.on_send = meter
    before = time.process_time()
    simulation.run(MEASURED_S)
    cpu_s = time.process_time() - before
    node_seconds = size * MEASURED_S
    return (
        meter.messages / node_seconds,
        meter.sent_bytes / node_seconds,
        1000 * cpu_s / node_seconds,
    )


def _measure_memory_kb(size: int) -> float:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    own, *others = make_members(size)
    members = Membership(own, Random(1), 0)
    members.on_records(others, 0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / 1024


def measure_detection() -> Iterator[Series]:
    """Measure the time until all nodes know of a death, join or partition."""
    death_times, join_times, split_times, heal_times = [], [], [], []
    for size in SIZES:
        simulation = Play(size, domains=2)
        simulation.run(WARM_UP_S)
        victim = next(iter(simulation.nodes))
        simulation.kill(victim)
        death_times.append(
            (
                size,
                simulation.run_until(
                    lambda: _is_marked_dead_by_all(simulation, victim), 60
                ),
            )
        )
        simulation.start(0)
        join_times.append(
            (size, simulation.run_until(simulation.all_agree, 60))
        )
        simulation.net.split = {
            addr: i % 2 for i, addr in enumerate(simulation.nodes)
        }
        split_times.append(
            (
                size,
                simulation.run_until(lambda: _is_split_known(simulation), 60),
            )
        )
        simulation.run(30)
        simulation.net.split = {}
        heal_times.append(
            (size, simulation.run_until(simulation.all_agree, 60))
        )
    rows = (
        ('all hold a killed node dead', death_times),
        ('all views equal after a join', join_times),
        ('all hold the other half dead', split_times),
        ('all views equal after a heal', heal_times),
    )
    for title, points in rows:
        yield Series(title, 'nodes', 's', tuple(points), 350)


def _is_marked_dead_by_all(simulation: Play, victim: str) -> bool:
    others = len(simulation.nodes)
    return simulation.believers(victim, (MemberState.DEAD,)) == others


def _is_split_known(simulation: Play) -> bool:
    sides = list(simulation.net.split.values())
    return all(
        len(node.members.owner_candidates(simulation.now))
        == sides.count(simulation.net.split[node.address])
        for node in simulation.nodes.values()
    )


def measure_terms_spread() -> Iterator[Series]:
    """Measure the time until the terms of one node reach all nodes."""
    points = []
    for size in SIZES:
        simulation = Play(size, domains=7)
        simulation.run(WARM_UP_S)
        simulation.versions[next(iter(simulation.nodes))] = 1
        points.append(
            (
                size,
                simulation.run_until(
                    lambda: len(simulation.versions) == size, 60
                ),
            ),
        )
    title = 'terms: time to reach all by gossip alone, log cut off'
    yield Series(title, 'nodes', 's', tuple(points), 350)


def measure_calls() -> Iterator[Series]:
    """Measure CPU time of both ends of a gossip call over loopback gRPC."""
    yield from asyncio.run(_measure_calls())


async def _measure_calls() -> list[Series]:
    address = f'{free_prefix()}.11'
    own = Member(address, address, 'walton', 'a', heartbeat=1)
    clock = SystemClock()
    members = Membership(own, Random(1), clock.monotonic())
    delegate = FakeDelegate(address, [])
    transport = GrpcPeerTransport(PORT)
    gossip = Gossip(GossipDeps(members, transport, delegate, clock), Random(1))
    server = grpc.aio.server()
    service = PeerService(gossip, delegate.make_header, lambda: None)
    add_PeerServicer_to_server(service, server)
    server.add_insecure_port(f'{address}:{PORT}')
    await server.start()
    open_channel_times, new_channel_times, sizes = [], [], []
    for records in (1, 16, 32, 64):
        message = _make_message(make_members(records))
        open_channel_times.append(
            (records, await _measure_call_ms(transport, address, message))
        )
        new_channel_times.append(
            (records, await _measure_new_channel_ms(address, message))
        )
        _add_extras(message)
        sizes.append((records, float(message.ByteSize())))
    await transport.close()
    await server.stop(None)
    return [
        Series(title, 'records', unit, tuple(points), 14)
        for title, unit, points in (
            ('gossip call, both ends, open channel', 'ms', open_channel_times),
            ('gossip call, both ends, new channel', 'ms', new_channel_times),
            ('gossip message with the most loads and crashes', 'B', sizes),
        )
    ]


def _add_extras(message: GossipMessage) -> None:
    for index in range(EXTRA_RECORDS):
        message.shards.append(
            ShardRecord(
                service='model-small-chat',
                shard=index,
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


async def _measure_call_ms(
    transport: GrpcPeerTransport, address: str, message: GossipMessage
) -> float:
    for _ in range(CALLS // 10):
        await transport.gossip(address, message, 1)
    before = time.process_time()
    for _ in range(CALLS):
        assert await transport.gossip(address, message, 1) is not None
    return 1000 * (time.process_time() - before) / CALLS


async def _measure_new_channel_ms(
    address: str, message: GossipMessage
) -> float:
    before = time.process_time()
    for _ in range(CALLS // 4):
        transport = GrpcPeerTransport(PORT)
        assert await transport.gossip(address, message, 1) is not None
        await transport.close()
    return 1000 * (time.process_time() - before) / (CALLS // 4)
