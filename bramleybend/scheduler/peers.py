"""This scheduler's place among its peers, by the VM list alone."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

import grpc

from bramleybend.decisions.actions import ShardView
from bramleybend.identity import Identity
from bramleybend.models import RunnerState
from bramleybend.scheduler.list_watch import ListWatch
from bramleybend.state.member import Member, MemberState
from bramleybend.state.terms_follower import PeerTerms
from bramleybend.wire.bramleybend_pb2 import SuspectRecord
from bramleybend.wire.channels import Channels


@dataclass
class Peers:
    """Who else is there."""

    identity: Identity
    listed: ListWatch
    channels: Channels

    def alive(self) -> tuple[Member, ...]:
        """Return who may own shards."""
        own = Member(
            self.identity.vm,
            self.identity.address,
            self.identity.domain,
            self.identity.vm,
        )
        others = [
            Member(vm.name, vm.address, vm.domain, vm.name, MemberState.ALIVE)
            for vm in self.listed.entries
            if vm.state is RunnerState.LIVE and vm.name != own.vm
        ]
        return (own, *others)

    known = alive

    def loads(self) -> dict[tuple[str, int], ShardView]:
        """Return loads heard of."""
        return {}

    def suspects(self) -> Iterable[SuspectRecord]:
        """Return suspects."""
        return ()

    async def fetch_terms(self) -> PeerTerms | None:
        """Ask a peer for terms."""
        return None

    def serve(self, server: grpc.aio.Server) -> None:
        """Answer peers."""

    def leave(self) -> None:
        """Say that this VM leaves."""

    async def follow(self) -> None:
        """Gossip until cancelled."""
        await asyncio.Event().wait()


def make_peers(scheduler: object, channels: Channels, clock: object) -> Peers:
    return Peers(scheduler.identity, scheduler.listed, channels)
