"""Calls to a process that is paused for a moment while they connect."""

import asyncio
import itertools
from collections.abc import AsyncIterator

import grpc
import pytest
import pytest_asyncio

from bramleybend.scheduler.peer_transport import GrpcPeerTransport
from bramleybend.wire.bramleybend_pb2 import (
    GossipMessage,
    StatusReply,
    StatusRequest,
    TermsReply,
    TermsRequest,
)
from bramleybend.wire.bramleybend_pb2_grpc import (
    ControlServicer,
    ControlStub,
    PeerServicer,
    add_ControlServicer_to_server,
    add_PeerServicer_to_server,
)
from bramleybend.wire.channels import Channels
from bramleybend.wire.protocol_check import Context
from tests.utils.cluster import free_prefix
from tests.utils.relay import Cut, Relay

TIMEOUT_S = 4
_PORTS = itertools.count(7100)


class _FakeProcess(ControlServicer, PeerServicer):
    """Answers a status and a gossip message."""

    async def Status(
        self, request: StatusRequest, context: Context
    ) -> StatusReply:
        return StatusReply(json='{}')

    async def Gossip(
        self, request: GossipMessage, context: Context
    ) -> GossipMessage:
        return GossipMessage()

    async def FetchTerms(
        self, request: TermsRequest, context: Context
    ) -> TermsReply:
        return TermsReply()


@pytest_asyncio.fixture
async def relay() -> AsyncIterator[Relay]:
    """A relay to a process; while cut, it accepts connections only."""
    server = grpc.aio.server()
    add_ControlServicer_to_server(_FakeProcess(), server)
    add_PeerServicer_to_server(_FakeProcess(), server)
    port = server.add_insecure_port('127.0.0.1:0')
    await server.start()
    relayed = Relay(f'{free_prefix()}.5', next(_PORTS), '127.0.0.1', port)
    await relayed.start()
    yield relayed
    await relayed.stop()
    await server.stop(0)


async def _pause(relay: Relay, seconds: float) -> None:
    relay.cut(Cut.BOTH)
    await asyncio.sleep(seconds)
    await relay.heal()


@pytest.mark.parametrize('pause_s', [0.2, 0.8, 1.5, 2.0])
async def test_a_call_outlasts_a_pause_of_a_peer_that_it_connects_to(
    relay: Relay, pause_s: float
) -> None:
    """Guards against taking a busy peer for one that is unreachable."""
    channels = Channels()
    pause_task = asyncio.create_task(_pause(relay, pause_s))
    stub = ControlStub(channels.get(f'{relay.host}:{relay.port}'))
    reply = await stub.Status(StatusRequest(), timeout=TIMEOUT_S)
    assert reply.json == '{}'
    await pause_task
    await channels.close()


async def test_a_probe_outlasts_a_pause_that_is_shorter_than_its_limit(
    relay: Relay,
) -> None:
    """Guards against suspecting a busy peer of being dead."""
    wire = GrpcPeerTransport(relay.port)
    pause_task = asyncio.create_task(_pause(relay, 0.2))
    assert await wire.gossip(relay.host, GossipMessage(), timeout_s=0.6)
    await pause_task
    await wire.close()
