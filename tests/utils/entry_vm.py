"""One entry VM: a gateway and a scheduler process at one address."""

import signal
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from bramleybend.clients.vm_list import ENTRY_SERVICE
from bramleybend.models import RunnerState, Vm
from tests.utils.http_client import BrokenCallError, call
from tests.utils.processes import Process
from tests.utils.relay import Relay

HTTP_PORT: Final = 8080
GATEWAY_PORT: Final = 7001
SCHEDULER_PORT: Final = 7002
GATEWAY: Final = 'bramleybend.cli.gateway'
SCHEDULER: Final = 'bramleybend.cli.scheduler'


@dataclass(frozen=True)
class VmSettings:
    """The settings that an entry VM receives as command line flags."""

    name: str
    domain: str
    address: str
    log_service: str
    vm_list: str
    statsd: str
    log_level: str = 'INFO'
    more_flags: Sequence[str] = ()

    def flags(self) -> list[str]:
        """Return the flags that both programs take."""
        pairs = {
            '--vm': self.name,
            '--domain': self.domain,
            '--address': self.address,
            '--gateway-port': str(GATEWAY_PORT),
            '--scheduler-port': str(SCHEDULER_PORT),
            '--log-service': self.log_service,
            '--vm-list': self.vm_list,
            '--statsd': self.statsd,
            '--log-level': self.log_level,
        }
        arguments = [argument for pair in pairs.items() for argument in pair]
        return [*arguments, *self.more_flags]


class EntryVm:
    """Starts, pauses and stops the two processes of a VM together."""

    def __init__(
        self,
        settings: VmSettings,
        run_dir: Path,
        log_relay: Relay,
        list_relay: Relay,
    ) -> None:
        """Set up the VM; its platform connections go through the relays."""
        self.settings = settings
        self.log_relay = log_relay
        self.list_relay = list_relay
        self.incarnation = 0
        self.ended: list[Process] = []
        self._run_dir = run_dir
        self._make_processes()

    @property
    def name(self) -> str:
        """Return the VM's name."""
        return self.settings.name

    @property
    def url(self) -> str:
        """Return the base URL of the gateway's caller port."""
        return f'http://{self.endpoint}'

    @property
    def endpoint(self) -> str:
        """Return the gateway's caller address as `ip:port`."""
        return f'{self.settings.address}:{HTTP_PORT}'

    @property
    def processes(self) -> tuple[Process, ...]:
        """Return both processes of the current incarnation."""
        return (self.scheduler, self.gateway)

    @property
    def is_running(self) -> bool:
        """Whether at least one of the processes is running."""
        return any(process.is_running for process in self.processes)

    def listed(self, state: RunnerState = RunnerState.LIVE) -> Vm:
        """Return the VM's entry in the VM list."""
        return Vm(
            self.name,
            self.settings.address,
            SCHEDULER_PORT,
            ENTRY_SERVICE,
            self.settings.domain,
            state,
        )

    async def start(self) -> None:
        """Start both processes."""
        for process in self.processes:
            await process.start()

    async def replace(self) -> None:
        """Start a new incarnation at the same address."""
        await self.kill()
        self.ended.extend(self.processes)
        self.incarnation += 1
        self._make_processes()
        await self.start()

    def freeze(self) -> None:
        """Pause both processes with SIGSTOP, which they can't observe."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume both processes with SIGCONT."""
        self.signal(signal.SIGCONT)

    async def stop(self) -> tuple[int, ...]:
        """Ask both to end, the gateway first; return their exit codes."""
        self.signal(signal.SIGTERM)
        return await self.exit_codes()

    async def exit_codes(self, limit_s: float = 20) -> tuple[int, ...]:
        """Wait until both have ended; return their exit codes."""
        return tuple([await each.wait(limit_s) for each in self.processes])

    async def kill(self) -> None:
        """Kill both processes and wait until they have ended."""
        self.signal(signal.SIGKILL)
        for process in self.processes:
            if process.is_running:
                await process.wait()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to both."""
        for process in self.processes:
            process.send_signal(number)

    async def is_ready(self) -> bool:
        """Whether the gateway reports ready.

        Raises ProcessEndedError if one of the processes has ended.
        """
        for process in self.processes:
            process.check_running()
        try:
            reply = await call('GET', f'{self.url}/ready', timeout_s=1)
        except BrokenCallError:
            return False
        return reply.status == 200

    def _make_processes(self) -> None:
        flags = self.settings.flags()
        self.gateway = self._make_process(
            'gateway',
            [GATEWAY, *flags, '--http-port', str(HTTP_PORT)],
        )
        self.scheduler = self._make_process('scheduler', [SCHEDULER, *flags])

    def _make_process(self, program: str, argv: list[str]) -> Process:
        name = f'{self.name}-{program}-{self.incarnation}'
        return Process(name, argv, self._run_dir / f'{name}.log')
