"""Stand-ins for the platform's store, runners and clients.

Only the standard library is used. All sockets are on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
STAMP = 'X-Bramleybend-Response-Stamp'
ATTEMPT = 'X-Bramleybend-Attempt-Id'
DEADLINE = 'X-Bramleybend-Deadline-Ms'
NOT_EXECUTED = 'X-Bramleybend-Not-Executed'
EXPECTED = 'X-Bramleybend-Expect-Instance'
KEY = 'i9n73hh2b9wu3fexd9dn'
HOST = 'ficu95.example'


def make_subnet() -> str:
    """Return the first two bytes of loopback addresses of this run."""
    return f'127.{random.randrange(100, 250)}'


def free_port(addresses: list[str], width: int) -> int:
    """Return the first of `width` ports that are free at all addresses."""
    while True:
        port = random.randrange(20000, 30000)
        if all(
            _is_free(address, port + step)
            for address in addresses
            for step in range(width)
        ):
            return port


def _is_free(address: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((address, port))
            except OSError:
                return False
    return True


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started

    def add(self, text: str) -> None:
        self._file.write(f'{self.now():9.3f} {text}\n')
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict]:
    """Read a message's first line and its headers, by lower-case name."""
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = text.strip().split('\r\n')
    pairs = (line.partition(':') for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


class HttpServer:
    """Serves requests one after the other on each channel."""

    def __init__(self, host: str, port: int = 0) -> None:
        self.host = host
        self.port = port
        self._server = None
        self._tasks = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def handle(self, method, target, headers, body, writer) -> bytes:
        """Return the bytes of the answer."""
        raise NotImplementedError

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                first, headers = await read_head(reader)
                size = int(headers.get('content-length', 0))
                body = await reader.readexactly(size)
                method, target, _ = first.split(' ', 2)
                answer = await self.handle(
                    method, target, headers, body, writer
                )
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()


def reply(status: str, body: bytes = b'', **headers: str) -> bytes:
    """Return the bytes of an answer."""
    lines = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}']
    lines += [f'{name.replace("_", "-")}: {headers[name]}' for name in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Topic:
    """The records of a topic with one partition."""

    def __init__(self) -> None:
        self.records = []
        self.first = 0
        self.changed = asyncio.Event()

    def append(self, record: bytes) -> int:
        self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        return len(self.records) - 1

    def newest(self) -> dict:
        found = {}
        for offset, record in enumerate(self.records):
            size = record[0]
            key = record[1 : 1 + size].decode()
            found.pop(key, None)
            if len(record) > 1 + size:
                found[key] = (offset, record[1 + size :])
        return found


class Store(HttpServer):
    """The platform's store, with the calls that read and write topics."""

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self.topics = {}

    def topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, content: object = None) -> None:
        """Append a record; without content, the key is dropped."""
        name = key.encode()
        value = b'' if content is None else json.dumps(content).encode()
        self.topic(topic).append(bytes((len(name),)) + name + value)

    async def handle(self, method, target, headers, body, writer) -> bytes:
        path, _, text = target.partition('?')
        query = dict(part.split('=', 1) for part in text.split('&') if part)
        if path == '/log-trim':
            asked = json.loads(body)
            self.topic(asked['topic']).first = asked['before']
            return reply('200 OK', b'{}')
        topic = self.topic(query['topic'])
        if path == '/log-append':
            return self._append(topic, body)
        if path == '/log-newest':
            return self._newest(topic)
        return await self._read(topic, query)

    def _append(self, topic: Topic, body: bytes) -> bytes:
        first = len(topic.records)
        while body:
            (size,) = struct.unpack_from('>I', body)
            topic.append(body[4 : 4 + size])
            body = body[4 + size :]
        ends = {'offset': first, 'end': len(topic.records)}
        return reply('200 OK', json.dumps(ends).encode())

    def _newest(self, topic: Topic) -> bytes:
        items = [
            {
                'key': key,
                'value': base64.b64encode(content).decode(),
                'offset': offset,
            }
            for key, (offset, content) in topic.newest().items()
        ]
        page = {'items': items, 'hasMore': False, 'end': len(topic.records)}
        return reply('200 OK', json.dumps(page).encode())

    async def _read(self, topic: Topic, query: dict) -> bytes:
        start = int(query['from'])
        if start < topic.first:
            first = json.dumps({'first': topic.first}).encode()
            return reply('410 Gone', first)
        if start >= len(topic.records) and 'waitMs' in query:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query['waitMs']) / 1000):
                    await topic.changed.wait()
        packed = struct.pack('>QQ', len(topic.records), topic.first)
        for record in topic.records[start:]:
            packed += struct.pack('>I', len(record)) + record
        return reply('200 OK', packed)


