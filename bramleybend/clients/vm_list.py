"""What the system asks of the platform's VM list."""

from typing import Final, Protocol

from result import Result

from bramleybend.errors import Problem
from bramleybend.models import Vm

ENTRY_SERVICE: Final = 'bramleybend'


class VmList(Protocol):
    """Live and leaving VMs, entry VMs included; it lags."""

    async def fetch(self) -> Result[tuple[Vm, ...], Problem]:
        """Return the list as the platform last knew it."""
