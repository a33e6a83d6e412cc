"""The stream on which a gateway asks for a slot and holds it."""

import asyncio
from dataclasses import dataclass
from typing import TypeAlias

import grpc

from bramleybend.state.member import Member
from bramleybend.wire.bramleybend_pb2 import HoldReply, HoldRequest

HoldCall: TypeAlias = grpc.aio.StreamStreamCall[HoldRequest, HoldReply]


@dataclass(frozen=True)
class HoldStream:
    """A stream that its owner has answered."""

    call: HoldCall
    owner: Member


async def read_reply(call: HoldCall) -> HoldReply | None:
    """Return the next reply; None once the stream is over or broken."""
    try:
        reply = await call.read()
    except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
        return None
    return reply if isinstance(reply, HoldReply) else None


async def send_and_read_reply(
    call: HoldCall, first: HoldRequest
) -> HoldReply | None:
    """Send a stream's first message and return the reply to it."""
    try:
        await call.write(first)
    except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
        return None
    return await read_reply(call)
