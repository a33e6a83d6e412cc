"""The store, runners and operator that the entry processes work with."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Final

from bramleybend.clock import Clock
from tests.direct.cluster import ENGINE, PLAIN, manifest, route
from tests.soak.ledger import Ledger, RunnerRequest
from tests.soak.vms import SoakVm
from tests.utils.platform_store import PlatformStore
from tests.utils.raw_runner import RawRunner, ReceivedRequest, chunk, event

KEY_COUNT: Final = 8
LARGE_CHANGE_ROUTES: Final = 1500
LEAVE_DELAY_S: Final = 3.0  # from announcing that a runner leaves to its end
RESTART_DELAY_S: Final = 0.6
EVENT_INTERVAL_S: Final = 0.02
HEARTBEAT_INTERVAL_S: Final = 1.0
PLAIN_RUNNER_COUNT: Final = 3
ENGINE_RUNNER_COUNT: Final = 3
WORKSPACE_HEADER: Final = 'x-bramleybend-tenant'


class SoakWorld:
    """The store and runners, with methods for their faults and changes."""

    def __init__(self, subnet: int, ledger: Ledger, clock: Clock) -> None:
        """Prepare the store; `start` starts it and the first runners."""
        self.ledger = ledger
        self.store = PlatformStore(f'127.{subnet}.31.1')
        self.runners: dict[str, RawRunner] = {}
        self.muted_runners: set[str] = set()
        self.keys = [f'key-{number}' for number in range(KEY_COUNT)]
        self._services: dict[str, str] = {}
        self.host = f'127.{subnet}.32.1'  # of the runners
        self._clock = clock
        self._names = itertools.count(1)
        self._version = 1
        self._routes: list[dict[str, Any]] = list(manifest()['routes'])

    async def start(self) -> None:
        """Start the store and the runners, and publish the first version."""
        await self.store.server.start()
        self._publish()
        for service in (PLAIN,) * PLAIN_RUNNER_COUNT + (
            ENGINE,
        ) * ENGINE_RUNNER_COUNT:
            await self.add_runner(service)

    async def stop(self) -> None:
        """Stop the runners and the store."""
        for runner in self.runners.values():
            await runner.stop()
        await self.store.server.stop()

    async def renew_entries(self) -> None:
        """Renew the entries of runners in the store, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for name in self.runners:
                if name not in self.ledger.leaving_at:
                    self._register(name, 'ready')

    async def add_runner(self, service: str) -> None:
        """Start a runner under a new name."""
        name = f'runner-{next(self._names)}'

        async def handle_request(seen: ReceivedRequest) -> None:
            await self._handle_request(name, service, seen)

        runner = RawRunner(self.host, name, handle_request)
        await runner.start()
        self.runners[name] = runner
        self._services[name] = service
        self._register(name, 'ready')

    async def crash_runner(self, name: str) -> None:
        """End a runner at once and start another in its place."""
        runner = self.runners.pop(name, None)
        if runner is None:
            return
        await runner.stop()
        await asyncio.sleep(RESTART_DELAY_S)
        self.store.topic('keyed.servers').put(name, b'')
        await self.add_runner(self._services[name])

    async def drain_runner(self, name: str, *, announces: bool) -> None:
        """Start a replacement, announce the runner as draining and end it.

        One that doesn't announce it is delisted, and serves for as long.
        """
        if name not in self.runners or name in self.ledger.leaving_at:
            return
        await self.add_runner(self._services[name])
        if announces:
            self._register(name, 'draining')
        else:
            self.store.topic('keyed.servers').put(name, b'')
        self.ledger.leaving_at[name] = self._clock.monotonic()
        await asyncio.sleep(LEAVE_DELAY_S)
        self.store.topic('keyed.servers').put(name, b'')
        runner = self.runners.pop(name, None)
        if runner is not None:
            await runner.stop()

    async def mute_runner(self, name: str, duration_s: float) -> None:
        """Make a runner accept requests without answering for a while."""
        self.muted_runners.add(name)
        await asyncio.sleep(duration_s)
        self.muted_runners.discard(name)

    async def refuse_store_calls(self, duration_s: float) -> None:
        """Make the store answer 503 to all requests for a while."""
        fault_span = self.ledger.begin_fault('', self._clock.monotonic())
        self.store.status = 503
        await asyncio.sleep(duration_s)
        self.store.status = None
        fault_span.end = self._clock.monotonic()

    def add_routes(self, added_count: int) -> None:
        """Publish a version with more routes; callers use the first of them."""
        version = self._version + 1
        names = [f'/added{version}/']
        names.extend(
            f'/more{version}-{number}/' for number in range(added_count - 1)
        )
        self._routes.extend(route(name, 'idempotent', PLAIN) for name in names)
        self._version = version
        self._publish()
        self.ledger.accepted_at[version] = self._clock.monotonic()

    def revoke_key(self) -> None:
        """Publish a version without one of the valid keys."""
        valid_keys = [
            key for key in self.keys if key not in self.ledger.revoked_at
        ]
        if len(valid_keys) < 2:
            return
        self._version += 1
        self.ledger.revoked_at[valid_keys[-1]] = self._clock.monotonic()
        self._publish()

    def _publish(self) -> None:
        valid_keys = [
            key for key in self.keys if key not in self.ledger.revoked_at
        ]
        tenants = [{'name': 'school', 'apiKeys': valid_keys, 'ratePerS': 0}]
        content = manifest(self._version, routes=self._routes, tenants=tenants)
        self.store.put('keyed.op', 'config', content)

    def _register(self, name: str, state: str) -> None:
        runner = self.runners[name]
        entry = runner.entry(self._services[name], state)
        self.store.put('keyed.servers', name, entry)

    async def _handle_request(
        self, name: str, service: str, seen: ReceivedRequest
    ) -> None:
        workspace = seen.headers.get(WORKSPACE_HEADER, '')
        now = self._clock.monotonic()
        self.ledger.runner_requests.append(
            RunnerRequest(seen.attempt, name, workspace, now)
        )
        if name in self.muted_runners:
            await seen.closed.wait()
            return
        if service == PLAIN:
            await asyncio.sleep(EVENT_INTERVAL_S)
            seen.writer.write(seen.answer(body=seen.attempt.encode()))
            return
        first_event = int(seen.headers.get('last-event-id', '0')) + 1
        seen.writer.write(seen.stream_head())
        for number in range(first_event, 4):
            await asyncio.sleep(EVENT_INTERVAL_S)
            text = event(number).replace(b'piece', seen.attempt.encode())
            seen.writer.write(chunk(text))
        seen.writer.write(chunk(b''))


@asynccontextmanager
async def run_world(
    count: int, subnet: int, folder: Path, ledger: Ledger, clock: Clock
) -> AsyncIterator[tuple[SoakWorld, list[SoakVm]]]:
    """Run the store, the runners and `count` entry VMs; stop all at exit."""
    world = SoakWorld(subnet, ledger, clock)
    await world.start()
    store = (world.store.server.host, world.store.server.port)
    vms = [
        SoakVm(number + 1, subnet, store, world.host, folder, ledger, clock)
        for number in range(count)
    ]
    try:
        for vm in vms:
            await vm.start()
        yield world, vms
    finally:
        for vm in vms:
            await vm.close()
        await world.stop()
