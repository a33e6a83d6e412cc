"""Interface of the platform's VM list."""

from typing import Final, Protocol

from result import Result

from bramleybend.errors import Problem
from bramleybend.models import Vm

ENTRY_SERVICE: Final = 'bramleybend'


class VmList(Protocol):
    """Lists running and leaving VMs, including entry VMs.

    The list lags behind the actual state of the VMs.
    """

    async def fetch(self) -> Result[tuple[Vm, ...], Problem]:
        """Return the list as the platform last updated it."""
