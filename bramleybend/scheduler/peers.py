"""Membership of a scheduler and its exchange of state with its peers."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

import grpc

from bramleybend.clock import Clock
from bramleybend.decisions.actions import ShardView
from bramleybend.decisions.quarantine import CrashRegistry
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
from bramleybend.state.membership import Membership
from bramleybend.state.terms_follower import PeerTerms, TermsFollower
from bramleybend.wire.bramleybend_pb2 import (
    Header,
    ShardRecord,
    SuspectRecord,
    TermsRequest,
)
from bramleybend.wire.bramleybend_pb2_grpc import add_PeerServicer_to_server
from bramleybend.wire.channels import PROTOCOL_VERSION

MS_PER_S: Final = 1000
MAX_SENT_SHARDS: Final = 64
MAX_SENT_SUSPECTS: Final = 16
# A new process knows no members. It would own every shard alongside the actual
# owners, or name no owner to its gateway. Until gossip has brought the member
# table, it also counts the listed VMs of which gossip has brought no record.
JOIN_PERIOD_S: Final = 10.0


@dataclass(frozen=True)
class PeerSources:
    """The state that is sent to peers and updated by their messages."""

    identity: Identity
    terms: TermsFollower
    crashes: CrashRegistry
    listed_vms: Callable[[], Sequence[Vm]]
    owned_shards: Callable[[], Iterable[ShardView]]


class SchedulerGossipDelegate:
    """Provides this scheduler's state to peers and applies what they send."""

    def __init__(self, sources: PeerSources, clock: Clock, rng: Random) -> None:
        """Send the state of the sources."""
        self.newer_terms_address: str = ''  # '' if no peer has newer terms
        self._sources = sources
        self._clock = clock
        self._rng = rng
        self._fetch_task: asyncio.Task[None] | None = None

    def make_header(self) -> Header:
        """Return the header, with the version of the terms in force."""
        return Header(
            protocol=PROTOCOL_VERSION,
            vm=self._sources.identity.vm,
            incarnation=self._sources.identity.incarnation,
            terms_version=self._sources.terms.version,
        )

    def get_listed_vms(self) -> Sequence[Vm]:
        """Return the entry VMs on the VM list."""
        return self._sources.listed_vms()

    def sample_owned_shards(self) -> list[ShardRecord]:
        """Return the loads of all owned shards, or of a random sample."""
        views = list(self._sources.owned_shards())
        sampled = self._rng.sample(views, min(MAX_SENT_SHARDS, len(views)))
        return [
            ShardRecord(
                service=view.service,
                shard=view.shard,
                owner=self._sources.identity.incarnation,
                running=view.running,
                waiting=view.waiting,
                limit=view.limit,
            )
            for view in sampled
        ]

    def sample_suspects(self) -> list[SuspectRecord]:
        """Return a random sample of the crash records."""
        return sample_suspects(
            self._sources.crashes, self._rng, MAX_SENT_SUSPECTS
        )

    def merge_suspects(self, records: Iterable[SuspectRecord]) -> None:
        """Merge the crash records that a peer sent."""
        merge_suspects(self._sources.crashes, records, self._clock.monotonic())

    def on_peer_heard(self, peer: Member, terms_version: int) -> None:
        """Fetch newer terms; equal ones confirm that none were missed."""
        terms = self._sources.terms
        if terms_version == terms.version:
            terms.record_peer_contact()
        if terms_version <= terms.version:
            return
        self.newer_terms_address = peer.address
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = asyncio.create_task(terms.adopt_from_peer())


class Peers:
    """This scheduler's view of its peers and its exchange with them."""

    def __init__(
        self,
        sources: PeerSources,
        transport: PeerTransport,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Know only this VM, with a heartbeat taken from the wall clock."""
        identity = sources.identity
        own = Member(
            vm=identity.vm,
            address=identity.address,
            domain=identity.domain,
            incarnation=identity.incarnation,
            heartbeat=int(clock.now().timestamp() * MS_PER_S),
        )
        self._started_at = clock.monotonic()
        self.members = Membership(own, rng, self._started_at)
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
        """Return the members that may own shards."""
        return tuple(each for each in self.list_contacts() if each.may_own)

    def list_contacts(self) -> tuple[Member, ...]:
        """Return every member, and listed VMs while this process joins.

        Members that are leaving still get forwarded requests.
        """
        known = self.list_known()
        if self._clock.monotonic() - self._started_at > JOIN_PERIOD_S:
            return known
        known_addresses = {member.address for member in known}
        return known + tuple(
            Member(vm.name, vm.address, vm.domain, vm.name)
            for vm in self._sources.listed_vms()
            if vm.state is RunnerState.LIVE
            and vm.address not in known_addresses
        )

    def list_known(self) -> tuple[Member, ...]:
        """Return every member, including leaving and dead ones."""
        return self.members.list_records(self._clock.monotonic())

    def get_remote_loads(self) -> dict[tuple[str, int], ShardView]:
        """Return the loads of other owners' shards, by service and shard."""
        return self._gossip.remote_loads.get_views(self._clock.monotonic())

    def terms_age_s(self) -> float:
        """Return the seconds since the terms were confirmed to be in force."""
        members = self.list_contacts()
        return terms_age_s(
            self._sources.terms.log_age_s,
            self._sources.terms.peer_age_s,
            sum(member.may_own for member in members),
            len(members),
        )

    async def fetch_terms(self) -> PeerTerms | None:
        """Fetch a peer's terms, from a peer with newer ones if one is known."""
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
        """Add the service that answers peers."""
        service = PeerService(
            self._gossip,
            self.delegate.make_header,
            self._sources.terms.state_for_peer,
        )
        add_PeerServicer_to_server(service, server)

    def announce_leaving(self) -> None:
        """Tell peers at once that this VM is leaving."""
        self.members.leave()
        self._gossip.send_probes()

    def on_unreachable(self, vm: str) -> None:
        """Suspect a VM that refused a connection."""
        self.members.on_unreachable(vm, self._clock.monotonic())

    async def run(self) -> None:
        """Exchange gossip until cancelled."""
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
    """Build a scheduler's view of its peers."""
    return Peers(sources, transport, clock, Random())
