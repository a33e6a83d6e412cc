"""Transport of messages to other schedulers, with its own gRPC channels.

Probes go to every peer in turn. With hundreds of peers they would evict the
channels of gateways and tier-floor rounds from a shared cache, and a probe
must not wait behind the streams on those channels.
"""

import asyncio
from collections import OrderedDict
from typing import Final, Protocol

import grpc

from bramleybend.wire.bramleybend_pb2 import (
    GossipMessage,
    TermsReply,
    TermsRequest,
)
from bramleybend.wire.bramleybend_pb2_grpc import PeerStub

MAX_CHANNELS: Final = 32
FETCH_TIMEOUT_S: Final = 2.0
MAX_TERMS_BYTES: Final = 33_554_432  # fits any terms document
# Longer than a probe's timeout; otherwise a peer whose process is paused for a
# moment would look unreachable.
CONNECT_TIMEOUT_MS: Final = 1000
# Backoffs are short, so that the next probe reaches a peer that has come back.
CHANNEL_OPTIONS: Final = (
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', CONNECT_TIMEOUT_MS),
    ('grpc.max_reconnect_backoff_ms', 500),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.enable_http_proxy', 0),
    ('grpc.max_receive_message_length', MAX_TERMS_BYTES),
)


class PeerTransport(Protocol):
    """Sends messages to a peer; None stands for no reply in time."""

    async def gossip(
        self,
        address: str,
        message: GossipMessage,
        timeout_s: float,
    ) -> GossipMessage | None:
        """Send a gossip message and return the peer's reply."""

    async def fetch_terms(
        self,
        address: str,
        request: TermsRequest,
    ) -> TermsReply | None:
        """Fetch the terms that a peer holds."""


class GrpcPeerTransport:
    """Keeps the most recently used channels open and closes the others."""

    def __init__(self, port: int) -> None:
        """Send to the same port of every peer."""
        self._port = port
        self._channels: OrderedDict[str, grpc.aio.Channel] = OrderedDict()
        self._closing: set[asyncio.Task[None]] = set()

    async def gossip(
        self,
        address: str,
        message: GossipMessage,
        timeout_s: float,
    ) -> GossipMessage | None:
        """Send a gossip message and return the peer's reply."""
        try:
            reply: GossipMessage = await self._stub(address).Gossip(
                message,
                timeout=timeout_s,
            )
        except grpc.aio.AioRpcError:
            return None
        return reply

    async def fetch_terms(
        self,
        address: str,
        request: TermsRequest,
    ) -> TermsReply | None:
        """Fetch the terms that a peer holds."""
        try:
            reply: TermsReply = await self._stub(address).FetchTerms(
                request,
                timeout=FETCH_TIMEOUT_S,
            )
        except grpc.aio.AioRpcError:
            return None
        return reply

    async def close(self) -> None:
        """Close every channel."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()

    def _stub(self, address: str) -> PeerStub:
        channel = self._channels.pop(address, None)
        if channel is None:
            channel = grpc.aio.insecure_channel(
                f'{address}:{self._port}',
                options=CHANNEL_OPTIONS,
            )
        self._channels[address] = channel
        if len(self._channels) > MAX_CHANNELS:
            self._evict_oldest()
        return PeerStub(channel)

    def _evict_oldest(self) -> None:
        oldest = self._channels.popitem(last=False)[1]
        task = asyncio.create_task(oldest.close(FETCH_TIMEOUT_S))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
