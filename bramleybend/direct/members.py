"""The entry VMs known to this VM: membership, hubs and service owners.

Pure state; `Peers` owns the socket. A VM is alive until its next heartbeat,
received directly or relayed by a hub, is overdue.

Load pattern: many VMs on links of a few Mbit/s, each of which has to know
which others are alive.
Without it: every VM sends to every other, and the bytes grow with the cube of
the number of VMs, beyond the bandwidth of slow links.

The hubs of a failure domain are its `MAX_HUBS_PER_DOMAIN` VMs with the highest
capacity, or `MIN_HUBS_PER_DOMAIN` if the third has less capacity than the
first. Hubs send each other their own heartbeats and news of their domain. Every
other VM sends heartbeats to the hubs of its domain and receives from them the
news of all VMs. In a domain of up to `MAX_HUBS_PER_DOMAIN` VMs, all are hubs
and send to each other.
"""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from heapq import nlargest
from typing import Final, TypeAlias

from bramleybend.decisions.allotment_models import FleetView
from bramleybend.direct.expected_vms import ExpectedVms
from bramleybend.direct.ranks import hash_of, rank_of

HEARTBEAT_INTERVAL_S: Final = 0.2
# Three heartbeat intervals: a single lost datagram must not count as a
# failure, and when an owner dies, its callers wait this long for the next.
HEARTBEAT_TIMEOUT_S: Final = 0.65
# The hubs of a domain take turns, so each sends its digests in every third
# heartbeat interval. Heartbeats that a VM sends in every third interval stay
# valid for as long.
RELAYED_TIMEOUT_S: Final = HEARTBEAT_TIMEOUT_S + 2 * HEARTBEAT_INTERVAL_S
# Longer than a suspension of a VM or a network partition is likely to last.
MEMBER_TTL_S: Final = 30.0
# A VM that has just started doesn't know which runs occupy the runners, so it
# becomes no owner before this time, unless all VMs have just started.
OWNER_MIN_AGE_S: Final = 1.0
# With one hub down and another frozen, the domain still gets its digests.
MAX_HUBS_PER_DOMAIN: Final = 3
# Digests for a whole domain take most of a slow link. A VM with less capacity
# than the first hub is therefore a hub only if there would be just one else.
MIN_HUBS_PER_DOMAIN: Final = 2

# Not leaving, capacity, hash, VM name.
_HubRank: TypeAlias = tuple[bool, int, int, str]


@dataclass
class Member:
    """A VM, as its last heartbeat or a digest described it."""

    vm: str
    incarnation: str
    address: str
    caller_endpoint: str  # ip:port where callers connect
    ready: bool
    leaving: bool
    # When it last sent a heartbeat, to this VM or to a hub.
    last_heard_at: float
    first_heard_at: float  # when this incarnation was first heard
    domain: str = ''
    capacity: int = 0
    key: int = 0  # of its profile
    timeout_s: float = HEARTBEAT_TIMEOUT_S  # after `last_heard_at`
    unreached: tuple[
        str, ...
    ] = ()  # services whose runners it can't connect to

    def is_alive(self, now: float) -> bool:
        """Tell whether its next heartbeat is not overdue."""
        return now - self.last_heard_at <= self.timeout_s

    def refresh(self, key: int, heard_at: float, now: float) -> bool:
        """Extend the VM's life by a relayed heartbeat of the same profile.

        Returns `False` and changes nothing if the profile is another one or
        the VM wasn't alive; then the caller has more to update.
        """
        if key != self.key or not self.is_alive(now):
            return False
        if (
            heard_at > self.last_heard_at
            and now - heard_at <= RELAYED_TIMEOUT_S
        ):
            self.last_heard_at = heard_at
            self.timeout_s = RELAYED_TIMEOUT_S
        return True


@dataclass(frozen=True)
class OwnVm:
    """This VM's own name, addresses and capacity."""

    vm: str
    incarnation: str
    address: str
    caller_endpoint: str
    domain: str = ''
    # Level of the work that it can carry; each level is twice the one below.
    # Work for all VMs goes to the highest level first, which keeps it off VMs
    # with a slow link or half a core.
    capacity: int = 0


