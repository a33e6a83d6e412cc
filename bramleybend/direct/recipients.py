"""The recipients of a VM's heartbeats and the subscribers to its digests.

Each heartbeat says which digests its sender wants. So VMs need not agree on
which hub serves which VM: a hub sends digests to every VM that subscribes.
"""

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass
from typing import Final

from bramleybend.direct.heartbeat_messages import DigestScope
from bramleybend.direct.members import (
    MAX_HUBS_PER_DOMAIN,
    MIN_HUBS_PER_DOMAIN,
    RELAYED_TIMEOUT_S,
    Member,
    Members,
)

# Heartbeat intervals (5 s) after the start in which a VM sends to its seeds in
# each interval, to find the others quickly, also those that start with it.
FIRST_INTERVALS: Final = 25
# In heartbeat intervals. Silent addresses are tried less often than members: a
# seed may be stale, and a VM that was replaced never answers.
SILENT_RETRY_INTERVALS: Final = 5
# In heartbeat intervals, between two comparisons of hubs' lists of VMs.
COMPARE_INTERVALS: Final = 5
# In heartbeat intervals, between two digests to one VM, and between two
# heartbeats to one that is no hub of this VM. The hubs of a domain take turns,
# so a VM receives a digest in each interval.
TURNS: Final = 3
OWNER_CANDIDATES: Final = 2  # a service's owner and its successor


@dataclass(frozen=True)
class Receiver:
    """A VM that a heartbeat is sent to, and the options of that heartbeat."""

    address: str
    requested_digests: DigestScope = (
        DigestScope.NONE
    )  # digests that this VM requests from it
    interval_beats: int = 1  # heartbeat intervals until the next one
    includes_runs: bool = True  # whether the heartbeat lists this VM's runs
    is_new: bool = False  # it has no heartbeat of this VM yet


@dataclass
class Subscription:
    """A VM's request for digests, valid until a point in time."""

    address: str
    scope: DigestScope
    valid_until: float


class Recipients:
    """Chooses the receivers of heartbeats and digests."""

    def __init__(
        self, members: Members, services: Callable[[], Iterable[str]]
    ) -> None:
        """Start without seeds; owners of these services get this VM's runs."""
        self._members = members
        self._services = services
        self._seeds: dict[str, None] = {}
        self._subscriptions: dict[str, Subscription] = {}  # by VM

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses of VMs to contact without having heard of them."""
        own = self._members.own.address
        self._seeds.update(
            dict.fromkeys(seed for seed in addresses if seed != own)
        )

    def subscribe(
        self, vm: str, address: str, scope: DigestScope, now: float
    ) -> bool:
        """Renew a VM's subscription; returns whether it is new or extended."""
        if scope is DigestScope.NONE:
            return False
        known = self._subscriptions.get(vm)
        valid_until = now + RELAYED_TIMEOUT_S
        self._subscriptions[vm] = Subscription(address, scope, valid_until)
        return known is None or known.valid_until < now or known.scope < scope

    def subscribers(self, scope: DigestScope, now: float) -> list[str]:
        """Return the addresses of the VMs that subscribe to this scope."""
        return [
            subscription.address
            for subscription in self._subscriptions.values()
            if subscription.scope is scope and subscription.valid_until >= now
        ]

    def unsubscribe(self, vm: str) -> None:
        """Drop the subscription of a VM that is gone."""
        self._subscriptions.pop(vm, None)

    def receivers(self, interval: int, now: float) -> list[Receiver]:
        """Return the receivers in a heartbeat interval, each VM once.

        Intervals are counted from 0 at the start of this VM.
        """
        found: dict[str, Receiver] = {}
        for receiver in self._candidates(interval, now):
            found.setdefault(receiver.address, receiver)
        return list(found.values())

    def domain_members(self, now: float) -> list[Member]:
        """Return the VMs of this domain that use this VM as their hub."""
        own = self._members.own
        return [
            member
            for member in self._members.alive(now)
            if member.domain == own.domain
            and not self._members.is_hub(member.vm)
            and member.vm in self._subscriptions
            and self._subscriptions[member.vm].valid_until >= now
        ]

    def next_hub_to_compare(self, interval: int) -> Member | None:
        """Return the hub that gets this VM's list of VMs in an interval.

        `None` if no list is due or this VM is no hub. All hubs get it in turn.
        """
        if interval % COMPARE_INTERVALS or not self._is_hub():
            return None
        hubs = self._members.hubs()
        return hubs[interval // COMPARE_INTERVALS % len(hubs)] if hubs else None

    def is_turn(self, interval: int) -> bool:
        """Tell whether it is this VM's turn to send digests."""
        own = self._members.own
        names = self._members.hub_names(own.domain)
        turn = names.index(own.vm) if own.vm in names else 0
        # Two hubs send more often than three: if a datagram of one is lost,
        # that of the other arrives before any VM counts as silent.
        turns = (
            MIN_HUBS_PER_DOMAIN if len(names) == MIN_HUBS_PER_DOMAIN else TURNS
        )
        return interval % turns == turn

    def skipped_part(self, heard: Container[str]) -> int | None:
        """Return the third of the VMs whose totals this hub doesn't send.

        The other two hubs of its domain send them, so each change is sent
        twice and one datagram may be lost. The hubs have to agree on the list
        of hubs, as they do if they hear each other. Otherwise, and if there
        are fewer than three, this is `None`: all totals are sent.
        """
        own = self._members.own.vm
        names = self._members.hub_names(self._members.own.domain)
        if own not in names or len(names) < MAX_HUBS_PER_DOMAIN:
            return None
        if all(name in heard for name in names if name != own):
            return names.index(own)
        return None

    def _candidates(self, interval: int, now: float) -> Iterable[Receiver]:
        yield from self._hub_receivers()
        if self.is_turn(interval):
            yield from self._receivers_in_turn(now)
        if interval < FIRST_INTERVALS:
            yield from (Receiver(seed, DigestScope.ALL) for seed in self._seeds)
        if interval % SILENT_RETRY_INTERVALS == 0:
            for address in self._silent_addresses(now):
                yield Receiver(address, DigestScope.ALL, SILENT_RETRY_INTERVALS)

    def _receivers_in_turn(self, now: float) -> Iterable[Receiver]:
        for address in self.subscribers(DigestScope.ALL, now):
            yield Receiver(address, interval_beats=TURNS, includes_runs=False)
        for service in self._services():
            for owner in self._members.owner_candidates(
                service, now, OWNER_CANDIDATES
            ):
                yield Receiver(owner.address, interval_beats=TURNS)

    def _is_hub(self) -> bool:
        return self._members.is_hub(self._members.own.vm)

    def _hub_receivers(self) -> Iterable[Receiver]:
        own = self._members.own
        if self._is_hub():
            for hub in self._members.hubs():
                yield Receiver(hub.address, DigestScope.DOMAIN)
        else:
            for hub in self._members.hubs(own.domain):
                yield Receiver(hub.address, DigestScope.ALL)

    def _silent_addresses(self, now: float) -> Iterable[str]:
        """Yield the addresses of seeds and members that aren't heard.

        Hubs contact silent members of all domains, so that they find each
        other after a partition between domains. Other VMs contact those of
        their own domain.
        """
        own = self._members.own
        is_hub = self._is_hub()
        heard = {member.address for member in self._members.alive(now)}
        yield from (seed for seed in self._seeds if seed not in heard)
        for member in self._members.silent(now):
            if is_hub or member.domain == own.domain:
                yield member.address
