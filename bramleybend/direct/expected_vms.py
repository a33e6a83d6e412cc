"""Registered VMs that this VM has not heard yet."""

import asyncio
from collections.abc import Container, Mapping
from math import inf


class ExpectedVms:
    """VMs that count as members until they are heard or expire."""

    def __init__(self) -> None:
        """Start without VMs."""
        self._addresses: dict[str, str] = {}  # by VM
        self._valid_until: dict[str, float] = {}  # by VM
        # Until then, VMs that are not known may exist.
        self.is_unknown_until = -inf
        self._all_known = asyncio.Event()

    def __len__(self) -> int:
        """Return the number of VMs."""
        return len(self._addresses)

    def __contains__(self, vm: str) -> bool:
        """Tell whether a VM is expected."""
        return vm in self._addresses

    def add(
        self,
        addresses: Mapping[str, str],
        known: Container[str],
        valid_until: float,
    ) -> None:
        """Expect the VMs, by name, that are not known; now all are known."""
        self.is_unknown_until = -inf
        self._all_known.set()
        for vm, address in addresses.items():
            if vm not in known:
                self._addresses[vm] = address
                self._valid_until[vm] = valid_until

    async def wait_until_known(self, now: float) -> None:
        """Wait until no unknown VMs may exist."""
        if now >= self.is_unknown_until:
            return
        try:
            async with asyncio.timeout(self.is_unknown_until - now):
                await self._all_known.wait()
        except TimeoutError:
            return

    def addresses(self) -> list[str]:
        """Return the addresses of the VMs."""
        return list(self._addresses.values())

    def remove(self, vm: str) -> None:
        """Stop expecting a VM, which is a member now."""
        self._addresses.pop(vm, None)
        self._valid_until.pop(vm, None)

    def remove_expired(self, now: float) -> None:
        """Stop expecting the VMs that were not heard in time."""
        for vm, until in tuple(self._valid_until.items()):
            if until < now:
                self.remove(vm)