class Members:
    """The other VMs, by name; the hubs and owners among them."""

    def __init__(self, own: OwnVm) -> None:
        """Start with no other VM."""
        self.own = own
        self._members: dict[str, Member] = {}
        self._distrusted_until: dict[str, float] = {}  # by VM name
        self.expected = ExpectedVms()
        self._hubs: dict[str, list[str]] = {}  # VM names, by domain

    def __iter__(self) -> Iterator[Member]:
        """Iterate over all known VMs, silent ones included."""
        return iter(self._members.values())

    def get(self, vm: str) -> Member | None:
        """Return the VM of this name, or `None` if it is unknown."""
        return self._members.get(vm)

    def update(self, member: Member) -> Member | None:
        """Store a VM's newest state; returns the one stored before.

        A state older than the stored one, as a slower hub may relay it, is
        ignored.
        """
        before = self._members.get(member.vm)
        if before is not None:
            if before.last_heard_at > member.last_heard_at:
                return before
            if before.incarnation == member.incarnation:
                member.first_heard_at = before.first_heard_at
        self._members[member.vm] = member
        self.expected.remove(member.vm)
        return before

    def remove_expired(self, now: float) -> list[Member]:
        """Remove and return the VMs that were silent for `MEMBER_TTL_S`."""
        expired = [
            member
            for member in self._members.values()
            if now - member.last_heard_at > MEMBER_TTL_S
        ]
        for member in expired:
            self._members.pop(member.vm)
        self.expected.remove_expired(now)
        return expired

    def alive(self, now: float) -> list[Member]:
        """Return the VMs whose next heartbeat is not overdue."""
        return [
            member for member in self._members.values() if member.is_alive(now)
        ]

    def silent(self, now: float) -> list[Member]:
        """Return the known VMs whose next heartbeat is overdue."""
        return [
            member
            for member in self._members.values()
            if not member.is_alive(now)
        ]

    def serving(self, now: float) -> list[Member]:
        """Return the VMs to which callers may send requests now."""
        return [
            member
            for member in self.alive(now)
            if member.ready and not member.leaving
        ]

    def fleet_view(self, now: float) -> FleetView:
        """Return what a decision on behalf of all VMs is based on."""
        ages_s = [now - member.last_heard_at for member in self.alive(now)]
        vms = self.count()
        is_known = now >= self.expected.is_unknown_until
        share = (len(ages_s) + 1) / vms if is_known else 0
        return FleetView(share, vms, sum(ages_s) / max(vms - 1, 1))

    def count(self) -> int:
        """Return the number of known VMs, with this one."""
        return len(self._members) + len(self.expected) + 1

    def distrust(self, vm: str, until: float) -> None:
        """Exclude a VM from the choice of owners until a point in time."""
        self._distrusted_until[vm] = until

    def choose_hubs(self, now: float) -> None:
        """Choose the hubs of each domain among the VMs that are alive."""
        own = self.own
        ranks: dict[str, list[_HubRank]] = defaultdict(list)
        ranks[own.domain].append((True, *rank_of('hub', own), own.vm))
        for member in self.alive(now):
            rank = (not member.leaving, *rank_of('hub', member), member.vm)
            ranks[member.domain].append(rank)
        self._hubs = {
            domain: _hub_names(ranked) for domain, ranked in ranks.items()
        }

    def is_hub(self, vm: str) -> bool:
        """Tell whether a VM is among its domain's hubs."""
        return any(vm in names for names in self._hubs.values())

    def hub_names(self, domain: str) -> list[str]:
        """Return the names of a domain's hubs, the highest rank first."""
        return self._hubs.get(domain, [])

    def hubs(self, domain: str | None = None) -> list[Member]:
        """Return the hubs of one domain or of all, without this VM."""
        names = (
            vm
            for hub_domain, hubs in self._hubs.items()
            if domain is None or domain == hub_domain
            for vm in hubs
        )
        return [self._members[vm] for vm in names if vm in self._members]

    def is_among_first(
        self, task: str, capable: Mapping[str, bool], max_vms: int
    ) -> bool:
        """Tell whether this VM is one of the first `max_vms` hubs for a task.

        `capable` tells for each VM that was heard whether it can do the task.
        A VM that is no hub does it only if no hub that it hears can; otherwise
        all VMs of a domain would do what two of them do for all.
        """
        candidates = [vm for vm, is_capable in capable.items() if is_capable]
        if self._hubs and not self.is_hub(self.own.vm):
            return not any(self.is_hub(vm) for vm in candidates)
        own_rank = rank_of(task, self.own)
        hubs = [vm for vm in candidates if not self._hubs or self.is_hub(vm)]
        return sum(self._rank_of(task, vm) > own_rank for vm in hubs) < max_vms

    def owner_candidates(
        self, service: str, now: float, max_count: int
    ) -> list[Member]:
        """Return the highest-ranked VMs for a service, without this VM."""
        able = [vm for vm in self.alive(now) if self._may_own(vm, now)]
        settled = [
            vm for vm in able if now - vm.first_heard_at >= OWNER_MIN_AGE_S
        ]
        # If no VM has settled, either all VMs or this one have just started.
        # An unsettled owner is still better than none: if every VM decided
        # for itself, all would start their requests at the same runners.
        return nlargest(
            max_count, settled or able, key=lambda vm: rank_of(service, vm)
        )

    def owner(self, service: str, now: float, can_own: bool) -> Member | None:
        """Return the owner of a service; `None` if it is this VM.

        All VMs rank by the same hash, so they agree unless one of them hears
        fewer VMs than the others. `can_own` tells whether this VM may be the
        owner.
        """
        best = next(iter(self.owner_candidates(service, now, 1)), None)
        if best is None or not can_own:
            return best
        own_rank = rank_of(service, self.own)
        return None if own_rank > rank_of(service, best) else best

    def _may_own(self, member: Member, now: float) -> bool:
        return (
            member.ready
            and not member.leaving
            and self._distrusted_until.get(member.vm, 0) <= now
        )

    def _rank_of(self, task: str, vm: str) -> tuple[int, int]:
        member = self._members.get(vm)
        capacity = member.capacity if member else self.own.capacity
        return capacity, hash_of(task, vm)


def _hub_names(ranks: list[_HubRank]) -> list[str]:
    """Return the hubs of a domain, the highest rank first.

    Beyond `MIN_HUBS_PER_DOMAIN`, VMs with less capacity than the first are left
    out.
    """
    if len(ranks) <= MAX_HUBS_PER_DOMAIN:
        return [rank[-1] for rank in sorted(ranks, reverse=True)]
    first = nlargest(MAX_HUBS_PER_DOMAIN, ranks)
    top_level = first[0][:2]
    return [
        rank[-1]
        for place, rank in enumerate(first)
        if place < MIN_HUBS_PER_DOMAIN or rank[:2] == top_level
    ]
