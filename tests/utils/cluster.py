"""A test cluster: stand-ins and entry VMs under one loopback prefix."""

import asyncio
import json
import secrets
import socket
import tempfile
import uuid
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Final, Self

from bramleybend.clients.log_service import TERMS_STREAM
from bramleybend.models import RunnerState, Vm
from tests.utils.engine import Engine, EngineConfig
from tests.utils.entry_vm import EntryVm, VmSettings
from tests.utils.log_service import LogService
from tests.utils.plain_service import PlainService
from tests.utils.processes import ROOT
from tests.utils.relay import Relay
from tests.utils.vm_list import VmListService
from tests.utils.waiting import wait_until

EXAMPLE: Final = ROOT / 'examples' / 'parwaz.yaml'
DOMAINS: Final = ('walton', 'gulberg', 'raiwind')
ENGINE_SERVICE: Final = 'briefing-llm'
PLAIN_SERVICE: Final = 'booking-app'
PLATFORM_PORT: Final = 7100
RUNNER_PORT: Final = 9000
LOG_HOST: Final = 2
LIST_HOST: Final = 3
STATSD_HOST: Final = 4
FIRST_VM: Final = 11
FIRST_ENGINE: Final = 31
FIRST_PLAIN: Final = 61
FIRST_LOG_RELAY: Final = 101
FIRST_LIST_RELAY: Final = 151
READY_LIMIT_S: Final = 25


@dataclass(frozen=True)
class Layout:
    """The size and the settings of a test cluster."""

    vms: int = 6
    engines: Sequence[EngineConfig] = (EngineConfig(),) * 2
    plain_latencies_ms: Sequence[float] = (20, 20)
    seed: int = 0
    log_level: str = 'INFO'
    flags: Sequence[str] = ()  # appended to the flags of each entry process


@dataclass(frozen=True)
class Runner:
    """A runner stand-in and its entry in the VM list."""

    vm: Vm
    standin: Engine | PlainService


@dataclass
class Runners:
    """All runner stand-ins of the cluster, with their run records."""

    engines: list[Engine] = field(default_factory=list)
    plains: list[PlainService] = field(default_factory=list)

    def runs_of(self) -> Counter[str]:
        """Count the runs of each content hash over all runners."""
        total: Counter[str] = Counter()
        for engine in self.engines:
            total.update(engine.runs_of())
        for plain in self.plains:
            total.update(plain.runs_of())
        return total

    def run_ids(self) -> list[str]:
        """Return the id of every run, over all runners."""
        ids = [run.run_id for each in self.engines for run in each.admitted]
        ids.extend(call.run_id for each in self.plains for call in each.calls)
        return ids


def free_prefix() -> str:
    """Return a loopback prefix on which no log service listens.

    Clusters of tests that run at the same time thus don't share addresses.
    """
    while True:
        prefix = f'127.{secrets.randbelow(253) + 1}.{secrets.randbelow(256)}'
        with socket.socket() as probe:
            probe.settimeout(0.2)
            if probe.connect_ex((f'{prefix}.{LOG_HOST}', PLATFORM_PORT)):
                return prefix


