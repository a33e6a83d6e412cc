"""Runs entry VMs, a store and fake runners in one event loop."""

import asyncio
import contextvars
import itertools
import json
import os
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any

from bramleybend.clock import Clock, SystemClock
from bramleybend.entry_settings import EntrySettings
from bramleybend.platform.platform_process import (
    PlatformProcess,
    make_platform_process,
)
from bramleybend.setting_parsers import HostPort
from tests.utils.path_cuts import PathCuts, current_vm
from tests.utils.platform_store import PlatformStore
from tests.utils.raw_runner import Behaviour, RawRunner, answer_at_once
from tests.utils.waiting import wait_until

ENGINE, PLAIN = 'engine-service', 'plain-service'
KEY = 'key-1'
HOST = 'desk.example'
# Test processes run in parallel, each in its own loopback subnet.
_SUBNET = 20 + os.getpid() % 200
_RUNNER_HOST = f'127.{_SUBNET}.9.1'
_PORTS = itertools.count(21_000)


def route(prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return one route of a manifest."""
    return {
        'name': prefix.strip('/'),
        'host': HOST,
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': 4000,
        'targetLatencyMs': 800,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'public': False,
        **more,
    }


def manifest(version: int = 1, **more: Any) -> dict[str, Any]:
    """Return a manifest with one route of each kind."""
    return {
        'version': version,
        'routes': [
            route('/read/', 'idempotent', PLAIN),
            route('/book/', 'non_idempotent', PLAIN),
            route('/draft/', 'streaming', ENGINE, maxAttempts=1),
            route('/check/', 'streaming', ENGINE, resumable=True),
        ],
        'services': [
            {
                'name': ENGINE,
                'healthPath': '/healthz',
                'maxConns': 360,
                'engine': {'slots': 4, 'stride': 6},
            },
            {'name': PLAIN, 'healthPath': '/healthz', 'maxConns': 96},
        ],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 100_000,
            'headerTimeoutMs': 500,
            'idleTimeoutMs': 5000,
        },
        'tenants': [{'name': 'school', 'apiKeys': [KEY], 'ratePerS': 0}],
        **more,
    }


@dataclass
class Cluster:
    """A store, entry VMs and runners of a test."""

    store: PlatformStore
    vms: list[PlatformProcess] = field(default_factory=list)
    cfgs: list[EntrySettings] = field(default_factory=list)
    runners: dict[str, RawRunner] = field(default_factory=dict)
    paths: PathCuts = field(default_factory=lambda: PathCuts(_RUNNER_HOST))
    clock: Clock = field(default_factory=SystemClock)
    # further settings of the VMs
    extra_settings: Mapping[str, Any] = field(default_factory=dict)

    def publish(self, declared: Mapping[str, Any]) -> None:
        """Write a manifest to the store."""
        self.store.put('keyed.op', 'config', declared)

    async def add_runner(
        self,
        name: str,
        service: str,
        behave: Behaviour = answer_at_once,
        version: str = 'v1',
    ) -> RawRunner:
        """Start a runner and register it."""
        runner = RawRunner(_RUNNER_HOST, name, behave, version=version)
        await runner.start()
        self.runners[name] = runner
        self.store.put('keyed.servers', name, runner.entry(service))
        return runner

    async def remove_runner(self, name: str) -> None:
        """Stop a runner and delete its entry."""
        await self.runners[name].stop()
        self.store.topic('keyed.servers').put(name, b'')

    async def change_version(self, name: str, version: str) -> None:
        """Replace the software of a runner, which keeps its name."""
        runner = self.runners[name]
        runner.version = version
        self.store.put('keyed.servers', name, runner.entry(ENGINE))
        await wait_until(
            lambda: all(_version_of(vm, name) == version for vm in self.vms),
            f'{name} is listed with {version}',
        )

    async def restart_vms(self) -> None:
        """Kill all VMs at once and start them again at their addresses."""
        await self.kill_vms()
        await self.start_vms_again()

    async def kill_vms(self) -> None:
        """Kill all VMs at once."""
        for vm in self.vms:
            await vm.kill()
        self.vms.clear()

    async def start_vms_again(self) -> None:
        """Start all VMs at their addresses, after their first start."""
        for cfg in self.cfgs:
            restarted = replace(cfg, first_start=False)
            vm = make_platform_process(restarted, self.clock)
            await vm.start()
            self.vms.append(vm)
        await self.wait_until_ready()

    async def add_vm(self) -> PlatformProcess:
        """Start an entry VM with the first one as its seed."""
        cfg = self._settings(len(self.vms) + 1)
        vm = make_platform_process(cfg, self.clock)
        context = contextvars.copy_context()
        context.run(current_vm.set, len(self.vms))
        await asyncio.create_task(vm.start(), context=context)
        self.vms.append(vm)
        self.cfgs.append(cfg)
        return vm

    async def wait_until_ready(self) -> None:
        """Wait until each VM is ready and hears all others."""
        await wait_until(
            lambda: all(
                len(vm.entry.front_addresses()) == len(self.vms)
                for vm in self.vms
            ),
            'all VMs ready',
        )

    async def wait_until_ready_at(self, count: int) -> None:
        """Wait until the first VM lists this many addresses for callers."""
        await wait_until(
            lambda: len(self.vms[0].entry.front_addresses()) == count,
            f'{count} VMs ready',
        )

    async def wait_for_runners(self, service: str, count: int = 1) -> None:
        """Wait until each VM knows `count` runners of a service."""
        await wait_until(
            lambda: all(
                len(vm.entry.catalog.runners_by_service.get(service, ()))
                == count
                for vm in self.vms
            ),
            f'{count} runners of {service}',
        )

    async def call(
        self, target: str, vm: int = 0, **options: Any
    ) -> 'RawAnswer':
        """Send one request on a connection of its own."""
        caller = await self.connect(vm)
        await caller.send(target, **options)
        try:
            return await caller.answer()
        finally:
            caller.close()

    async def connect(self, vm: int = 0) -> 'RawCaller':
        """Open a caller's connection."""
        cfg = self.cfgs[vm]
        return await connect(cfg.front.host, cfg.front.port)

    def _settings(self, number: int) -> EntrySettings:
        address = f'127.{_SUBNET}.1.{number}'
        port = next(_PORTS) if not self.cfgs else self.cfgs[0].front.port
        return EntrySettings(
            vm=f'entry-{number}',
            domain='walton',
            address=address,
            front=HostPort(host=address, port=port),
            ready=HostPort(host=address, port=port + 1000),
            directory=HostPort(host=address, port=port + 2000),
            peer_port=port + 3000,
            store=HostPort(
                host=self.store.server.host, port=self.store.server.port
            ),
            **{
                'first_start': True,
                'seeds': f'127.{_SUBNET}.1.1:1',
                **self.extra_settings,
            },
        )


def _version_of(vm: PlatformProcess, runner: str) -> str:
    entry = vm.entry.catalog.used_runner(runner)
    return getattr(entry, 'version', '')


@dataclass
class RawAnswer:
    """An answer as its caller received it."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool

    def json(self) -> Any:
        """Read the body as JSON."""
        return json.loads(self.body)


class RawCaller:
    """A caller's connection, which sends and reads plain bytes."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Take over an open connection."""
        self.reader = reader
        self.writer = writer

    async def send(
        self,
        target: str,
        *,
        method: str = 'POST',
        key: str = KEY,
        attempt: str = 'a1',
        body: bytes = b'{}',
        **headers: str,
    ) -> None:
        """Send one request; header names are written with underscores."""
        lines = [
            f'{method} {target} HTTP/1.1',
            f'Host: {HOST}',
            f'X-Bramleybend-Attempt-Id: {attempt}',
            f'Content-Length: {len(body)}',
        ]
        if key:
            lines.append(f'Authorization: Token {key}')
        for name, text in headers.items():
            hyphened = name.replace('_', '-')
            lines.append(f'{hyphened}: {text}')
        head = '\r\n'.join(lines)
        self.writer.write(f'{head}\r\n\r\n'.encode() + body)
        await self.writer.drain()

    async def answer(self, timeout_s: float = 8) -> RawAnswer:
        """Read one answer; an incomplete one has `is_whole` unset."""
        async with asyncio.timeout(timeout_s):
            head = (await self.reader.readuntil(b'\r\n\r\n')).decode()
            first, *lines = head.strip().split('\r\n')
            headers = {}
            for line in lines:
                name, _, text = line.partition(':')
                headers[name.lower()] = text.strip()
            body, whole = await self._read_body(headers)
        return RawAnswer(int(first.split()[1]), headers, body, whole)

    def close(self) -> None:
        """Disconnect."""
        self.writer.close()

    async def _read_body(
        self, headers: Mapping[str, str]
    ) -> tuple[bytes, bool]:
        body = b''
        try:
            if 'content-length' in headers:
                length = int(headers['content-length'])
                return await self.reader.readexactly(length), True
            while True:
                size = int(await self.reader.readuntil(b'\r\n'), 16)
                part = await self.reader.readexactly(size + 2)
                if not size:
                    return body, True
                body += part[:-2]
        except (asyncio.IncompleteReadError, ConnectionError):
            return body, False


async def publish_token_limit(
    cluster: Cluster, per_s: float = 1000, burst: float = 1000, **more: Any
) -> None:
    """Limit the workspace to a rate and burst of tokens.

    A request that names no tokens takes 100.
    """
    limit = {'unit': 'tokens', 'plainTokens': 100, 'ratePerS': per_s}
    holder = {'name': 'school', 'apiKeys': [KEY], 'burst': burst, **limit}
    cluster.publish(manifest(version=2, tenants=[holder], **more))
    await wait_until(
        lambda: all(
            vm.entry.catalog.manifest_version() == 2 for vm in cluster.vms
        ),
        'the limit is in force',
    )


async def connect(host: str, port: int) -> RawCaller:
    """Open a connection."""
    return RawCaller(*await asyncio.open_connection(host, port))


@asynccontextmanager
async def running_cluster(
    vms: int = 1, clock: Clock | None = None, **more: Any
) -> AsyncIterator[Cluster]:
    """Start a store with a manifest and entry VMs; stop them at the end."""
    store = PlatformStore(f'127.{_SUBNET}.8.1')
    await store.server.start()
    cluster = Cluster(store, clock=clock or SystemClock(), extra_settings=more)
    cluster.paths.install()
    cluster.publish(manifest())
    store.topic('keyed.servers')
    try:
        for _ in range(vms):
            await cluster.add_vm()
        await cluster.wait_until_ready()
        yield cluster
    finally:
        for vm in cluster.vms:
            await vm.kill()
        for runner in cluster.runners.values():
            await runner.stop()
        await store.server.stop()