class Runner(HttpServer):
    """A plain runner with slots, a short queue and a time limit.

    The path's last part is the work in milliseconds; `slowness` multiplies it.
    """

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        record: Record,
        slots: int = 6,
        queue: int = 24,
    ) -> None:
        super().__init__(host)
        self.name = name
        self.service = service
        self.slowness = 1.0
        self.slots = slots
        self._record = record
        self._queue = queue
        self._present = 0
        self._free = asyncio.Semaphore(slots)

    def entry(self, zone: str, state: str = 'ready', seq: int = 1) -> dict:
        """Return the runner's entry in the store."""
        return {
            'service': self.service,
            'addr': f'{self.host}:{self.port}',
            'zone': zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'coldLeftMs': 0,
            'seq': seq,
        }

    async def handle(self, method, target, headers, body, writer) -> bytes:
        attempt = headers.get(ATTEMPT.lower(), '')
        if headers.get(EXPECTED.lower(), self.name) != self.name:
            return self._refuse('421 Misdirected Request', attempt)
        if self._present >= self.slots + self._queue:
            return self._refuse('503 Service Unavailable', attempt)
        self._present += 1
        try:
            return await self._work(method, target, headers, attempt)
        finally:
            self._present -= 1

    async def _work(self, method, target, headers, attempt) -> bytes:
        limit_s = float(headers[DEADLINE.lower()]) / 1000
        arrived = time.monotonic()
        work_s = float(target.rpartition('/')[2]) / 1000 * self.slowness
        async with self._free:
            left_s = limit_s - (time.monotonic() - arrived)
            if left_s <= 0:
                return self._refuse('503 Service Unavailable', attempt)
            self._record.add(f'{self.name} runs {attempt} {method} {target}')
            await asyncio.sleep(min(work_s, left_s))
        is_late = work_s > left_s
        status = '504 Gateway Timeout' if is_late else '200 OK'
        text = f'{attempt} by {self.name}'.encode()
        self._record.add(f'{self.name} answers {attempt} {status}')
        answer = reply(
            status,
            text,
            **{ATTEMPT: attempt, STAMP: f'{self.name}.{attempt}'},
        )
        return answer[: -len(text)] if method == 'HEAD' else answer

    def _refuse(self, status: str, attempt: str) -> bytes:
        self._record.add(f'{self.name} refuses {attempt} {status}')
        marks = {ATTEMPT: attempt, NOT_EXECUTED: '1'}
        return reply(status, **marks)


