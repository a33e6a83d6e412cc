"""gRPC channels to peers, and the options of channels and servers."""

import asyncio
from collections import OrderedDict
from typing import Final

from grpc import aio

PROTOCOL_VERSION: Final = 1
# Enough for the owners of 75 shards and for the homes that forward requests to
# each other. An idle channel costs a socket and its pings.
MAX_CHANNELS: Final = 256
CLOSE_GRACE_S: Final = 60.0  # for calls in flight on an evicted channel
MAX_MESSAGE_BYTES: Final = 33_554_432  # enough for any document of terms

# A lost link causes no error by itself: a stream would stay open for minutes,
# and a gateway would wait for an owner that it can't reach. Keepalive pings
# close the connection after at most the sum of these two times.
KEEPALIVE_TIME_MS: Final = 2000
KEEPALIVE_TIMEOUT_MS: Final = 1500
# gRPC abandons an attempt to connect after this time, with every call that
# waits for it. The time allows for a peer whose process a busy machine
# schedules late.
CONNECT_TIMEOUT_MS: Final = 3000

CHANNEL_OPTIONS: Final = (
    ('grpc.keepalive_time_ms', KEEPALIVE_TIME_MS),
    ('grpc.keepalive_timeout_ms', KEEPALIVE_TIMEOUT_MS),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', CONNECT_TIMEOUT_MS),
    ('grpc.max_reconnect_backoff_ms', 1000),
    # Without this, the channels of a process to one address share a
    # subchannel and its backoff, so a refused connection delays other calls.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.enable_http_proxy', 0),
)
SERVER_OPTIONS: Final = (
    ('grpc.keepalive_permit_without_calls', 1),
    ('grpc.keepalive_time_ms', KEEPALIVE_TIME_MS),
    ('grpc.keepalive_timeout_ms', KEEPALIVE_TIMEOUT_MS),
    ('grpc.http2.min_ping_interval_without_data_ms', 1000),
    ('grpc.http2.max_ping_strikes', 0),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.so_reuseport', 0),
)


class Channels:
    """Open channels by endpoint; evicts the least recently used ones."""

    def __init__(self) -> None:
        """Start without an open channel."""
        self._channels: OrderedDict[str, aio.Channel] = OrderedDict()
        self._closing: set[asyncio.Task[None]] = set()

    def get(self, endpoint: str) -> aio.Channel:
        """Return the channel to `ip:port`, which is opened if necessary."""
        channel = self._channels.pop(endpoint, None)
        if channel is None:
            channel = aio.insecure_channel(endpoint, options=CHANNEL_OPTIONS)
        self._channels[endpoint] = channel
        if len(self._channels) > MAX_CHANNELS:
            self._close_evicted(self._channels.popitem(last=False)[1])
        return channel

    async def close(self) -> None:
        """Close all channels and end their calls in flight."""
        for task in tuple(self._closing):
            task.cancel()
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()

    def _close_evicted(self, channel: aio.Channel) -> None:
        task = asyncio.create_task(channel.close(CLOSE_GRACE_S))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
