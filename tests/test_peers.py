"""What a scheduler believes of its peers, and learns through them."""

import asyncio
from dataclasses import dataclass, field
from datetime import UTC, datetime
from random import Random
from typing import cast

from bramleybend.clock import ManualClock
from bramleybend.decisions.quarantine import CrashBook
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
    """Answers for terms, and loses all gossip."""

    asked_addresses: list[str] = field(default_factory=list)

    async def gossip(
        self,
        address: str,
        message: GossipMessage,
        timeout_s: float,
    ) -> GossipMessage | None:
        """Lose the message."""
        return await asyncio.sleep(0, None)

    async def fetch_terms(
        self,
        address: str,
        request: TermsRequest,
    ) -> TermsReply | None:
        """Return newer terms."""
        self.asked_addresses.append(address)
        return TermsReply(version=8, offset=12, document='document')


@dataclass
class FakeTerms:
    """Counts what it is told."""

    version: int = 7
    peer_heard_count: int = 0
    learn_count: int = 0

    def heard_peer(self) -> None:
        """Count word of a peer with the same terms."""
        self.peer_heard_count += 1

    async def learn_from_peer(self) -> None:
        """Count word of a peer with newer terms."""
        self.learn_count += 1


@dataclass
class PeersFixture:
    """One scheduler's peers, with all around them faked."""

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


def _bench(*vms: Vm) -> PeersFixture:
    clock = ManualClock(datetime(2026, 12, 2, tzinfo=UTC))
    wire, terms = FakeTransport(), FakeTerms()
    sources = PeerSources(
        IDENTITY,
        cast(TermsFollower, terms),
        CrashBook(),
        lambda: vms,
        lambda: (),
    )
    peers = Peers(sources, cast(PeerTransport, wire), clock, Random(1))
    return PeersFixture(clock, wire, terms, peers)


def _peer(**changes: MemberState) -> Member:
    return Member('entry-1', '10.0.0.2', 'gulberg', 'b', heartbeat=1, **changes)


def _alive(bench: PeersFixture) -> set[str]:
    return {member.vm for member in bench.peers.list_owner_candidates()}


def test_a_starting_scheduler_counts_whom_the_list_shows() -> None:
    """A scheduler starts and knows nobody; its gateway asks for owners.

    Ranking itself alone, it would own every shard beside the true owners.
    So for a while it counts the listed VMs, until gossip has had its time.
    """
    bench = _bench(_vm(0), _vm(1), _vm(2, RunnerState.LEAVING))

    assert _alive(bench) == {'entry-0', 'entry-1'}
    bench.clock.advance(JOIN_PERIOD_S + 1)
    assert _alive(bench) == {'entry-0'}


def test_word_of_gossip_goes_before_the_list() -> None:
    bench = _bench(_vm(0), _vm(1))

    bench.peers.members.on_records([_peer(state=MemberState.LEAVING)], 0)

    assert _alive(bench) == {'entry-0'}


async def test_terms_are_fetched_from_the_peer_that_is_ahead() -> None:
    bench = _bench(_vm(0), _vm(1), _vm(2))
    bench.peers.delegate.on_peer_heard(_peer(), 8)
    await asyncio.sleep(0)

    found = await bench.peers.fetch_terms()

    assert bench.terms.learn_count == 1
    assert bench.transport.asked_addresses == ['10.0.0.2']
    assert found is not None
    assert found.version == 8


async def test_only_a_peer_with_the_same_terms_shows_that_none_are_missed() -> (
    None
):
    bench = _bench()

    for version in (6, 7):
        bench.peers.delegate.on_peer_heard(_peer(), version)

    assert bench.terms.peer_heard_count == 1
    assert not bench.terms.learn_count
