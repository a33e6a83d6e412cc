"""Which entry VMs there are, and which of them are hubs.

Pure state: `Peers` owns the socket. A VM counts as alive while it was heard,
directly or through a hub, within the time that the next word of it is due.

Load pattern: many VMs on links of a few Mbit/s, of which each has to know
which others live.
Without it: each tells each, and the bytes grow with the cube of the VMs, more
than thin links carry.

The `HUBS` VMs of each failure domain that can carry most are its hubs, or
`LEAST_HUBS` where the third can carry less. Hubs tell each other of themselves
and of their domain; every other VM tells its domain's hubs of itself and hears
from them of all. Up to `HUBS` VMs a domain all are hubs, and each tells each.
"""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from heapq import nlargest
from typing import Final, TypeAlias

from bramleybend.direct.ranks import hash_of, rank_of

BEAT_S: Final = 0.2
# Three heartbeats: one lost datagram is no failure, and the callers of a VM
# that has died wait no longer than this for another owner.
ALIVE_S: Final = 0.65
# What hubs tell of others comes from each of a domain's hubs in turn, every
# third beat; so does the word of VMs that speak to us but each third beat.
RELAYED_ALIVE_S: Final = ALIVE_S + 2 * BEAT_S
# Silent for longer than any freeze or cut is likely to last.
FORGET_S: Final = 30.0
# A VM that comes up is asked nothing before it knows what runs where, unless
# all come up at once.
SETTLE_S: Final = 1.0
# One may be down and another frozen, and the domain still hears the rest.
HUBS: Final = 3
# Telling a domain of all takes most of a thin link, so its VMs do so only in
# place of a second hub.
LEAST_HUBS: Final = 2

# Whether it stays, its capacity, a hash, its name.
_HubRank: TypeAlias = tuple[bool, int, int, str]


@dataclass
class Member:
    """One VM as last heard."""

    vm: str
    incarnation: str
    address: str
    front: str
    ready: bool
    leaving: bool
    heard_at: float  # when it last spoke, to us or to a hub
    since: float
    domain: str = ''
    capacity: int = 0
    key: int = 0  # of its profile
    lasts_s: float = ALIVE_S  # after `heard_at`

    def is_alive(self, now: float) -> bool:
        """Tell whether its next word is not overdue."""
        return now - self.heard_at <= self.lasts_s

    def refresh(self, key: int, heard_at: float, now: float) -> bool:
        """Take in a relayed word, unless it says more than that it lives.

        Returns whether that was all: the profile is the same, and it was
        alive before.
        """
        if key != self.key or not self.is_alive(now):
            return False
        if heard_at > self.heard_at and now - heard_at <= RELAYED_ALIVE_S:
            self.heard_at = heard_at
            self.lasts_s = RELAYED_ALIVE_S
        return True


@dataclass(frozen=True)
class Self:
    """What a VM says of itself."""

    vm: str
    incarnation: str
    address: str
    front: str
    domain: str = ''
    # How much it can carry, in powers of two: work for all goes to the
    # highest first, and a VM on a thin link or half a core is spared.
    capacity: int = 0


