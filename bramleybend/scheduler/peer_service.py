"""Answers other schedulers."""

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
from bramleybend.wire.check import Context, refuse_other_protocol


class PeerService(PeerServicer):
    """Hands messages to the gossip task, and terms to who asks."""

    def __init__(
        self,
        gossip: Gossip,
        header: Callable[[], Header],
        terms: Callable[[], PeerTerms | None],
    ) -> None:
        """Answer from these."""
        self._gossip = gossip
        self._header = header
        self._terms = terms

    async def Gossip(
        self,
        request: GossipMessage,
        context: Context,
    ) -> GossipMessage:
        """Exchange news with a peer."""
        await refuse_other_protocol(request.header, context)
        return await self._gossip.handle_message(request)

    async def FetchTerms(
        self,
        request: TermsRequest,
        context: Context,
    ) -> TermsReply:
        """Return the terms read here; version 0 stands for none."""
        await refuse_other_protocol(request.header, context)
        terms = self._terms()
        if terms is None:
            return TermsReply(header=self._header())
        return TermsReply(
            header=self._header(),
            version=terms.version,
            offset=terms.position,
            document=terms.document,
        )
