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
from bramleybend.scheduler.peer_transport import PeerTransport
from bramleybend.scheduler.suspect_records import (
    merge_suspects,
    sample_suspects,
)
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

MS_PER_S: Final = 1000
MAX_SENT_SHARDS: Final = 64
MAX_SENT_SUSPECTS: Final = 16
# A new process knows nobody and would own every shard beside the true owners,
# or name no owner to its gateway. Until gossip has brought the table it counts
# whom the VM list shows and nobody has contradicted.
JOIN_PERIOD_S: Final = 10.0


@dataclass(frozen=True)
class PeerSources:
    """What peers are told of, and what word of them goes to."""

    identity: Identity
    terms: TermsFollower
    crashes: CrashBook
    listed_vms: Callable[[], Sequence[Vm]]
    owned_shards: Callable[[], Iterable[ShardView]]


class SchedulerGossipDelegate:
    """Reads this scheduler's parts for peers and tells them the news."""

    def __init__(self, sources: PeerSources, clock: Clock, rng: Random) -> None:
        """Send what the sources hold."""
        self.newer_terms_address: str = ''  # address of a peer with newer terms
        self._sources = sources
        self._clock = clock
        self._rng = rng
        self._fetch_task: asyncio.Task[None] | None = None

    def make_header(self) -> Header:
        """Return the header, with the version of the terms in force."""
        return Header(
            protocol=PROTOCOL,
            vm=self._sources.identity.vm,
            incarnation=self._sources.identity.incarnation,
            terms_version=self._sources.terms.version,
        )

    def get_listed_vms(self) -> Sequence[Vm]:
        """Return the entry VMs on the VM list."""
        return self._sources.listed_vms()

    def sample_owned_shards(self) -> list[ShardRecord]:
        """Return the loads of the shards owned here, or a random part."""
        views = list(self._sources.owned_shards())
        picked = self._rng.sample(views, min(MAX_SENT_SHARDS, len(views)))
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

    def sample_suspects(self) -> list[SuspectRecord]:
        """Return a random part of the records of crashes."""
        return sample_suspects(
            self._sources.crashes, self._rng, MAX_SENT_SUSPECTS
        )

    def merge_suspects(self, records: Iterable[SuspectRecord]) -> None:
        """Take in records of crashes that a peer knows."""
        merge_suspects(self._sources.crashes, records, self._clock.monotonic())

    def on_peer_heard(self, peer: Member, terms_version: int) -> None:
        """Fetch newer terms; the same ones are a sign that none are missed."""
        terms = self._sources.terms
        if terms_version == terms.version:
            terms.heard_peer()
        if terms_version <= terms.version:
            return
        self.newer_terms_address = peer.address
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = asyncio.create_task(terms.learn_from_peer())


class Peers:
    """Who else is there, what they know, and the exchange with them."""

    def __init__(
        self,
        sources: PeerSources,
        transport: PeerTransport,
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
            heartbeat=int(clock.now().timestamp() * MS_PER_S),
        )
        self._started_at = clock.monotonic()
        self.members = Members(own, rng, self._started_at)
        self.delegate = SchedulerGossipDelegate(sources, clock, rng)
        self._gossip = Gossip(
            GossipDeps(self.members, transport, self.delegate, clock),
            rng,
        )
        self._sources = sources
        self._transport = transport
        self._clock = clock
        self._rng = rng

    # ---- queries

    def list_owner_candidates(self) -> tuple[Member, ...]:
        """Return who may own shards."""
        return tuple(each for each in self.list_contacts() if each.may_own)

    def list_contacts(self) -> tuple[Member, ...]:
        """Return every member, for forwarding also to those leaving."""
        known = self.list_known()
        if self._clock.monotonic() - self._started_at > JOIN_PERIOD_S:
            return known
        met = {member.address for member in known}
        return known + tuple(
            Member(vm.name, vm.address, vm.domain, vm.name)
            for vm in self._sources.listed_vms()
            if vm.state is RunnerState.LIVE and vm.address not in met
        )

    def list_known(self) -> tuple[Member, ...]:
        """Return every member, also those leaving or dead."""
        return self.members.known(self._clock.monotonic())

    def get_remote_loads(self) -> dict[tuple[str, int], ShardView]:
        """Return the loads heard of from other owners."""
        return self._gossip.remote_loads.get_views(self._clock.monotonic())

    def terms_age_s(self) -> float:
        """Return how old the word is that the terms are still in force."""
        members = self.list_contacts()
        return terms_age_s(
            self._sources.terms.log_age_s,
            self._sources.terms.peer_age_s,
            sum(member.may_own for member in members),
            len(members),
        )

    async def fetch_terms(self) -> PeerTerms | None:
        """Ask a peer for its terms, one that is ahead if there is one."""
        address = self.delegate.newer_terms_address or self._pick_live_address()
        self.delegate.newer_terms_address = ''
        if not address:
            return None
        request = TermsRequest(header=self.delegate.make_header())
        reply = await self._transport.fetch_terms(address, request)
        if reply is None or not reply.version:
            return None
        return PeerTerms(reply.version, reply.offset, reply.document)

    # ---- commands

    def add_service(self, server: grpc.aio.Server) -> None:
        """Answer peers."""
        service = PeerService(
            self._gossip,
            self.delegate.make_header,
            self._sources.terms.for_peer,
        )
        add_PeerServicer_to_server(service, server)

    def announce_leaving(self) -> None:
        """Say that this VM leaves, at once."""
        self.members.leave()
        self._gossip.send_probes()

    def on_unreachable(self, vm: str) -> None:
        """Suspect a VM that refused a connection."""
        self.members.on_unreachable(vm, self._clock.monotonic())

    async def run(self) -> None:
        """Exchange news until cancelled."""
        await self._gossip.run()

    def _pick_live_address(self) -> str:
        others = [
            member.address
            for member in self.list_known()[1:]
            if member.state is not MemberState.DEAD
        ]
        return self._rng.choice(others) if others else ''


def make_peers(
    sources: PeerSources,
    transport: PeerTransport,
    clock: Clock,
) -> Peers:
    """Build a scheduler's peers."""
    return Peers(sources, transport, clock, Random())
