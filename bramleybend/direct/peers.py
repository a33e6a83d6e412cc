"""Talks to the other entry VMs: heartbeats, and asks to owners.

Owns the socket. What is heard goes to the tables that were passed in.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Any, Final, Protocol, TypeAlias

import msgspec

from bramleybend.clock import Clock
from bramleybend.direct.members import BEAT_S, Member, Members
from bramleybend.direct.messages import (
    Beat,
    MemberNews,
    Message,
    decode,
    encode,
)
from bramleybend.events import EventLog

Endpoint: TypeAlias = tuple[str, int]

# A VM that starts finds the others at once, also those that start with it.
FIRST_BEATS: Final = 25  # five seconds
# Addresses that were never heard are tried less often than members are told:
# a seed may be stale, and a VM that was replaced never answers.
STRANGER_EVERY: Final = 5  # heartbeats

logger = logging.getLogger(__name__)


class Listener(Protocol):
    """What is done with messages of other VMs."""

    def make_beat(self) -> Beat:
        """Return what to tell all others now."""

    def take_beat(self, beat: Beat, address: str) -> None:
        """Take in a heartbeat."""

    def take(
        self, message: Message, vm: str, reply: Callable[[Message], None]
    ) -> None:
        """Take in any other message."""

    def silent(self, vm: str) -> None:
        """Hear that a VM was not heard for a while."""

    def lost(self, member: Member) -> None:
        """Hear that a VM is taken for gone."""


class Peers(asyncio.DatagramProtocol):
    """The socket between entry VMs."""

    def __init__(
        self,
        members: Members,
        listener: Listener,
        port: int,
        seeds: Iterable[str],
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Know the seeds' addresses."""
        self._members = members
        self._listener = listener
        self._port = port
        self._clock = clock
        self._events = events
        self._addresses: dict[str, None] = dict.fromkeys(seeds)
        self._names: dict[str, str] = {}  # address to VM
        self._transport: asyncio.DatagramTransport | None = None
        self._beats = 0
        self._alive: set[str] = set()

    async def start(self, address: str) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address, self._port)
        )

    async def run(self) -> None:
        """Tell the others, until cancelled."""
        while True:
            self.beat()
            await asyncio.sleep(BEAT_S)

    def beat(self) -> None:
        """Send one heartbeat to every VM."""
        now = self._clock.monotonic()
        for old in self._members.forget_old(now):
            self._addresses.pop(old.address, None)
            self._listener.lost(old)
        self._note_silent(now)
        payload = encode(self._listener.make_beat())
        for address in self._due(now):
            self._write(payload, address)
        self._beats += 1

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Learn where further VMs may be."""
        own = self._members.own.address
        for address in addresses:
            if address != own:
                self._addresses.setdefault(address)

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
        """Take in one message."""
        try:
            message = decode(data)
        except msgspec.MsgspecError as exc:
            self._events.record('peer_unreadable', peer=addr[0], why=str(exc))
            return
        if isinstance(message, Beat):
            self._heard(message, addr[0])
            return
        vm = self._names.get(addr[0], addr[0])
        self._listener.take(
            message, vm, lambda reply: self.send(reply, addr[0])
        )

    def error_received(self, exc: Exception) -> None:
        """Note a refused datagram; silence tells the rest."""
        logger.debug('a datagram was refused: %s', exc)

    def _due(self, now: float) -> Iterable[str]:
        if self._beats < FIRST_BEATS or self._beats % STRANGER_EVERY == 0:
            return tuple(self._addresses)
        return [member.address for member in self._members.alive(now)]

    def _heard(self, beat: Beat, address: str) -> None:
        if beat.vm == self._members.own.vm:
            return
        now = self._clock.monotonic()
        self._names[address] = beat.vm
        self.add_addresses([address])
        self.add_addresses(news.address for news in beat.members)
        member = Member(
            beat.vm,
            beat.incarnation,
            address,
            beat.front,
            beat.ready,
            beat.leaving,
            now,
            now,
        )
        before = self._members.heard(member)
        if before is not None and before.incarnation != beat.incarnation:
            self._listener.lost(before)
        if beat.vm not in self._alive:
            self._alive.add(beat.vm)
            self._events.record(
                'peer_heard', peer=beat.vm, incarnation_of=beat.incarnation
            )
            # A VM that has just come up learns of us now, not a beat later.
            self.send(self._listener.make_beat(), address)
        self._listener.take_beat(beat, address)

    def _note_silent(self, now: float) -> None:
        alive = {member.vm for member in self._members.alive(now)}
        for vm in self._alive - alive:
            self._events.record('peer_silent', peer=vm)
            self._listener.silent(vm)
        self._alive &= alive

    def _write(self, payload: bytes, address: str) -> None:
        if self._transport is not None:
            self._transport.sendto(payload, (address, self._port))


def member_news(members: Iterable[Member]) -> list[MemberNews]:
    """Tell where the VMs are that we hear."""
    return [
        MemberNews(member.vm, member.address, member.front)
        for member in members
    ]
