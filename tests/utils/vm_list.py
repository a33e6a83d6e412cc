"""Stand-in for the platform's VM list, whose changes appear late."""

import time
from dataclasses import asdict, dataclass
from http import HTTPStatus
from typing import Any

from bramleybend.models import RunnerState, Vm
from tests.utils.faults import Faults, FaultyServer
from tests.utils.http_server import HttpRequest, HttpResponse, json_response
from tests.utils.standin_program import parser, run


@dataclass
class VmListFaults(Faults):
    """Faults of the VM list; a change is visible `lag_s` after it was made."""

    lag_s: float = 0


class VmListService:
    """Serves the VM list, with the delay that its faults set."""

    def __init__(self, host: str, port: int, seed: int = 0) -> None:
        """Set the address; `start` binds it."""
        self.faults = VmListFaults()
        self.server = FaultyServer(host, port, self.faults, self._handle)
        self._versions: list[tuple[float, list[dict[str, Any]]]] = [(0, [])]

    @property
    def url(self) -> str:
        """Return the base address for clients."""
        return self.server.http.url

    async def start(self) -> None:
        """Listen."""
        await self.server.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self.server.stop()

    def put(self, vms: list[Vm]) -> None:
        """Replace the list; the change is visible after the lag."""
        self._replace([asdict(vm) for vm in vms])

    def add(self, vm: Vm) -> None:
        """Add a VM or replace the one of the same name."""
        self._replace([*self._without(vm.name), asdict(vm)])

    def remove(self, name: str) -> None:
        """Remove the VM of this name."""
        self._replace(self._without(name))

    def mark_leaving(self, name: str) -> None:
        """Set the state of a VM to leaving."""
        self._replace(
            [
                {**vm, 'state': str(RunnerState.LEAVING)}
                if vm['name'] == name
                else vm
                for vm in self._versions[-1][1]
            ],
        )

    def _without(self, name: str) -> list[dict[str, Any]]:
        return [vm for vm in self._versions[-1][1] if vm['name'] != name]

    def _replace(self, vms: list[dict[str, Any]]) -> None:
        self._versions.append((time.monotonic() + self.faults.lag_s, vms))

    def _visible_vms(self) -> list[dict[str, Any]]:
        now = time.monotonic()
        return [vms for visible_at, vms in self._versions if visible_at <= now][
            -1
        ]

    async def _handle(self, req: HttpRequest) -> HttpResponse:
        if req.path != '/vms':
            return json_response({}, HTTPStatus.NOT_FOUND)
        if req.method == 'PUT':
            self._replace(list(req.json()['vms']))
        return json_response({'vms': self._visible_vms()})


def main() -> None:
    """Run the VM list as a program."""
    flags = parser('Stand-in VM list').parse_args()
    run(lambda: VmListService(flags.host, flags.port, flags.seed))


if __name__ == '__main__':
    main()