class Members:
    """The other VMs."""

    def __init__(self, own: Self) -> None:
        """Know nobody but oneself."""
        self.own = own
        self._members: dict[str, Member] = {}
        self._distrusted: dict[str, float] = {}  # vm to the end of it
        self._hubs: dict[str, list[str]] = {}  # names by domain

    def __iter__(self) -> Iterator[Member]:
        """Go over all that are known, silent ones included."""
        return iter(self._members.values())

    def get(self, vm: str) -> Member | None:
        """Return a VM, if it is known."""
        return self._members.get(vm)

    def heard(self, member: Member) -> Member | None:
        """Take in a VM's word; returns what was known of the VM before.

        An older word that came through a slower hub changes nothing.
        """
        before = self._members.get(member.vm)
        if before is not None:
            if before.heard_at > member.heard_at:
                return before
            if before.incarnation == member.incarnation:
                member.since = before.since
        self._members[member.vm] = member
        return before

    def forget_old(self, now: float) -> list[Member]:
        """Drop those that were silent for long."""
        old = [
            member
            for member in self._members.values()
            if now - member.heard_at > FORGET_S
        ]
        for member in old:
            self._members.pop(member.vm)
        return old

    def alive(self, now: float) -> list[Member]:
        """Return those that were heard just now."""
        return [
            member for member in self._members.values() if member.is_alive(now)
        ]

    def silent(self, now: float) -> list[Member]:
        """Return those that are known and not heard."""
        return [
            member
            for member in self._members.values()
            if not member.is_alive(now)
        ]

    def serving(self, now: float) -> list[Member]:
        """Return those that callers may use now."""
        return [
            member
            for member in self.alive(now)
            if member.ready and not member.leaving
        ]

    def share(self, now: float) -> float:
        """Return which part of the VMs can be heard, with ourselves."""
        return (len(self.alive(now)) + 1) / self.count()

    def count(self) -> int:
        """Count the VMs, with ourselves."""
        return len(self._members) + 1

    def distrust(self, vm: str, until: float) -> None:
        """Ask a VM nothing for a while: it did not answer."""
        self._distrusted[vm] = until

    def choose_hubs(self, now: float) -> None:
        """Rank the VMs of each domain anew."""
        own = self.own
        ranks: dict[str, list[_HubRank]] = defaultdict(list)
        ranks[own.domain].append((True, *rank_of('hub', own), own.vm))
        for one in self.alive(now):
            rank = (not one.leaving, *rank_of('hub', one), one.vm)
            ranks[one.domain].append(rank)
        self._hubs = {
            domain: _first_names(ranked) for domain, ranked in ranks.items()
        }

    def is_hub(self, vm: str) -> bool:
        """Tell whether a VM is among its domain's hubs."""
        return any(vm in names for names in self._hubs.values())

    def hub_names(self, domain: str) -> list[str]:
        """Return a domain's hubs, the first in rank first."""
        return self._hubs.get(domain, [])

    def hubs(self, domain: str | None = None) -> list[Member]:
        """Return the hubs of one domain or of all, without ourselves."""
        names = (
            vm
            for where, hubs in self._hubs.items()
            if domain is None or domain == where
            for vm in hubs
        )
        return [self._members[vm] for vm in names if vm in self._members]

    def ranks_first(
        self, work: str, able: Mapping[str, bool], most: int
    ) -> bool:
        """Tell whether we are among the first hubs for some work.

        `able` names the VMs that were heard and tells which can do it. A VM
        that is no hub does it only where no hub that it hears can: else all
        VMs of a domain would do what two do for all.
        """
        ahead = [vm for vm, is_able in able.items() if is_able]
        if self._hubs and not self.is_hub(self.own.vm):
            return not any(self.is_hub(vm) for vm in ahead)
        ours = rank_of(work, self.own)
        hubs = [vm for vm in ahead if not self._hubs or self.is_hub(vm)]
        return sum(self._rank_of(work, vm) > ours for vm in hubs) < most

    def owners(self, service: str, now: float, most: int) -> list[Member]:
        """Return the first in rank for a service's work, without us."""
        able = [one for one in self.alive(now) if self._may_own(one, now)]
        settled = [one for one in able if now - one.since >= SETTLE_S]
        # Where nobody has settled, all have just started, or we have. Ordered
        # by each for itself, the work of all would start at the same runners.
        return nlargest(
            most, settled or able, key=lambda one: rank_of(service, one)
        )

    def owner(self, service: str, now: float, able: bool) -> Member | None:
        """Return who orders a service's work; none: we do ourselves.

        All VMs rank alike by a hash, so they agree unless one of them hears
        less than the others. `able` tells whether we may be the owner.
        """
        best = next(iter(self.owners(service, now, 1)), None)
        if best is None or not able:
            return best
        ours = rank_of(service, self.own)
        return None if ours > rank_of(service, best) else best

    def _may_own(self, member: Member, now: float) -> bool:
        return (
            member.ready
            and not member.leaving
            and self._distrusted.get(member.vm, 0) <= now
        )

    def _rank_of(self, work: str, vm: str) -> tuple[int, int]:
        member = self._members.get(vm)
        capacity = member.capacity if member else self.own.capacity
        return capacity, hash_of(work, vm)


def _first_names(ranked: list[_HubRank]) -> list[str]:
    """Return the hubs; one that can carry less only where it is needed."""
    if len(ranked) <= HUBS:
        return [rank[-1] for rank in sorted(ranked, reverse=True)]
    first = nlargest(HUBS, ranked)
    strength = first[0][:2]
    return [
        rank[-1]
        for place, rank in enumerate(first)
        if place < LEAST_HUBS or rank[:2] == strength
    ]
