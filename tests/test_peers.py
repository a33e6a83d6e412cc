"""A scheduler's view of its peers and the terms it fetches from them."""

import asyncio
from dataclasses import dataclass, field
from datetime import UTC, datetime
from random import Random
from typing import cast

from bramleybend.clock import ManualClock
from bramleybend.decisions.quarantine import CrashRegistry
from bramleybend.identity import Identity
from bramleybend.models import RunnerState, Vm
from bramleybend.scheduler.peer_transport import PeerTransport
from bramleybend.scheduler.peers import JOIN_PERIOD_S, Peers, PeerSources
from bramleybend.state.member import Member, MemberState
from bramleybend.state.terms_follower import TermsFollower
from bramleybend.wire.bramleybend_pb2 import (
    GossipMessage,
    TermsReply,
    TermsRequest,
)

IDENTITY = Identity('entry-0', 'walton', '10.0.0.1', 'a')


@dataclass
class FakeTransport:
    """Returns newer terms and drops all gossip."""

    fetched_from: list[str] = field(default_factory=list)

    async def gossip(
        self,
        address: str,
        message: GossipMessage,
        timeout_s: float,
    ) -> GossipMessage | None:
        """Drop the message."""
        return await asyncio.sleep(0, None)

    async def fetch_terms(
        self,
        address: str,
        request: TermsRequest,
    ) -> TermsReply | None:
        """Return newer terms."""
        self.fetched_from.append(address)
        return TermsReply(version=8, offset=12, document='document')


@dataclass
class FakeTerms:
    """Counts the calls of its methods."""

    version: int = 7
    peer_heard_count: int = 0
    learn_count: int = 0

    def record_peer_contact(self) -> None:
        """Count a message of a peer with the same terms."""
        self.peer_heard_count += 1

    async def adopt_from_peer(self) -> None:
        """Count a request to fetch a peer's newer terms."""
        self.learn_count += 1


@dataclass
class PeersFixture:
    """One scheduler's `Peers` with fakes for all that they use."""

    clock: ManualClock
    transport: FakeTransport
    terms: FakeTerms
    peers: Peers


def _vm(index: int, state: RunnerState = RunnerState.LIVE) -> Vm:
    return Vm(
        f'entry-{index}',
        f'10.0.0.{index + 1}',
        7002,
        'bramleybend',
        'gulberg',
        state,
    )


def _make_fixture(*vms: Vm) -> PeersFixture:
    clock = ManualClock(datetime(2026, 12, 2, tzinfo=UTC))
    transport, terms = FakeTransport(), FakeTerms()
    sources = PeerSources(
        IDENTITY,
        cast(TermsFollower, terms),
        CrashRegistry(),
        lambda: vms,
        lambda: (),
    )
    peers = Peers(sources, cast(PeerTransport, transport), clock, Random(1))
    return PeersFixture(clock, transport, terms, peers)


def _peer(**changes: MemberState) -> Member:
    return Member('entry-1', '10.0.0.2', 'gulberg', 'b', heartbeat=1, **changes)


def _owner_candidates(fixture: PeersFixture) -> set[str]:
    return {member.vm for member in fixture.peers.list_owner_candidates()}


def test_a_starting_scheduler_counts_the_listed_vms() -> None:
    """A scheduler starts without members while its gateway asks for owners.

    If it ranked only itself, it would own every shard alongside the actual
    owners. So it counts the listed VMs until gossip has brought the members.
    """
    fixture = _make_fixture(_vm(0), _vm(1), _vm(2, RunnerState.LEAVING))

    assert _owner_candidates(fixture) == {'entry-0', 'entry-1'}
    fixture.clock.advance(JOIN_PERIOD_S + 1)
    assert _owner_candidates(fixture) == {'entry-0'}


def test_gossip_overrides_the_vm_list() -> None:
    fixture = _make_fixture(_vm(0), _vm(1))

    fixture.peers.members.on_records([_peer(state=MemberState.LEAVING)], 0)

    assert _owner_candidates(fixture) == {'entry-0'}


async def test_terms_are_fetched_from_the_peer_with_newer_ones() -> None:
    fixture = _make_fixture(_vm(0), _vm(1), _vm(2))
    fixture.peers.delegate.on_peer_heard(_peer(), 8)
    await asyncio.sleep(0)

    found = await fixture.peers.fetch_terms()

    assert fixture.terms.learn_count == 1
    assert fixture.transport.fetched_from == ['10.0.0.2']
    assert found is not None
    assert found.version == 8


async def test_only_a_peer_with_equal_terms_confirms_that_none_are_missed() -> (
    None
):
    fixture = _make_fixture()

    for version in (6, 7):
        fixture.peers.delegate.on_peer_heard(_peer(), version)

    assert fixture.terms.peer_heard_count == 1
    assert not fixture.terms.learn_count
