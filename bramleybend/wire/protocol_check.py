"""Rejects peers that use another version of the protocol."""

from typing import Any, TypeAlias

import grpc

from bramleybend.wire.bramleybend_pb2 import Header
from bramleybend.wire.channels import PROTOCOL_VERSION

Context: TypeAlias = grpc.aio.ServicerContext[Any, Any]


async def reject_protocol_mismatch(
    header: Header,
    context: Context,
) -> None:
    """Abort the call if the sender uses another version of the protocol."""
    # A message of another version may lack a field whose default has a
    # meaning of its own, such as tier 0, so no part of it may be used.
    if header.protocol != PROTOCOL_VERSION:
        await context.abort(
            grpc.StatusCode.FAILED_PRECONDITION,
            f'{header.vm or "a peer"} speaks protocol {header.protocol}, '
            f'this VM speaks {PROTOCOL_VERSION}; run the same release on both',
        )
