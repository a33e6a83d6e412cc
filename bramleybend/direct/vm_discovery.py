"""Discovery of entry VMs through a register on the platform.

Failure: seeds may be stale or down. A VM whose seeds are all gone would never
join the others: it would admit whole allotments as if it were alone, and own
the queues of all services beside the real owners.

Each VM registers its address and reads those of the others. VMs that were not
heard are contacted at random until they answer. Hubs read the register again
from time to time, so that groups that have forgotten each other meet again.
"""

import asyncio
from collections.abc import Callable, Mapping
from math import inf
from random import Random
from typing import Final, Protocol

from result import Err, Result

from bramleybend.clock import Clock
from bramleybend.direct.members import MEMBER_TTL_S, Members
from bramleybend.errors import Problem
from bramleybend.events import EventLog

CHECK_INTERVAL_S: Final = 0.4
# VMs that are contacted in one interval: all VMs of a fleet may start at once.
MAX_CONTACTS: Final = 3
RETRY_S: Final = (0.2, 0.5)  # after the store gave no answer
# A VM that hears no other may have registered at the same time as the others.
ALONE_READ_INTERVAL_S: Final = 5.0
HUB_READ_INTERVAL_S: Final = 2 * MEMBER_TTL_S


class VmRegister(Protocol):
    """The addresses of all entry VMs, by name."""

    async def read(self) -> Result[Mapping[str, str], Problem]:
        """Return the registered addresses."""

    async def add(self, vm: str, address: str) -> Result[None, Problem]:
        """Register a VM in place of its earlier address."""

    async def remove(self, vm: str) -> Result[None, Problem]:
        """Remove a VM that is gone."""


class VmDiscovery:
    """Registers this VM and contacts those that it doesn't hear."""

    def __init__(
        self,
        register: VmRegister,
        members: Members,
        contact: Callable[[str], None],
        is_leader: Callable[[], bool],
        clock: Clock,
        events: EventLog,
        rng: Random,
    ) -> None:
        """Create a task; `is_leader` tells whether to remove VMs for all."""
        self._register = register
        self._members = members
        self._contact = contact
        self._is_leader = is_leader
        self._clock = clock
        self._events = events
        self._rng = rng
        self._registered: dict[str, str] = {}
        self._read_at = -inf

    async def run(self) -> None:
        """Register, then look for VMs that aren't heard until cancelled."""
        while not await self._join():
            await asyncio.sleep(self._rng.uniform(*RETRY_S))
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            unheard = self._members.expected.addresses()
            count = min(len(unheard), MAX_CONTACTS)
            for address in self._rng.sample(unheard, count):
                self._contact(address)
            if self._clock.monotonic() - self._read_at > self._interval_s():
                await self._join()
            if self._is_leader():
                await self._remove_gone()

    async def _join(self) -> bool:
        """Read the register and add this VM; return whether that is done."""
        own = self._members.own
        if not await self._read():
            return False
        if self._registered.get(own.vm) == own.address:
            return True
        added = await self._register.add(own.vm, own.address)
        if isinstance(added, Err):
            self._record_failure(added.err_value)
            return False
        # VMs that registered meanwhile may not have seen this one.
        return await self._read()

    async def _read(self) -> bool:
        self._read_at = self._clock.monotonic()
        listed = await self._register.read()
        if isinstance(listed, Err):
            self._record_failure(listed.err_value)
            return False
        self._registered = dict(listed.ok_value)
        self._members.expected.add(
            self._registered,
            self._known_vms(),
            self._clock.monotonic() + MEMBER_TTL_S,
        )
        return True

    async def _remove_gone(self) -> None:
        """Remove the VMs that were not heard for a long time."""
        gone = [
            vm
            for vm in self._registered.keys() - self._known_vms()
            if vm not in self._members.expected
        ]
        for vm in gone:
            removed = await self._register.remove(vm)
            if isinstance(removed, Err):
                self._record_failure(removed.err_value)
                return
            self._registered.pop(vm, None)
            self._events.record('vm_unregistered', peer=vm)

    def _known_vms(self) -> set[str]:
        return {self._members.own.vm, *(member.vm for member in self._members)}

    def _interval_s(self) -> float:
        if not self._members.alive(self._clock.monotonic()):
            return ALONE_READ_INTERVAL_S
        is_hub = self._members.is_hub(self._members.own.vm)
        return HUB_READ_INTERVAL_S if is_hub else inf

    def _record_failure(self, problem: Problem) -> None:
        self._events.record('vm_register_failed', why=str(problem))
