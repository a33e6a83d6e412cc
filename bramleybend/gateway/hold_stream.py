"""The gRPC stream on which a gateway asks an owner for a slot and holds it."""

import asyncio
from dataclasses import dataclass
from typing import TypeAlias

import grpc

from bramleybend.state.member import Member
from bramleybend.wire.bramleybend_pb2 import HoldReply, HoldRequest

HoldCall: TypeAlias = grpc.aio.StreamStreamCall[HoldRequest, HoldReply]


@dataclass(frozen=True)
class HoldStream:
    """An open stream on which the owner has replied at least once."""

    call: HoldCall
    owner: Member


async def read_reply(call: HoldCall) -> HoldReply | None:
    """Return the next reply; None if the stream has ended or failed."""
    try:
        reply = await call.read()
    except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
        return None
    return reply if isinstance(reply, HoldReply) else None


async def send_and_read_reply(
    call: HoldCall, first_message: HoldRequest
) -> HoldReply | None:
    """Send the stream's first message and return the reply to it, or None."""
    try:
        await call.write(first_message)
    except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
        return None
    return await read_reply(call)
