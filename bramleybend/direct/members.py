"""Which entry VMs there are, as told by their heartbeats.

Pure state: `Peers` owns the socket. A VM counts as alive while it was heard
within `ALIVE_S`; longer than that, and asks go elsewhere.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from xxhash import xxh64_intdigest

BEAT_S: Final = 0.2
# Three heartbeats: one lost datagram is no failure, and the callers of a VM
# that has died wait no longer than this for another owner.
ALIVE_S: Final = 0.65
# Silent for longer than any freeze or cut is likely to last.
FORGET_S: Final = 30.0
# A VM that comes up is asked nothing before it knows what runs where.
SETTLE_S: Final = 1.0


@dataclass
class Member:
    """One VM as last heard."""

    vm: str
    incarnation: str
    address: str
    front: str
    ready: bool
    leaving: bool
    heard_at: float
    since: float


@dataclass(frozen=True)
class Self:
    """What a VM says of itself."""

    vm: str
    incarnation: str
    address: str
    front: str


class Members:
    """The other VMs."""

    def __init__(self, own: Self) -> None:
        """Know nobody but oneself."""
        self.own = own
        self._members: dict[str, Member] = {}
        self._distrusted: dict[str, float] = {}  # vm to the end of it

    def __iter__(self) -> Iterator[Member]:
        """Go over all that are known, silent ones included."""
        return iter(self._members.values())

    def heard(self, member: Member) -> Member | None:
        """Take in a heartbeat; returns what was known of the VM before."""
        before = self._members.get(member.vm)
        if before is not None and before.incarnation == member.incarnation:
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
            member
            for member in self._members.values()
            if now - member.heard_at <= ALIVE_S
        ]

    def ready_fronts(self, now: float) -> list[str]:
        """Return where callers may connect, without our own."""
        return [
            member.front
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

    def ranks_first(
        self, work: str, able: Mapping[str, bool], most: int
    ) -> bool:
        """Tell whether we are among the first for some work."""
        ours = _rank(work, self.own.vm)
        ahead = [vm for vm, is_able in able.items() if is_able]
        return sum(_rank(work, vm) > ours for vm in ahead) < most

    def owner(self, service: str, now: float, able: bool) -> Member | None:
        """Return who orders a service's work; none: we do ourselves.

        All VMs rank alike by a hash, so they agree unless one of them hears
        less than the others. `able` tells whether we may be the owner.
        """
        others: Iterable[Member] = (
            member
            for member in self.alive(now)
            if member.ready
            and not member.leaving
            and now - member.since >= SETTLE_S
            and self._distrusted.get(member.vm, 0) <= now
        )
        best = max(others, key=lambda one: _rank(service, one.vm), default=None)
        if best is None or not able:
            return best
        ours = _rank(service, self.own.vm)
        return None if ours > _rank(service, best.vm) else best


def _rank(service: str, vm: str) -> int:
    return xxh64_intdigest(f'{service}/{vm}'.encode())
