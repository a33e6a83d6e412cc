"""Talks to the other entry VMs: heartbeats, digests, and asks to owners.

Owns the socket. What is heard goes to the tables that were passed in.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, Protocol

import msgspec

from bramleybend.clock import Clock
from bramleybend.direct.audience import Audience, Receiver
from bramleybend.direct.beat_messages import (
    Beat,
    Digest,
    Introduced,
    Profile,
    Roster,
    Scope,
    Spent,
    Unknown,
)
from bramleybend.direct.datagrams import Datagram, Endpoint, bind, waiting
from bramleybend.direct.digests import Digests, Heard, member_of
from bramleybend.direct.members import ALIVE_S, BEAT_S, Member, Members
from bramleybend.direct.messages import Message, decode, encode
from bramleybend.direct.traffic import Traffic
from bramleybend.events import EventLog

logger = logging.getLogger(__name__)


class Listener(Protocol):
    """What is done with messages of other VMs."""

    def make_beat(self, receiver: Receiver) -> Beat:
        """Return what to tell a VM of ourselves now."""

    def take_beat(self, beat: Beat, address: str) -> None:
        """Take in a heartbeat."""

    def take_spent(self, profile: Profile, spent: Spent) -> None:
        """Take in what a VM told of workspaces' spending."""

    def take(
        self, message: Message, vm: str, reply: Callable[[Message], None]
    ) -> None:
        """Take in any other message."""

    def unheard(self, vm: str) -> None:
        """Hear that a VM no longer tells us anything itself."""

    def silent(self, vm: str) -> None:
        """Hear that a VM was not heard for a while."""

    def lost(self, member: Member) -> None:
        """Hear that a VM is taken for gone."""


