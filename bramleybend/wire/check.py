"""Refuses peers that speak another version of the wire messages."""

from typing import Any, TypeAlias

import grpc

from bramleybend.wire.bramleybend_pb2 import Header
from bramleybend.wire.channels import PROTOCOL

Context: TypeAlias = grpc.aio.ServicerContext[Any, Any]


async def refuse_other_protocol(
    header: Header,
    context: Context,
) -> None:
    """End the call with a remedy if the sender's protocol is not ours."""
    # A message of another version may lack fields whose default means
    # something else, such as a tier of 0, so it is never acted on.
    if header.protocol != PROTOCOL:
        await context.abort(
            grpc.StatusCode.FAILED_PRECONDITION,
            f'{header.vm or "a peer"} speaks protocol {header.protocol}, '
            f'this VM speaks {PROTOCOL}; run the same release on both',
        )
