"""This scheduler's place among its peers."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

import grpc

from bramleybend.clock import Clock
from bramleybend.decisions.actions import ShardView
from bramleybend.decisions.quarantine import CrashBook
from bramleybend.decisions.terms_age import terms_age_s
from bramleybend.identity import Identity
from bramleybend.models import RunnerState, Vm
from bramleybend.scheduler.gossip import Gossip, GossipDeps
from bramleybend.scheduler.peer_service import PeerService
from bramleybend.scheduler.peer_wire import PeerWire
from bramleybend.scheduler.suspects import merge, sampled
from bramleybend.state.member import Member, MemberState
from bramleybend.state.membership import Members
from bramleybend.state.terms_follower import PeerTerms, TermsFollower
from bramleybend.wire.bramleybend_pb2 import (
    Header,
    ShardRecord,
    SuspectRecord,
    TermsRequest,
)
from bramleybend.wire.bramleybend_pb2_grpc import add_PeerServicer_to_server
from bramleybend.wire.channels import PROTOCOL

MILLISECONDS: Final = 1000
MAX_SHARDS: Final = 64
MAX_SUSPECTS: Final = 16
# A new process knows nobody and would own every shard beside the true owners,
# or name no owner to its gateway. Until gossip has brought the table it counts
# whom the VM list shows and nobody has contradicted.
JOIN_S: Final = 10.0


@dataclass(frozen=True)
class PeerSources:
    """What peers are told of, and what word of them goes to."""

    identity: Identity
    terms: TermsFollower
    crashes: CrashBook
    listed: Callable[[], Sequence[Vm]]
    shards: Callable[[], Iterable[ShardView]]


class PeerNews:
    """Reads this scheduler's parts for peers and tells them the news."""

    def __init__(self, sources: PeerSources, clock: Clock, rng: Random) -> None:
        """Send what the sources hold."""
        self.ahead: str = ''  # address of a peer with newer terms
        self._sources = sources
        self._clock = clock
        self._rng = rng
        self._learning: asyncio.Task[None] | None = None

    def header(self) -> Header:
        """Return the header, with the version of the terms in force."""
        return Header(
            protocol=PROTOCOL,
            vm=self._sources.identity.vm,
            incarnation=self._sources.identity.incarnation,
            terms_version=self._sources.terms.version,
        )

    def listed(self) -> Sequence[Vm]:
        """Return the entry VMs on the VM list."""
        return self._sources.listed()

    def own_shards(self) -> list[ShardRecord]:
        """Return the loads of the shards owned here, or a random part."""
        views = list(self._sources.shards())
        picked = self._rng.sample(views, min(MAX_SHARDS, len(views)))
        return [
            ShardRecord(
                service=view.service,
                shard=view.shard,
                owner=self._sources.identity.incarnation,
                running=view.running,
                waiting=view.waiting,
                limit=view.limit,
            )
            for view in picked
        ]

    def suspects(self) -> list[SuspectRecord]:
        """Return a random part of the records of crashes."""
        return sampled(self._sources.crashes, self._rng, MAX_SUSPECTS)

    def take_suspects(self, records: Iterable[SuspectRecord]) -> None:
        """Take in records of crashes that a peer knows."""
        merge(self._sources.crashes, records, self._clock.monotonic())

    def heard_from(self, peer: Member, terms_version: int) -> None:
        """Fetch newer terms; the same ones are a sign that none are missed."""
        terms = self._sources.terms
        if terms_version == terms.version:
            terms.heard_peer()
        if terms_version <= terms.version:
            return
        self.ahead = peer.address
        if self._learning is None or self._learning.done():
            self._learning = asyncio.create_task(terms.learn_from_peer())


class Peers:
    """Who else is there, what they know, and the exchange with them."""

    def __init__(
        self,
        sources: PeerSources,
        wire: PeerWire,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Start alone, with a heartbeat from the wall clock."""
        identity = sources.identity
        own = Member(
            vm=identity.vm,
            address=identity.address,
            domain=identity.domain,
            incarnation=identity.incarnation,
            heartbeat=int(clock.now().timestamp() * MILLISECONDS),
        )
        self._started = clock.monotonic()
        self.members = Members(own, rng, self._started)
        self.news = PeerNews(sources, clock, rng)
        self._gossip = Gossip(
            GossipDeps(self.members, wire, self.news, clock),
            rng,
        )
        self._sources = sources
        self._wire = wire
        self._clock = clock
        self._rng = rng

    # ---- queries

    def alive(self) -> tuple[Member, ...]:
        """Return who may own shards."""
        return tuple(each for each in self.met() if each.may_own)

    def met(self) -> tuple[Member, ...]:
        """Return every member, for forwarding also to those leaving."""
        known = self.known()
        if self._clock.monotonic() - self._started > JOIN_S:
            return known
        met = {member.address for member in known}
        return known + tuple(
            Member(vm.name, vm.address, vm.domain, vm.name)
            for vm in self._sources.listed()
            if vm.state is RunnerState.LIVE and vm.address not in met
        )

    def known(self) -> tuple[Member, ...]:
        """Return every member, also those leaving or dead."""
        return self.members.known(self._clock.monotonic())

    def loads(self) -> dict[tuple[str, int], ShardView]:
        """Return the loads heard of from other owners."""
        return self._gossip.shards.views(self._clock.monotonic())

    def terms_age_s(self) -> float:
        """Return how old the word is that the terms are still in force."""
        members = self.met()
        return terms_age_s(
            self._sources.terms.log_age_s,
            self._sources.terms.peer_age_s,
            sum(member.may_own for member in members),
            len(members),
        )

    async def fetch_terms(self) -> PeerTerms | None:
        """Ask a peer for its terms, one that is ahead if there is one."""
        address = self.news.ahead or self._any_address()
        self.news.ahead = ''
        if not address:
            return None
        request = TermsRequest(header=self.news.header())
        reply = await self._wire.fetch_terms(address, request)
        if reply is None or not reply.version:
            return None
        return PeerTerms(reply.version, reply.offset, reply.document)

    # ---- commands

    def serve(self, server: grpc.aio.Server) -> None:
        """Answer peers."""
        service = PeerService(
            self._gossip,
            self.news.header,
            self._sources.terms.for_peer,
        )
        add_PeerServicer_to_server(service, server)

    def leave(self) -> None:
        """Say that this VM leaves, at once."""
        self.members.leave()
        self._gossip.probe_now()

    def on_unreachable(self, vm: str) -> None:
        """Suspect a VM that refused a connection."""
        self.members.on_unreachable(vm, self._clock.monotonic())

    async def follow(self) -> None:
        """Exchange news until cancelled."""
        await self._gossip.run()

    def _any_address(self) -> str:
        others = [
            member.address
            for member in self.known()[1:]
            if member.state is not MemberState.DEAD
        ]
        return self._rng.choice(others) if others else ''


def make_peers(
    sources: PeerSources,
    wire: PeerWire,
    clock: Clock,
) -> Peers:
    """Build a scheduler's peers."""
    return Peers(sources, wire, clock, Random())