class Peers(asyncio.DatagramProtocol):
    """The socket between entry VMs."""

    def __init__(
        self,
        members: Members,
        services: Callable[[], Iterable[str]],
        listener: Listener,
        port: int,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Know nobody; the owners of `services` are told of our runs."""
        self._members = members
        self._audience = Audience(members, services)
        self.add_seeds = self._audience.add_seeds
        self._digests = Digests(members)
        self._listener = listener
        self._port = port
        self._clock = clock
        self._events = events
        self._names: dict[str, str] = {}  # address to VM
        self._transport: asyncio.DatagramTransport | None = None
        self._backlog: Callable[[], Iterable[Datagram]] = tuple
        self._beats = 0
        self._digest_at = float(0)
        self._near_at = float(0)
        self._alive: set[str] = set()
        self._direct: dict[str, float] = {}  # VM to when its word is overdue
        self.sent = Traffic(events)

    async def start(self, address: str) -> None:
        """Bind the socket."""
        sock = bind(address, self._port)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=sock)
        self._backlog = partial(waiting, sock)

    async def run(self) -> None:
        """Tell the others, until cancelled."""
        while True:
            self.beat()
            await asyncio.sleep(BEAT_S)

    def beat(self) -> None:
        """Send one round of heartbeats and digests."""
        now = self._clock.monotonic()
        for old in self._members.forget_old(now):
            self._lose(old)
        self._note_silent(now)
        self._members.choose_hubs(now)
        self._send_beats(now)
        self._send_digests(now)
        hub = self._audience.next_to_compare(self._beats)
        if hub is not None:
            self.send(self._digests.roster(), hub.address)
        self._beats += 1
        self.sent.note_beat(is_hub=self._members.is_hub(self._members.own.vm))

    def send(self, message: Message, address: str) -> None:
        """Send one message; it may be lost."""
        self._write(encode(message), address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Take over the bound socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Endpoint) -> None:
        """Take in a message, and those that came behind it.

        The event loop hands over one datagram a turn. Decided on one by one,
        the asks of a burst would wait for each other.
        """
        self._take(data, addr[0])
        for payload, sender in self._backlog():
            self._take(payload, sender[0])

    def error_received(self, exc: Exception) -> None:
        """Note a refused datagram; silence tells the rest."""
        logger.debug('a datagram was refused: %s', exc)

    def _take(self, payload: bytes, address: str) -> None:
        try:
            message = decode(payload)
        except msgspec.MsgspecError as exc:
            self._events.record('peer_unreadable', peer=address, why=str(exc))
            return
        now = self._clock.monotonic()
        vm = self._names.get(address, address)
        match message:
            case Beat():
                self._take_beat(message, address)
            case Digest():
                self._take_digest(message, address)
            case Unknown() | Roster():
                for reply in self._digests.answer(message, vm, now):
                    self.send(reply, address)
            case Introduced():
                for profile in self._digests.strangers(message):
                    self._greet(profile.address)
            case _:
                self._listener.take(
                    message, vm, partial(self.send, address=address)
                )

    def _send_beats(self, now: float) -> None:
        payloads: dict[tuple[Scope, int, bool], bytes] = {}
        for receiver in self._audience.receivers(self._beats, now):
            kind = (receiver.wants, receiver.every, receiver.tells_runs)
            payload = payloads.get(kind)
            if payload is None:
                payload = encode(self._listener.make_beat(receiver))
                payloads[kind] = payload
            self._write(payload, receiver.address)

    def _send_digests(self, now: float) -> None:
        hubs = self._audience.subscribers(Scope.NEAR, now)
        near = self._audience.near(now) if hubs else ()
        if near:
            payload = encode(self._digests.make(near, now, self._near_at))
            for address in hubs:
                self._write(payload, address)
        self._near_at = now
        # News of a VM that comes, stops or gets ready doesn't wait its turn.
        if not self._audience.is_turn(self._beats):
            if not self._digests.changed_since(self._digest_at):
                return
        everyone = self._audience.subscribers(Scope.ALL, now)
        if everyone:
            digest = self._digests.make(
                self._members.alive(now),
                now,
                self._digest_at,
                self._audience.left_to_others(self._direct),
            )
            payload = encode(digest)
            for address in everyone:
                self._write(payload, address)
        self._digest_at = now

    def _take_beat(self, beat: Beat, address: str) -> None:
        profile = beat.profile
        if profile.vm == self._members.own.vm:
            return
        now = self._clock.monotonic()
        self._names[address] = profile.vm
        lasts_s = ALIVE_S + (beat.every - 1) * BEAT_S
        self._direct[profile.vm] = now + lasts_s
        before = self._members.get(profile.vm)
        key = self._digests.note(profile, now)
        is_new = self._note(member_of(profile, key, now, lasts_s))
        self._digests.note_spendings(profile.vm, beat, now, now)
        if self._audience.subscribed(profile.vm, address, beat.wants, now):
            is_new = True
            self.send(self._digests.missed(before, profile, now), address)
        if is_new:
            # A VM that has just come up learns of us now, not a beat later,
            # and with us of all that workspaces still owe.
            self._greet(address)
        self._listener.take_beat(beat, address)

    def _take_digest(self, digest: Digest, address: str) -> None:
        now = self._clock.monotonic()
        heard, unknown = self._digests.take(digest, now)
        for one in heard:
            self._take_heard(one, now)
        if unknown:
            self.send(Unknown(unknown), address)

    def _take_heard(self, heard: Heard, now: float) -> None:
        if heard.member is not None and heard.member.is_alive(now):
            self._note(heard.member)
        if heard.spent is None:
            return
        profile, spent = heard.profile, heard.spent
        # Several hubs tell of a change; the listener hears of it once.
        changed = self._digests.note_spendings(profile.vm, spent, heard.at, now)
        if changed or spent.tells_all:
            fresh = Spent(spent.key, changed, spent.tells_all, spent.accounts_s)
            self._listener.take_spent(profile, fresh)

    def _greet(self, address: str) -> None:
        greeting = Receiver(address, is_new=True)
        self.send(self._listener.make_beat(greeting), address)

    def _note(self, member: Member) -> bool:
        """Take a VM for alive; tells whether it was not."""
        before = self._members.heard(member)
        if before is not None and before.incarnation != member.incarnation:
            self._lose(before)
            self._alive.discard(member.vm)
        if member.vm in self._alive:
            return False
        self._alive.add(member.vm)
        self._events.record(
            'peer_heard', peer=member.vm, incarnation_of=member.incarnation
        )
        return True

    def _lose(self, member: Member) -> None:
        self._digests.forget(member)
        self._audience.forget(member.vm)
        self._listener.lost(member)

    def _note_silent(self, now: float) -> None:
        overdue = [vm for vm, until in self._direct.items() if until < now]
        for vm in overdue:
            self._direct.pop(vm)
            self._listener.unheard(vm)
        alive = {member.vm for member in self._members.alive(now)}
        for vm in self._alive - alive:
            self._events.record('peer_silent', peer=vm)
            self._listener.silent(vm)
        self._alive &= alive

    def _write(self, payload: bytes, address: str) -> None:
        if self._transport is not None:
            self.sent.count(payload)
            self._transport.sendto(payload, (address, self._port))
