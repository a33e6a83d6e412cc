"""To whom a VM sends its heartbeats, and which of them it tells of others.

A VM that hears a heartbeat learns from it what its sender wants to be told;
so hubs need no agreement on who is whose: whoever asks is told.
"""

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass
from typing import Final

from bramleybend.direct.beat_messages import Scope
from bramleybend.direct.members import (
    HUBS,
    LEAST_HUBS,
    RELAYED_ALIVE_S,
    Member,
    Members,
)

# A VM that starts finds the others at once, also those that start with it.
FIRST_BEATS: Final = 25  # five seconds
# Addresses that are silent are tried less often than members are told: a
# seed may be stale, and a VM that was replaced never answers.
STRANGER_EVERY: Final = 5  # heartbeats
COMPARE_EVERY: Final = 5  # heartbeats, between two hubs' lists of VMs
# Between two digests to the same VM, and two words to one that is no hub of
# ours. Each of a domain's hubs has its turn, so a VM hears one each beat.
TURNS: Final = 3
OWNERS: Final = 2  # who orders a service's work, and who would after it


@dataclass(frozen=True)
class Receiver:
    """One VM that a heartbeat goes to."""

    address: str
    wants: Scope = Scope.NONE  # what we want to be told by it
    every: int = 1  # beats until the next
    tells_runs: bool = True
    is_new: bool = False  # it knows nothing of us yet


@dataclass
class Subscriber:
    """A VM that wants to be told of others."""

    address: str
    wants: Scope
    until: float


class Audience:
    """Chooses the receivers of each heartbeat."""

    def __init__(
        self, members: Members, services: Callable[[], Iterable[str]]
    ) -> None:
        """Tell the owners of these services of our runs, too."""
        self._members = members
        self._services = services
        self._seeds: dict[str, None] = {}
        self._subscribers: dict[str, Subscriber] = {}

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Learn where further VMs may be."""
        own = self._members.own.address
        self._seeds.update(
            dict.fromkeys(one for one in addresses if one != own)
        )

    def subscribed(
        self, vm: str, address: str, wants: Scope, now: float
    ) -> bool:
        """Note what a VM wants to be told; tells whether that is new."""
        if wants is Scope.NONE:
            return False
        known = self._subscribers.get(vm)
        until = now + RELAYED_ALIVE_S
        self._subscribers[vm] = Subscriber(address, wants, until)
        return known is None or known.until < now or known.wants < wants

    def subscribers(self, wants: Scope, now: float) -> list[str]:
        """Return the addresses of those who want as much."""
        return [
            one.address
            for one in self._subscribers.values()
            if one.wants is wants and one.until >= now
        ]

    def forget(self, vm: str) -> None:
        """Drop a VM that is gone."""
        self._subscribers.pop(vm, None)

    def receivers(self, beat: int, now: float) -> list[Receiver]:
        """Return whom to tell of ourselves, each VM once."""
        found: dict[str, Receiver] = {}
        for receiver in self._wanted(beat, now):
            found.setdefault(receiver.address, receiver)
        return list(found.values())

    def near(self, now: float) -> list[Member]:
        """Return the VMs whose hub we are."""
        own = self._members.own
        return [
            one
            for one in self._members.alive(now)
            if one.domain == own.domain
            and not self._members.is_hub(one.vm)
            and one.vm in self._subscribers
            and self._subscribers[one.vm].until >= now
        ]

    def next_to_compare(self, beat: int) -> Member | None:
        """Return the hub to compare lists with, if we are one, in turn."""
        if beat % COMPARE_EVERY or not self._is_hub():
            return None
        hubs = self._members.hubs()
        return hubs[beat // COMPARE_EVERY % len(hubs)] if hubs else None

    def is_turn(self, beat: int) -> bool:
        """Tell whether it is our turn to send digests."""
        own = self._members.own
        names = self._members.hub_names(own.domain)
        turn = names.index(own.vm) if own.vm in names else 0
        # Two hubs speak more often: a lost datagram of one is made up for by
        # the other before a VM is taken for silent.
        turns = LEAST_HUBS if len(names) == LEAST_HUBS else TURNS
        return beat % turns == turn

    def left_to_others(self, heard: Container[str]) -> int | None:
        """Return which third of the VMs' totals our domain's other hubs tell.

        Two of three hubs tell a change, so one datagram may be lost. That
        takes hubs that agree on who they are: ones that hear each other.
        """
        own = self._members.own.vm
        names = self._members.hub_names(self._members.own.domain)
        if own not in names or len(names) < HUBS:
            return None
        if all(name in heard for name in names if name != own):
            return names.index(own)
        return None

    def _wanted(self, beat: int, now: float) -> Iterable[Receiver]:
        yield from self._hubs()
        if self.is_turn(beat):
            yield from self._in_turn(now)
        if beat < FIRST_BEATS:
            yield from (Receiver(one, Scope.ALL) for one in self._seeds)
        if beat % STRANGER_EVERY == 0:
            for address in self._strangers(now):
                yield Receiver(address, Scope.ALL, STRANGER_EVERY)

    def _in_turn(self, now: float) -> Iterable[Receiver]:
        for address in self.subscribers(Scope.ALL, now):
            yield Receiver(address, every=TURNS, tells_runs=False)
        for service in self._services():
            for owner in self._members.owners(service, now, OWNERS):
                yield Receiver(owner.address, every=TURNS)

    def _is_hub(self) -> bool:
        return self._members.is_hub(self._members.own.vm)

    def _hubs(self) -> Iterable[Receiver]:
        own = self._members.own
        if self._is_hub():
            for hub in self._members.hubs():
                yield Receiver(hub.address, Scope.NEAR)
        else:
            for hub in self._members.hubs(own.domain):
                yield Receiver(hub.address, Scope.ALL)

    def _strangers(self, now: float) -> Iterable[str]:
        """Return where VMs may be that we don't hear.

        After a cut of whole domains hubs find each other again, and the rest
        finds its own domain.
        """
        own = self._members.own
        is_hub = self._is_hub()
        heard = {one.address for one in self._members.alive(now)}
        yield from (one for one in self._seeds if one not in heard)
        for one in self._members.silent(now):
            if is_hub or one.domain == own.domain:
                yield one.address
