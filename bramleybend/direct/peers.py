"""The UDP endpoint between entry VMs: heartbeats, digests, slot requests.

Owns the socket. Keeps `Members` up to date and passes the rest of each message
to a `MessageHandler`.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, Protocol

import msgspec

from bramleybend.clock import Clock
from bramleybend.direct.datagrams import (
    Endpoint,
    ReceivedDatagrams,
    bind_socket,
    receive_from,
    receive_nothing,
)
from bramleybend.direct.digests import DigestEntry, Digests, make_member
from bramleybend.direct.heartbeat_messages import (
    Digest,
    DigestScope,
    Heartbeat,
    KnownVms,
    MissingProfiles,
    Profile,
    ProfileRequest,
    RelayedTotals,
)
from bramleybend.direct.members import (
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_TIMEOUT_S,
    Member,
    Members,
)
from bramleybend.direct.messages import Message, decode, encode
from bramleybend.direct.recipients import Receiver, Recipients
from bramleybend.direct.traffic import Traffic
from bramleybend.events import EventLog

logger = logging.getLogger(__name__)


class MessageHandler(Protocol):
    """Makes this VM's heartbeats and handles the messages of other VMs."""

    def make_heartbeat(self, receiver: Receiver) -> Heartbeat:
        """Return this VM's heartbeat for a receiver."""

    def handle_heartbeat(
        self, beat: Heartbeat, address: str, heard_at: float
    ) -> None:
        """Handle a heartbeat from an address, heard at a monotonic time."""

    def handle_relayed_totals(
        self, profile: Profile, spent: RelayedTotals
    ) -> None:
        """Handle new totals of a VM that a hub relayed."""

    def handle_message(
        self, message: Message, vm: str, reply: Callable[[Message], None]
    ) -> None:
        """Handle any other message; `reply` sends one to the sender."""

    def on_direct_timeout(self, vm: str) -> None:
        """Handle that a VM sends this VM no more heartbeats itself."""

    def on_silent(self, vm: str) -> None:
        """Handle that a VM is no longer alive, directly or through a hub."""

    def on_lost(self, member: Member) -> None:
        """Handle that a VM was removed after a long silence or a restart."""


