"""An entry VM with one real process and its own link to the store."""

import asyncio
import signal
from pathlib import Path
from typing import Final

from bramleybend.clock import Clock
from tests.soak.ledger import Ledger
from tests.utils.path_cuts import PathState
from tests.utils.processes import Process
from tests.utils.relay import BandwidthLimit, Cut, Relay

BYTES_PER_MBIT: Final = 1e6 / 8
STOP_TIMEOUT_S: Final = 10.0
PORT: Final = 23_100
PEER_PORT: Final = 23_500


class SoakVm:
    """An entry VM with methods that inject faults and record them."""

    def __init__(
        self,
        number: int,
        subnet: int,
        store: tuple[str, int],
        runner_host: str,
        folder: Path,
        ledger: Ledger,
        clock: Clock,
    ) -> None:
        """Prepare the VM; `start` starts its link and process."""
        self.name = f'entry-{number}'
        self.host = f'127.{subnet}.30.{number}'
        self.port = PORT
        self._seed_address = f'127.{subnet}.30.1:1'
        self._runner_host = runner_host
        self._folder = folder
        self._ledger = ledger
        self._clock = clock
        self._start_count = 0
        self._process: Process | None = None
        self._fault_lock = asyncio.Lock()  # one process fault at a time
        link = BandwidthLimit(ledger.contract.link_mbps * BYTES_PER_MBIT)
        self.relay = Relay(self.host, PORT + 9, *store, [link])

    @property
    def is_up(self) -> bool:
        """Whether the process is running or frozen."""
        return self._process is not None and self._process.is_running

    def log_text(self) -> str:
        """Return the log of the latest process."""
        return self._process.log_text() if self._process else ''

    async def start(self) -> None:
        """Open the link to the store, then start the process."""
        await self.relay.start()
        await self._start()

    async def close(self) -> None:
        """End the process and the link."""
        if self._process is not None:
            await self._process.kill()
        await self.relay.stop()

    async def kill(self) -> None:
        """Kill the process and restart it."""
        async with self._fault_lock:
            fault_span = self._ledger.begin_fault(
                self.name, self._clock.monotonic()
            )
            assert self._process is not None
            self._record_if_exited()
            await self._process.kill()
            await self._start()
            fault_span.end = self._clock.monotonic()

    async def stop(self) -> None:
        """Stop the process by SIGTERM and restart it after its exit."""
        async with self._fault_lock:
            fault_span = self._ledger.begin_fault(
                self.name, self._clock.monotonic()
            )
            assert self._process is not None
            self._record_if_exited()
            self._process.send_signal(signal.SIGTERM)
            await self._process.wait(STOP_TIMEOUT_S)
            await self._start()
            fault_span.end = self._clock.monotonic()

    async def freeze(self, duration_s: float) -> None:
        """Pause the process by SIGSTOP, then resume it."""
        async with self._fault_lock:
            fault_span = self._ledger.begin_fault(
                self.name, self._clock.monotonic()
            )
            assert self._process is not None
            self._record_if_exited()
            self._process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            self._process.send_signal(signal.SIGCONT)
            fault_span.end = self._clock.monotonic()

    def reload(self) -> None:
        """Make the process reload its settings (SIGHUP)."""
        if self._process is not None:
            self._process.send_signal(signal.SIGHUP)

    async def cut_store(self, cut: Cut, duration_s: float) -> None:
        """Cut the link to the store as `cut` says, then restore it."""
        fault_span = self._ledger.begin_fault(
            self.name, self._clock.monotonic()
        )
        self.relay.cut(cut)
        await asyncio.sleep(duration_s)
        await self.relay.heal()
        fault_span.end = self._clock.monotonic()

    async def cut_runners(self, state: PathState, duration_s: float) -> None:
        """Cut the paths from this VM to all runners, then restore them."""
        self._set_path_state(state)
        await asyncio.sleep(duration_s)
        self._set_path_state(PathState.INTACT)

    async def reset_store(self) -> None:
        """Close the VM's open connections to the store."""
        fault_span = self._ledger.begin_fault(
            self.name, self._clock.monotonic()
        )
        await self.relay.heal(drop=True)
        fault_span.end = self._clock.monotonic()

    def _set_path_state(self, state: PathState) -> None:
        """Set the paths of the running process; a new one starts intact."""
        stem = f'{self.name}-{self._start_count}'
        control = self._folder / f'{stem}.conf.path'
        if self._process is not None and self.is_up and control.exists():
            control.write_text(state)
            self._process.send_signal(signal.SIGUSR1)

    def _record_if_exited(self) -> None:
        if not self.is_up:
            self._ledger.exited_vms.append(self.name)

    async def _start(self) -> None:
        self._start_count += 1
        stem = f'{self.name}-{self._start_count}'
        settings = self._folder / f'{stem}.conf'
        settings.write_text(self._settings())
        self._process = Process(
            self.name,
            ['tests.direct.entry_process', str(settings), self._runner_host],
            self._folder / f'{stem}.log',
        )
        await self._process.start()

    def _settings(self) -> str:
        values = {
            'VM': self.name,
            'DOMAIN': f'domain-{int(self.name[-1]) % 3}',
            'ADDRESS': self.host,
            'FRONT': f'{self.host}:{self.port}',
            'READY': f'{self.host}:{self.port + 1}',
            'DIRECTORY': f'{self.host}:{self.port + 2}',
            'PEER_PORT': str(PEER_PORT),
            'STORE': f'{self.relay.host}:{self.relay.port}',
            'SEEDS': self._seed_address,
            'LINK_MBPS': str(self._ledger.contract.link_mbps),
        }
        return ''.join(
            f'BRAMLEYBEND_{name}={value}\n' for name, value in values.items()
        )
