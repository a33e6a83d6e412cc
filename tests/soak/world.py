"""The store, the runners and the operator around the entry processes."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Final

from bramleybend.clock import Clock
from tests.direct.cluster import ENGINE, PLAIN, manifest, route
from tests.soak.ledger import Ledger, Ran
from tests.soak.vms import SoakVm
from tests.utils.platform_store import PlatformStore
from tests.utils.raw_runner import RawRunner, Seen, chunk, event

KEYS: Final = 8
LARGE_ROUTES: Final = 1500
LEAVE_S: Final = 3.0  # from the word that a runner leaves to its end
RESTART_S: Final = 0.6
EVENT_S: Final = 0.02
BEAT_S: Final = 1.0
PLAIN_RUNNERS: Final = 3
ENGINE_RUNNERS: Final = 3
WORKSPACE: Final = 'x-bramleybend-tenant'


class SoakWorld:
    """All that the entry processes talk to."""

    def __init__(self, subnet: int, ledger: Ledger, clock: Clock) -> None:
        """Start empty."""
        self.ledger = ledger
        self.store = PlatformStore(f'127.{subnet}.31.1')
        self.runners: dict[str, RawRunner] = {}
        self.mute: set[str] = set()
        self.keys = [f'key-{number}' for number in range(KEYS)]
        self._services: dict[str, str] = {}
        self._host = f'127.{subnet}.32.1'
        self._clock = clock
        self._names = itertools.count(1)
        self._version = 1
        self._routes: list[dict[str, Any]] = list(manifest()['routes'])

    async def start(self) -> None:
        """Start the store and the runners, and publish the first version."""
        await self.store.server.start()
        self._publish()
        for service in (PLAIN,) * PLAIN_RUNNERS + (ENGINE,) * ENGINE_RUNNERS:
            await self.add_runner(service)

    async def stop(self) -> None:
        """Stop all of it."""
        for runner in self.runners.values():
            await runner.stop()
        await self.store.server.stop()

    async def beat(self) -> None:
        """Let runners write of themselves, until cancelled."""
        while True:
            await asyncio.sleep(BEAT_S)
            for name in self.runners:
                if name not in self.ledger.leaving:
                    self._register(name, 'ready')

    async def add_runner(self, service: str) -> None:
        """Start a runner under a new name."""
        name = f'runner-{next(self._names)}'

        async def behave(seen: Seen) -> None:
            await self._behave(name, service, seen)

        runner = RawRunner(self._host, name, behave)
        await runner.start()
        self.runners[name] = runner
        self._services[name] = service
        self._register(name, 'ready')

    async def crash_runner(self, name: str) -> None:
        """End a runner at once; another takes its place."""
        runner = self.runners.pop(name, None)
        if runner is None:
            return
        await runner.stop()
        await asyncio.sleep(RESTART_S)
        self.store.topic('keyed.servers').put(name, b'')
        await self.add_runner(self._services[name])

    async def leave_runner(self, name: str) -> None:
        """Let a runner leave in order, after another has come."""
        if name not in self.runners or name in self.ledger.leaving:
            return
        await self.add_runner(self._services[name])
        self._register(name, 'draining')
        self.ledger.leaving[name] = self._clock.monotonic()
        await asyncio.sleep(LEAVE_S)
        self.store.topic('keyed.servers').put(name, b'')
        runner = self.runners.pop(name, None)
        if runner is not None:
            await runner.stop()

    async def mute_runner(self, name: str, seconds: float) -> None:
        """Let a runner take requests and say nothing."""
        self.mute.add(name)
        await asyncio.sleep(seconds)
        self.mute.discard(name)

    async def refuse_all(self, seconds: float) -> None:
        """Let the store refuse everybody for a while."""
        span = self.ledger.begin('', self._clock.monotonic())
        self.store.status = 503
        await asyncio.sleep(seconds)
        self.store.status = None
        span.end = self._clock.monotonic()

    def change(self, added: int) -> None:
        """Publish a version with routes more; the first is asked for."""
        version = self._version + 1
        names = [f'/added{version}/']
        names.extend(f'/more{version}-{number}/' for number in range(added - 1))
        self._routes.extend(route(name, 'idempotent', PLAIN) for name in names)
        self._version = version
        self._publish()
        self.ledger.versions[version] = self._clock.monotonic()

    def revoke(self) -> None:
        """Publish a version without one of the keys."""
        good = [key for key in self.keys if key not in self.ledger.revoked]
        if len(good) < 2:
            return
        self._version += 1
        self.ledger.revoked[good[-1]] = self._clock.monotonic()
        self._publish()

    def _publish(self) -> None:
        good = [key for key in self.keys if key not in self.ledger.revoked]
        tenants = [{'name': 'school', 'apiKeys': good, 'ratePerS': 0}]
        declared = manifest(self._version, routes=self._routes, tenants=tenants)
        self.store.put('keyed.op', 'config', declared)

    def _register(self, name: str, state: str) -> None:
        runner = self.runners[name]
        entry = runner.entry(self._services[name], state)
        self.store.put('keyed.servers', name, entry)

    async def _behave(self, name: str, service: str, seen: Seen) -> None:
        workspace = seen.headers.get(WORKSPACE, '')
        now = self._clock.monotonic()
        self.ledger.ran.append(Ran(seen.attempt, name, workspace, now))
        if name in self.mute:
            await seen.left.wait()
            return
        if service == PLAIN:
            await asyncio.sleep(EVENT_S)
            seen.writer.write(seen.answer(body=seen.attempt.encode()))
            return
        first = int(seen.headers.get('last-event-id', '0')) + 1
        seen.writer.write(seen.stream_head())
        for number in range(first, 4):
            await asyncio.sleep(EVENT_S)
            text = event(number).replace(b'piece', seen.attempt.encode())
            seen.writer.write(chunk(text))
        seen.writer.write(chunk(b''))


@asynccontextmanager
async def running(
    count: int, subnet: int, folder: Path, ledger: Ledger, clock: Clock
) -> AsyncIterator[tuple[SoakWorld, list[SoakVm]]]:
    """Start the world and so many entry processes; end all of it."""
    world = SoakWorld(subnet, ledger, clock)
    await world.start()
    store = (world.store.server.host, world.store.server.port)
    vms = [
        SoakVm(number + 1, subnet, store, folder, ledger, clock)
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