class Peers(asyncio.DatagramProtocol):
    """Sends and receives the datagrams between entry VMs."""

    def __init__(
        self,
        members: Members,
        services: Callable[[], Iterable[str]],
        handler: MessageHandler,
        port: int,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Start without peers; owners of `services` get this VM's runs."""
        self._members = members
        self._recipients = Recipients(members, services)
        self.add_seeds = self._recipients.add_seeds
        self._digests = Digests(members)
        self._handler = handler
        self._port = port
        self._clock = clock
        self._events = events
        self._vm_by_address: dict[str, str] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self.received = ReceivedDatagrams(receive_nothing, clock)
        self._rounds = 0
        # When the last digests of all VMs and of this VM's domain were sent.
        self._digest_at = float(0)
        self._domain_digest_at = float(0)
        self._alive_vms: set[str] = set()  # as last reported to the handler
        # By VM, when its next direct heartbeat is overdue.
        self._direct_until: dict[str, float] = {}
        self.traffic = Traffic(events)

    async def start(self, address: str) -> None:
        """Bind the socket."""
        sock = bind_socket(address, self._port)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=sock)
        self.received = ReceivedDatagrams(
            partial(receive_from, sock), self._clock
        )

    async def run(self) -> None:
        """Send heartbeats and digests until cancelled."""
        while True:
            self.send_round()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def send_round(self) -> None:
        """Send one round of heartbeats and digests."""
        self.received.read(self._handle_datagram)
        now = self._clock.monotonic()
        for expired in self._members.remove_expired(now):
            self._report_lost(expired)
        self._report_silent(now)
        self._members.choose_hubs(now)
        self._send_heartbeats(now)
        self._send_digests(now)
        hub = self._recipients.next_hub_to_compare(self._rounds)
        if hub is not None:
            self.send(self._digests.known_vms(), hub.address)
        self._rounds += 1
        self.traffic.log_burst(
            is_hub=self._members.is_hub(self._members.own.vm)
        )

    def send(self, message: Message, address: str) -> None:
        """Send one message; it may be lost."""
        self._send_payload(encode(message), address)

    def contact(self, address: str) -> None:
        """Send a heartbeat to a VM that may not know this one."""
        receiver = Receiver(address, is_new=True)
        self.send(self._handler.make_heartbeat(receiver), address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Keep the transport of the bound socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Endpoint) -> None:
        """Handle a message and the datagrams that are pending behind it.

        The event loop delivers one datagram per iteration, and queues decide
        once per iteration. The slot requests of a burst would each wait for
        the decisions on the ones before.
        """
        self._handle_datagram(data, addr[0])
        self.received.read(self._handle_datagram)

    def error_received(self, exc: Exception) -> None:
        """Log a failed send or receive.

        Nothing else is done: a peer that can't be reached is noticed by its
        missing heartbeats.
        """
        logger.debug('sending or receiving a datagram failed: %s', exc)

    def _handle_datagram(self, payload: bytes, address: str) -> None:
        try:
            message = decode(payload)
        except (msgspec.MsgspecError, RecursionError) as exc:
            self._events.record('peer_unreadable', peer=address, why=str(exc))
            return
        now = self._clock.monotonic()
        vm = self._vm_by_address.get(address, address)
        match message:
            case Heartbeat():
                self._handle_heartbeat(message, address)
            case Digest():
                self._handle_digest(message, address)
            case ProfileRequest() | KnownVms():
                for reply in self._digests.answer(message, vm, now):
                    self.send(reply, address)
            case MissingProfiles():
                for profile in self._digests.unknown_profiles(message):
                    self.contact(profile.address)
            case _:
                self._handler.handle_message(
                    message, vm, partial(self.send, address=address)
                )

    def _send_heartbeats(self, now: float) -> None:
        # Receivers with the same options get the same payload.
        payloads: dict[tuple[DigestScope, int, bool], bytes] = {}
        for receiver in self._recipients.receivers(self._rounds, now):
            options = (
                receiver.requested_digests,
                receiver.interval_beats,
                receiver.includes_runs,
            )
            payload = payloads.get(options)
            if payload is None:
                payload = encode(self._handler.make_heartbeat(receiver))
                payloads[options] = payload
            self._send_payload(payload, receiver.address)

    def _send_digests(self, now: float) -> None:
        hubs = self._recipients.subscribers(DigestScope.DOMAIN, now)
        members = self._recipients.domain_members(now) if hubs else ()
        if members:
            payload = encode(
                self._digests.make(members, now, self._domain_digest_at)
            )
            for address in hubs:
                self._send_payload(payload, address)
        self._domain_digest_at = now
        # A digest with a new or changed profile doesn't wait for its turn:
        # other VMs learn at once of a VM that starts, stops or becomes ready.
        if not self._recipients.is_turn(self._rounds):
            if not self._digests.changed_since(self._digest_at):
                return
        addresses = self._recipients.subscribers(DigestScope.ALL, now)
        if addresses:
            digest = self._digests.make(
                self._members.alive(now),
                now,
                self._digest_at,
                self._recipients.skipped_part(self._direct_until),
            )
            payload = encode(digest)
            for address in addresses:
                self._send_payload(payload, address)
        self._digest_at = now

    def _handle_heartbeat(self, heartbeat: Heartbeat, address: str) -> None:
        profile = heartbeat.profile
        if profile.vm == self._members.own.vm:
            return
        now = self._clock.monotonic()
        heard_at = self.received.received_since()
        self._vm_by_address[address] = profile.vm
        timeout_s = (
            HEARTBEAT_TIMEOUT_S
            + (heartbeat.interval_beats - 1) * HEARTBEAT_INTERVAL_S
        )
        self._direct_until[profile.vm] = heard_at + timeout_s
        before = self._members.get(profile.vm)
        key = self._digests.add_profile(profile, now)
        is_new = self._update_member(
            make_member(profile, key, heard_at, timeout_s)
        )
        self._digests.update_totals(profile.vm, heartbeat, heard_at, now)
        if self._recipients.subscribe(
            profile.vm, address, heartbeat.requested_digests, now
        ):
            is_new = True
            self.send(self._digests.make_first(before, profile, now), address)
        if is_new:
            # A VM that has just started gets this VM's heartbeat at once, not
            # one interval later. It holds the debts of all workspaces.
            self.contact(address)
        self._handler.handle_heartbeat(heartbeat, address, heard_at)

    def _handle_digest(self, digest: Digest, address: str) -> None:
        now = self._clock.monotonic()
        entries, unknown_keys = self._digests.read(
            digest, self.received.received_since(), now
        )
        for entry in entries:
            self._handle_entry(entry, now)
        if unknown_keys:
            self.send(ProfileRequest(unknown_keys), address)

    def _handle_entry(self, entry: DigestEntry, now: float) -> None:
        if entry.member is not None and entry.member.is_alive(now):
            self._update_member(entry.member)
        if entry.spent is None:
            return
        profile, spent = entry.profile, entry.spent
        # Several hubs send the same change; the handler gets it once.
        changed = self._digests.update_totals(
            profile.vm, spent, entry.heard_at, now
        )
        if changed or spent.tells_all:
            fresh = RelayedTotals(
                spent.key, changed, spent.tells_all, spent.accounts_s
            )
            self._handler.handle_relayed_totals(profile, fresh)

    def _update_member(self, member: Member) -> bool:
        """Store a VM that is alive; returns whether it wasn't alive before."""
        before = self._members.update(member)
        if before is not None and before.incarnation != member.incarnation:
            self._report_lost(before)
            self._alive_vms.discard(member.vm)
        if member.vm in self._alive_vms:
            return False
        self._alive_vms.add(member.vm)
        self._events.record(
            'peer_heard', peer=member.vm, incarnation_of=member.incarnation
        )
        return True

    def _report_lost(self, member: Member) -> None:
        self._digests.remove(member)
        self._recipients.unsubscribe(member.vm)
        self._handler.on_lost(member)

    def _report_silent(self, now: float) -> None:
        overdue = [
            vm for vm, until in self._direct_until.items() if until < now
        ]
        for vm in overdue:
            self._direct_until.pop(vm)
            self._handler.on_direct_timeout(vm)
        alive = {member.vm for member in self._members.alive(now)}
        for vm in self._alive_vms - alive:
            self._events.record('peer_silent', peer=vm)
            self._handler.on_silent(vm)
        self._alive_vms &= alive

    def _send_payload(self, payload: bytes, address: str) -> None:
        if self._transport is not None:
            self.traffic.count(payload)
            self._transport.sendto(payload, (address, self._port))
