"""The gRPC service that answers other schedulers."""

from collections.abc import Callable

from bramleybend.scheduler.gossip import Gossip
from bramleybend.state.terms_follower import PeerTerms
from bramleybend.wire.bramleybend_pb2 import (
    GossipMessage,
    Header,
    TermsReply,
    TermsRequest,
)
from bramleybend.wire.bramleybend_pb2_grpc import PeerServicer
from bramleybend.wire.protocol_check import Context, reject_protocol_mismatch


class PeerService(PeerServicer):
    """Passes gossip to the gossip task and returns this scheduler's terms."""

    def __init__(
        self,
        gossip: Gossip,
        header: Callable[[], Header],
        terms: Callable[[], PeerTerms | None],
    ) -> None:
        """Answer from the gossip task and from the terms held here."""
        self._gossip = gossip
        self._header = header
        self._terms = terms

    async def Gossip(
        self,
        request: GossipMessage,
        context: Context,
    ) -> GossipMessage:
        """Answer a peer's gossip message."""
        await reject_protocol_mismatch(request.header, context)
        return await self._gossip.handle_message(request)

    async def FetchTerms(
        self,
        request: TermsRequest,
        context: Context,
    ) -> TermsReply:
        """Return the terms held here; version 0 stands for none."""
        await reject_protocol_mismatch(request.header, context)
        terms = self._terms()
        if terms is None:
            return TermsReply(header=self._header())
        return TermsReply(
            header=self._header(),
            version=terms.version,
            offset=terms.next_offset,
            document=terms.document,
        )
