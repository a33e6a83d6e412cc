"""The task that probes peers and exchanges gossip between schedulers.

It owns the `Members` state: all code here runs on one event loop, and no await
stands between reading that state and writing it.
"""

import asyncio
from collections.abc import Coroutine, Iterable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Final, Protocol

from bramleybend.clock import Clock
from bramleybend.models import Vm
from bramleybend.scheduler.member_records import decode_members, encode_members
from bramleybend.scheduler.peer_transport import PeerTransport
from bramleybend.scheduler.remote_loads import RemoteLoads
from bramleybend.state.member import Member
from bramleybend.state.membership import (
    PROBE_PERIOD_S,
    Membership,
    OutgoingMessage,
)
from bramleybend.wire.bramleybend_pb2 import (
    GossipMessage,
    Header,
    ShardRecord,
    SuspectRecord,
)

PROBE_TIMEOUT_S: Final = 0.3
# The helper's probe of the target takes up to PROBE_TIMEOUT_S; the rest is for
# the round trip to the helper.
INDIRECT_PROBE_TIMEOUT_S: Final = 0.4
# A call that ends this long after its timeout was delayed by a pause of this
# process. A missing reply then says nothing about the peer.
MIN_PAUSE_S: Final = 0.5
MAX_LIST_POLLS: Final = 20


class GossipDelegate(Protocol):
    """Provides and receives what messages carry besides membership.

    Each part that it provides is bounded in size.
    """

    def make_header(self) -> Header:
        """Return the header, with the version of the terms in force."""

    def get_listed_vms(self) -> Sequence[Vm]:
        """Return the entry VMs on the VM list."""

    def sample_owned_shards(self) -> Iterable[ShardRecord]:
        """Return loads of shards that this VM owns."""

    def sample_suspects(self) -> Iterable[SuspectRecord]:
        """Return some records of content that was in flight at crashes."""

    def merge_suspects(self, records: Iterable[SuspectRecord]) -> None:
        """Merge the crash records that a peer sent."""

    def on_peer_heard(self, peer: Member, terms_version: int) -> None:
        """Handle a message from a peer that holds this version of the terms."""


@dataclass(frozen=True)
class GossipDeps:
    """Dependencies of the gossip task."""

    members: Membership
    transport: PeerTransport
    delegate: GossipDelegate
    clock: Clock


class Gossip:
    """Probes peers once a period and answers their probes."""

    def __init__(self, deps: GossipDeps, rng: Random) -> None:
        """Send nothing before `run`."""
        self.remote_loads = RemoteLoads(rng)
        self._members = deps.members
        self._transport = deps.transport
        self._delegate = deps.delegate
        self._clock = deps.clock
        self._probe_tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Probe once a period until cancelled."""
        await self._wait_for_list()
        while True:
            self.send_probes()
            await asyncio.sleep(PROBE_PERIOD_S)

    def send_probes(self) -> None:
        """Start this period's probes; also called to announce a stop."""
        now = self._clock.monotonic()
        self._members.update_listed_vms(self._delegate.get_listed_vms(), now)
        for outgoing in self._members.tick(now):
            self._start_task(self.probe(outgoing))

    async def handle_message(self, message: GossipMessage) -> GossipMessage:
        """Send the probe that a peer asks for, process its message, reply."""
        answered = False
        if message.probe:
            answered = await self._probe_for_peer(message.probe)
        members = decode_members(message.members)
        if not members:
            return self._build_message(())
        self._process_payload(members[0], message)
        now = self._clock.monotonic()
        reply = self._members.on_message(members[0], members[1:], now)
        return self._build_message(reply, answered=answered)

    async def probe(self, outgoing: OutgoingMessage) -> None:
        """Probe a peer; if it doesn't answer, probe it through helpers."""
        answered = await self._exchange(outgoing, PROBE_TIMEOUT_S)
        if answered is None:
            return
        now = self._clock.monotonic()
        target = outgoing.target
        indirect_probes = self._members.on_probe_result(target, answered, now)
        if not indirect_probes:
            return
        reached = await asyncio.gather(
            *(
                self._exchange(indirect, INDIRECT_PROBE_TIMEOUT_S)
                for indirect in indirect_probes
            ),
        )
        if None in reached:
            return
        now = self._clock.monotonic()
        self._members.on_indirect_result(target, any(reached), now)

    async def _probe_for_peer(self, address: str) -> bool:
        outgoing = OutgoingMessage(address, (self._members.own.member,))
        return bool(await self._exchange(outgoing, PROBE_TIMEOUT_S))

    async def _exchange(
        self,
        outgoing: OutgoingMessage,
        timeout_s: float,
    ) -> bool | None:
        """Send a message and return whether it was answered.

        For an indirect probe, return whether the helper reached the peer that
        it was asked to probe. Return None if there is no reply and this
        process was paused, which says nothing about the peer.
        """
        message = self._build_message(outgoing.records, outgoing.probe_target)
        started_at = self._clock.monotonic()
        reply = await self._transport.gossip(
            outgoing.target, message, timeout_s
        )
        now = self._clock.monotonic()
        if reply is None:
            was_paused = now - started_at > timeout_s + MIN_PAUSE_S
            return None if was_paused else False
        members = decode_members(reply.members)
        if members:
            self._process_payload(members[0], reply)
            self._members.on_records(members, now)
        return reply.probe_answered if outgoing.probe_target else True

    def _build_message(
        self,
        records: Iterable[Member],
        probe: str = '',
        *,
        answered: bool = False,
    ) -> GossipMessage:
        now = self._clock.monotonic()
        shards = [
            *self._delegate.sample_owned_shards(),
            *self.remote_loads.sample_for_relay(now),
        ]
        return GossipMessage(
            header=self._delegate.make_header(),
            members=encode_members(records),
            suspects=self._delegate.sample_suspects(),
            shards=shards,
            probe=probe,
            probe_answered=answered,
        )

    def _process_payload(self, sender: Member, message: GossipMessage) -> None:
        now = self._clock.monotonic()
        self.remote_loads.add_records(
            message.header.incarnation, message.shards, now
        )
        self._delegate.merge_suspects(message.suspects)
        self._delegate.on_peer_heard(sender, message.header.terms_version)

    async def _wait_for_list(self) -> None:
        # The VM list is still being read when this task starts. Without the
        # list no peer would be probed in the first period.
        for _ in range(MAX_LIST_POLLS):
            if self._delegate.get_listed_vms():
                return
            await asyncio.sleep(PROBE_PERIOD_S / MAX_LIST_POLLS)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._probe_tasks.add(task)
        task.add_done_callback(self._probe_tasks.discard)