class EntryVm:
    """A process of the program that the deploy file names."""

    def __init__(
        self, name: str, zone: str, address: str, ports: dict, **more: object
    ) -> None:
        self.name = name
        self.zone = zone
        self.address = address
        self.ports = ports
        self.process = None
        self.settings = {
            'VM': name,
            'DOMAIN': zone,
            'ADDRESS': address,
            'FRONT': f'{address}:{ports["front"]}',
            'READY': f'{address}:{ports["ready"]}',
            'DIRECTORY': f'{address}:{ports["directory"]}',
            'PEER_PORT': ports['peer'],
            'DRAIN_TIMEOUT_S': 8,
            'RESEND_RATIO': 0.2,
            'RESEND_EXTRA': 52,
            'RESEND_WINDOW_S': 10,
            'CORE_SHARE': 0.537,
            'CORE_SPEED': 2,
            'LINK_MBPS': 1000.0,
            'MEMORY_MB': 300,
            'METRICS': f'{address}:{ports["metrics"]}',
            'ALLOTMENT_WINDOW_S': 8,
            'ALLOTMENT_OVERAGE': 0.1,
            'ALLOTMENT_SLACK': 190000,
            'FIRST_START': 'true',
            **more,
        }

    async def start(self, folder: Path) -> None:
        """Start the process with the command of the deploy file."""
        path = folder / f'{self.name}.conf'
        lines = (
            f'BRAMLEYBEND_{name}={text}\n'
            for name, text in self.settings.items()
        )
        path.write_text(''.join(lines))
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['BRAMLEYBEND_SETTINGS'] = str(path)
        with (folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                '-P',
                '-m',
                'bramleybend.cli.entry_vm',
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.address, self.ports['ready']
                )
                writer.write(b'GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n')
                first, _ = await read_head(reader)
                writer.close()
        except (OSError, EOFError):
            return False
        return ' 200' in first

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Channel:
    """A client's channel to one VM."""

    def __init__(self, vm: EntryVm) -> None:
        self._vm = vm
        self._reader = None
        self._writer = None

    async def open(self) -> None:
        self._reader, self._writer = await asyncio.open_connection(
            self._vm.address, self._vm.ports['front']
        )

    async def ask(
        self, method: str, path: str, attempt: str, limit_ms: int
    ) -> str:
        """Send one request; return its status, or how the channel ended."""
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST}',
            f'{ATTEMPT}: {attempt}',
            f'{DEADLINE}: {limit_ms}',
            f'Authorization: Token {KEY}',
        ]
        try:
            self._writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
            async with asyncio.timeout(limit_ms / 1000 + 2):
                first, headers = await read_head(self._reader)
                size = int(headers.get('content-length', 0))
                if method != 'HEAD':
                    await self._reader.readexactly(size)
        except TimeoutError:
            return 'no answer'
        except (OSError, EOFError) as exc:
            return f'closed without an answer ({type(exc).__name__})'
        return first.split()[1]

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()


def manifest(routes: list[dict], services: list[dict], version=1) -> dict:
    """Return a manifest with one tenant."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': 'hule930',
                'apiKeys': [KEY],
                'priority': 1,
                'unit': 'tokens',
                'plainTokens': 200,
                'ratePerS': 5_257_700,
                'burst': 6_552_000,
            }
        ],
    }


class Deployment:
    """Entry VMs, a store and a folder for settings and logs."""

    def __init__(self, record: Record, zones: list[str]) -> None:
        self.record = record
        self.subnet = make_subnet()
        self.store = Store(f'{self.subnet}.8.1')
        self.vms = []
        self._zones = zones
        self._folder = tempfile.TemporaryDirectory(prefix='review-')

    @property
    def folder(self) -> Path:
        return Path(self._folder.name)

    async def start(self, configuration: dict) -> None:
        """Start the store and all VMs, and wait until they are ready."""
        await self.store.start()
        self.store.put('keyed.op', 'config', configuration)
        addresses = [
            f'{self.subnet}.1.{number}'
            for number, _ in enumerate(self._zones, start=1)
        ]
        # The port after that of the peers is theirs, too.
        names = ('front', 'ready', 'directory', 'metrics', 'peer')
        base = free_port(addresses, len(names) + 1)
        ports = {name: base + step for step, name in enumerate(names)}
        seeds = ','.join(f'{address}:1' for address in addresses[:3])
        for number, zone in enumerate(self._zones):
            vm = EntryVm(
                f'edge-{zone}-{number}',
                zone,
                addresses[number],
                ports,
                SEEDS=seeds,
                STORE=f'{self.store.host}:{self.store.port}',
            )
            await vm.start(self.folder)
            self.vms.append(vm)
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until all VMs are ready."""
        try:
            async with asyncio.timeout(20):
                for vm in self.vms:
                    while not await vm.is_ready():
                        await asyncio.sleep(0.05)
        except TimeoutError:
            for path in self.folder.glob('*.log'):
                self.record.add(f'{path.name}: {path.read_text()[-2000:]}')
            raise

    async def end(self) -> None:
        """End all processes and servers that were started."""
        for vm in self.vms:
            await vm.end()
        await self.store.stop()
        self._folder.cleanup()


def run_case(case, folder: Path) -> None:
    """Run `case(record, has_trouble)`, and exit with its verdict."""
    record = Record(folder / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        status = asyncio.run(asyncio.wait_for(case(record, has_trouble), 110))
    except Exception as exc:  # the case could not run
        text = ''.join(traceback.format_exception(exc))
        record.add(f'could not run: {text}')
        print(f'could not run: {text}', file=sys.stderr)
        status = 2
    sys.exit(status)