class Cluster:
    """Starts and stops the stand-ins and entry VMs of a test or the demo."""

    def __init__(self, layout: Layout, run_dir: Path | None = None) -> None:
        """Assign the addresses; entering the context starts the processes."""
        self.layout = layout
        self.prefix = free_prefix()
        self.run_dir = run_dir or Path(tempfile.mkdtemp(prefix='bramleybend-'))
        self.log = LogService(self.ip(LOG_HOST), PLATFORM_PORT, layout.seed)
        self.vm_list = VmListService(self.ip(LIST_HOST), PLATFORM_PORT)
        self.runners = Runners()
        self.by_name: dict[str, Runner] = {}
        for index, cfg in enumerate(layout.engines):
            self._add_engine(index, cfg)
        for index, latency_ms in enumerate(layout.plain_latencies_ms):
            self._add_plain_service(index, latency_ms)
        self.vms = [self._make_entry_vm(index) for index in range(layout.vms)]

    async def __aenter__(self) -> Self:
        """Start the stand-ins, then the entry VMs."""
        try:
            await self._start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all processes and stand-ins, also after Ctrl-C."""
        await self.stop()

    async def stop(self) -> None:
        """Kill the entry processes, then stop the relays and stand-ins."""
        for vm in self.vms:
            await vm.kill()
        for vm in self.vms:
            await vm.log_relay.stop()
            await vm.list_relay.stop()
        for standin in self._all_standins():
            await standin.stop()

    def ip(self, host: int) -> str:
        """Return the address of a host number under this cluster's prefix."""
        return f'{self.prefix}.{host}'

    def publish(self, document: str, base: int = 0, by: str = 'demo') -> str:
        """Publish terms as an operator does; return the publish id."""
        publish_id = uuid.uuid4().hex
        record = {
            'v': 1,
            'kind': 'publish',
            'publish_id': publish_id,
            'base': base,
            'document': document,
            'by': by,
        }
        self.log.append(TERMS_STREAM, [json.dumps(record)])
        return publish_id

    async def ready(
        self,
        document: str = '',
        limit_s: float = READY_LIMIT_S,
    ) -> float:
        """Publish terms, by default the example's, and wait for every VM.

        Returns the seconds until the last VM was ready.
        """
        self.publish(document or EXAMPLE.read_text())
        waits = [
            wait_until(vm.is_ready, f'{vm.name} ready', limit_s)
            for vm in self.vms
        ]
        return max(await asyncio.gather(*waits))

    def list_all_as_live(self) -> None:
        """Write a VM list with every VM and runner in the live state."""
        self.vm_list.put(
            [
                *(vm.listed() for vm in self.vms),
                *(runner.vm for runner in self.by_name.values()),
            ],
        )

    def event_lines(self) -> list[str]:
        """Return all log lines of the entry processes."""
        lines: list[str] = []
        for path in sorted(self.run_dir.glob('*.log')):
            lines.extend(path.read_text(errors='replace').splitlines())
        return lines

    def _all_standins(
        self,
    ) -> list[LogService | VmListService | Engine | PlainService]:
        return [
            self.log,
            self.vm_list,
            *self.runners.engines,
            *self.runners.plains,
        ]

    async def _start(self) -> None:
        for standin in self._all_standins():
            await standin.start()
        self.list_all_as_live()
        for vm in self.vms:
            await vm.log_relay.start()
            await vm.list_relay.start()
        for vm in self.vms:
            await vm.start()

    def _add_engine(self, index: int, cfg: EngineConfig) -> None:
        address = self.ip(FIRST_ENGINE + index)
        engine = Engine(address, RUNNER_PORT, self.layout.seed + index, cfg)
        self.runners.engines.append(engine)
        self._list_runner(ENGINE_SERVICE, index, address, engine)

    def _add_plain_service(self, index: int, latency_ms: float) -> None:
        address = self.ip(FIRST_PLAIN + index)
        seed = self.layout.seed + index
        plain = PlainService(address, RUNNER_PORT, seed, latency_ms)
        self.runners.plains.append(plain)
        self._list_runner(PLAIN_SERVICE, index, address, plain)

    def _list_runner(
        self,
        service: str,
        index: int,
        address: str,
        standin: Engine | PlainService,
    ) -> None:
        domain = DOMAINS[index % len(DOMAINS)]
        name = f'{service}-{domain}-{index + 1}'
        vm = Vm(name, address, RUNNER_PORT, service, domain, RunnerState.LIVE)
        self.by_name[name] = Runner(vm, standin)

    def _make_entry_vm(self, index: int) -> EntryVm:
        domain = DOMAINS[index % len(DOMAINS)]
        log_relay = Relay(
            self.ip(FIRST_LOG_RELAY + index),
            PLATFORM_PORT,
            self.ip(LOG_HOST),
            PLATFORM_PORT,
        )
        list_relay = Relay(
            self.ip(FIRST_LIST_RELAY + index),
            PLATFORM_PORT,
            self.ip(LIST_HOST),
            PLATFORM_PORT,
        )
        settings = VmSettings(
            name=f'{domain}-{index // len(DOMAINS) + 1}',
            domain=domain,
            address=self.ip(FIRST_VM + index),
            log_service=log_relay.url,
            vm_list=list_relay.url,
            statsd=f'{self.ip(STATSD_HOST)}:8125',
            log_level=self.layout.log_level,
            more_flags=self.layout.flags,
        )
        return EntryVm(settings, self.run_dir, log_relay, list_relay)
