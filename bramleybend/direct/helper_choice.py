"""Chooses the VMs through which this VM reaches runners."""

from random import Random
from typing import Final

from bramleybend.clock import Clock
from bramleybend.direct.members import Member, Members

# A VM that opened no tunnel is passed over for this long.
AVOID_S: Final = 1.0
# Through how many VMs a runner is tried for one connection.
MAX_HELPERS: Final = 2


class HelperChoice:
    """Chooses among the VMs that state that they reach a service."""

    def __init__(self, members: Members, clock: Clock, rng: Random) -> None:
        """Choose among the VMs in `members`."""
        self._members = members
        self._clock = clock
        self._rng = rng
        self._avoided_until: dict[str, float] = {}  # by VM

    def choose(self, service: str) -> list[Member]:
        """Return up to `MAX_HELPERS` VMs, the one to try first at the front.

        A VM of the own domain costs no traffic between domains. A domain may
        have lost its links as a whole, so the second VM is of another one.
        Drawn at random, so that a domain that is cut off doesn't burden a
        single VM.
        """
        now = self._clock.monotonic()
        able = [
            vm for vm in self._members.serving(now) if self._can(vm, service)
        ]
        self._rng.shuffle(able)
        own_domain = self._members.own.domain
        able.sort(key=lambda vm: vm.domain != own_domain)
        if len(able) <= MAX_HELPERS:
            return able
        first = able[0]
        others = [vm for vm in able if vm.domain != first.domain] or able[1:]
        return [first, others[0]]

    def avoid(self, vm: str) -> None:
        """Pass over a VM for a while."""
        self._avoided_until[vm] = self._clock.monotonic() + AVOID_S

    def is_usable(self, vm: str) -> bool:
        """Return whether open tunnels through a VM may get new requests."""
        member = self._members.get(vm)
        now = self._clock.monotonic()
        return (
            member is not None and member.is_alive(now) and not member.leaving
        )

    def _can(self, member: Member, service: str) -> bool:
        now = self._clock.monotonic()
        return (
            service not in member.unreached
            and self._avoided_until.get(member.vm, 0) <= now
        )
