"""gRPC channels to peers, and the options both ends share."""

import asyncio
from collections import OrderedDict
from typing import Final

from grpc import aio

PROTOCOL: Final = 1
# More than the owners of 75 shards and the homes that forward to each other;
# an idle channel costs a socket and its pings.
MAX_CHANNELS: Final = 256
CLOSE_GRACE_S: Final = 60.0  # for calls under way on a channel put away
MAX_MESSAGE: Final = 33_554_432  # bytes; any document of terms fits

# A cut link gives no error by itself: a stream would stay open for minutes
# and a gateway would wait on an owner it can't reach. Pings close it after
# at most the sum of the two times.
KEEPALIVE_TIME_MS: Final = 2000
KEEPALIVE_TIMEOUT_MS: Final = 1500
# gRPC gives up a connection whose peer is silent for this long, and every call
# that waits for it. A peer that a busy machine doesn't run is no lost one.
CONNECT_TIMEOUT_MS: Final = 3000

CHANNEL_OPTIONS: Final = (
    ('grpc.keepalive_time_ms', KEEPALIVE_TIME_MS),
    ('grpc.keepalive_timeout_ms', KEEPALIVE_TIMEOUT_MS),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.max_receive_message_length', MAX_MESSAGE),
    ('grpc.max_send_message_length', MAX_MESSAGE),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', CONNECT_TIMEOUT_MS),
    ('grpc.max_reconnect_backoff_ms', 1000),
    # Without this, channels of one process share a subchannel and its
    # backoff, so one refused connect delays unrelated calls.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.enable_http_proxy', 0),
)
SERVER_OPTIONS: Final = (
    ('grpc.keepalive_permit_without_calls', 1),
    ('grpc.keepalive_time_ms', KEEPALIVE_TIME_MS),
    ('grpc.keepalive_timeout_ms', KEEPALIVE_TIMEOUT_MS),
    ('grpc.http2.min_ping_interval_without_data_ms', 1000),
    ('grpc.http2.max_ping_strikes', 0),
    ('grpc.max_receive_message_length', MAX_MESSAGE),
    ('grpc.max_send_message_length', MAX_MESSAGE),
    ('grpc.so_reuseport', 0),
)


class Channels:
    """Open channels by endpoint; the least used ones are closed."""

    def __init__(self) -> None:
        """Start with none open."""
        self._open: OrderedDict[str, aio.Channel] = OrderedDict()
        self._closing: set[asyncio.Task[None]] = set()

    def get(self, endpoint: str) -> aio.Channel:
        """Return the channel to `ip:port`, opening it if need be."""
        channel = self._open.pop(endpoint, None)
        if channel is None:
            channel = aio.insecure_channel(endpoint, options=CHANNEL_OPTIONS)
        self._open[endpoint] = channel
        if len(self._open) > MAX_CHANNELS:
            self._put_away(self._open.popitem(last=False)[1])
        return channel

    async def close(self) -> None:
        """Close every channel; calls under way end."""
        for task in tuple(self._closing):
            task.cancel()
        for channel in self._open.values():
            await channel.close()
        self._open.clear()

    def _put_away(self, channel: aio.Channel) -> None:
        task = asyncio.create_task(channel.close(CLOSE_GRACE_S))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
