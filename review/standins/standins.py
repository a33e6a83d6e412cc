"""Stand-ins for the platform, the runners and the callers, and a VM starter.

Only the standard library is used, so the scripts run with the system's Python
after the build of the deploy file. Everything listens on loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path

REPO = Path(__file__).resolve().parents[2]
COMMAND = ('python3', '-P', '-m', 'bramleybend.cli.entry_vm')
HOST = 'desk.example'
KEY = 'i9n73hh2b9wu3fexd9dn'
TENANT = 'hule930'
LLM, APP = 'briefing-llm', 'booking-app'


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self._file = open(path, 'w', encoding='utf-8')

    def __call__(self, text):
        line = f'{time.monotonic() - self.started:8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()

    def close(self):
        self._file.close()


class Subnet:
    """A part of 127.0.0.0/8 in which a run's ports were found free."""

    def __init__(self):
        for _ in range(100):
            number = random.randint(60, 250)
            if _is_free(number):
                self.number = number
                return
        raise OSError('no free loopback addresses')

    def vm(self, index):
        return f'127.{self.number}.1.{index}'

    @property
    def store(self):
        return f'127.{self.number}.8.1'

    @property
    def runners(self):
        return f'127.{self.number}.9.1'


VM_PORTS = (8221, 8224, 8220, 7600, 7601, 9464)


def _is_free(number):
    for host in (f'127.{number}.1.1', f'127.{number}.1.2'):
        for port in VM_PORTS:
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    sock.bind((host, port))
                except OSError:
                    return False
    return True


# ---------------------------------------------------------------- HTTP


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.attempt = headers.get('x-bramleybend-attempt-id', '')


async def read_request(reader):
    """Read one request; `None` at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode('latin-1').strip().split('\r\n')
    method, target, _ = first.split(' ', 2)
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return Request(method, target, headers, body)


def response(status, body=b'', headers=()):
    lines = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}', *headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


def chunk(payload):
    return b'%x\r\n%b\r\n' % (len(payload), payload)


# ---------------------------------------------------------------- the store


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.changed = asyncio.Event()

    def put(self, key, content):
        offset = len(self.records)
        self.records.append((key, content))
        self.newest.pop(key, None)
        if content:
            self.newest[key] = (offset, content)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's metadata store, for keyed topics of one partition."""

    def __init__(self, host):
        self.host = host
        self.port = 0
        self.topics = {'keyed.op': Topic(), 'keyed.servers': Topic()}
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()

    def put(self, topic, key, content):
        self.topics[topic].put(key.encode(), json.dumps(content).encode())

    def append_raw(self, topic, record):
        """Append a record as any writer may: key length, key and value."""
        key, content = _split(record)
        self.topics[topic].put(key, content)

    def delete(self, topic, key):
        self.topics[topic].put(key.encode(), b'')

    async def _serve(self, reader, writer):
        try:
            while (req := await read_request(reader)) is not None:
                writer.write(await self._answer(req))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, req):
        path, _, query = req.target.partition('?')
        args = dict(part.split('=', 1) for part in query.split('&') if part)
        topic = self.topics.setdefault(args['topic'], Topic())
        await asyncio.sleep(0.004)
        if path == '/log-append':
            return self._append(topic, req.body)
        if path == '/log-newest':
            return self._newest(topic)
        return await self._read(topic, args)

    def _append(self, topic, body):
        offset = len(topic.records)
        position = 0
        while position < len(body):
            size = struct.unpack_from('>I', body, position)[0]
            topic.put(*_split(body[position + 4 : position + 4 + size]))
            position += 4 + size
        return _json({'offset': offset, 'end': len(topic.records)})

    def _newest(self, topic):
        items = [
            {
                'key': key.decode(errors='replace'),
                'value': base64.b64encode(content).decode(),
                'offset': offset,
            }
            for key, (offset, content) in sorted(topic.newest.items())
        ]
        end = len(topic.records)
        return _json({'items': items, 'hasMore': False, 'end': end})

    async def _read(self, topic, args):
        start = int(args['from'])
        if start >= len(topic.records) and 'waitMs' in args:
            changed = topic.changed
            try:
                wait_s = int(args['waitMs']) / 1000
                await asyncio.wait_for(changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        body = struct.pack('>QQ', len(topic.records), 0)
        for key, content in topic.records[start:]:
            record = bytes((len(key),)) + key + content
            body += struct.pack('>I', len(record)) + record
        return response('200 OK', body)


def _split(record):
    size = record[0]
    return record[1 : 1 + size], record[1 + size :]


def _json(content):
    body = json.dumps(content).encode()
    return response('200 OK', body, ['Content-Type: application/json'])


# ---------------------------------------------------------------- runners


class Runner:
    """A sound runner: queues for its slots, drops work whose channel closes."""

    def __init__(self, host, name, service, slots, answer, record):
        self.host = host
        self.port = 0
        self.name = name
        self.service = service
        self.slots = slots
        self.state = 'ready'
        self._answer = answer
        self._record = record
        self._free = asyncio.Semaphore(slots)
        self._server = None
        self.received = []  # (seconds, attempt id)
        self.completed = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()

    def entry(self, seq):
        return {
            'service': self.service,
            'addr': f'{self.host}:{self.port}',
            'zone': 'walton',
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldLeftMs': 0,
            'seq': seq,
        }

    async def _serve(self, reader, writer):
        try:
            while (req := await read_request(reader)) is not None:
                await self._run(req, writer)
        except (OSError, asyncio.IncompleteReadError) as exc:
            self._record(f'runner {self.name}: channel ended: {exc!r}')
        finally:
            writer.close()

    async def _run(self, req, writer):
        expected = req.headers.get('x-bramleybend-expect-instance')
        if expected not in {None, self.name}:
            writer.write(
                response(
                    '421 Misdirected Request',
                    headers=[f'X-Bramleybend-Runner-Id: {self.name}'],
                )
            )
            return
        self.received.append((time.monotonic(), req.attempt))
        self._record(f'runner {self.name}: receives {req.attempt}')
        async with self._free:
            await self._answer(self, req, writer)
            await writer.drain()
        self.completed.append(req.attempt)
        self._record(f'runner {self.name}: completed {req.attempt}')

    def stamp(self, attempt):
        return [
            f'X-Bramleybend-Attempt-Id: {attempt}',
            f'X-Bramleybend-Response-Stamp: {self.name}.{attempt}',
            'Keep-Alive: timeout=15',
        ]


def manifest(version, routes=None, **more):
    """Return a manifest like that of a small deployment."""
    return {
        'version': version,
        'routes': routes
        or [
            route('/view/', 'idempotent', APP, attempts=2),
            route('/book/', 'non_idempotent', APP),
            route('/review/', 'streaming', LLM),
            route('/debrief/', 'streaming', LLM, attempts=2, resumable=True),
        ],
        'services': [
            {
                'name': LLM,
                'healthPath': '/healthz',
                'maxConns': 360,
                'protocol': 'h1',
                'tls': False,
                'engine': {'slots': 4, 'kvCapacity': 567369, 'stride': 6},
            },
            {
                'name': APP,
                'healthPath': '/healthz',
                'maxConns': 96,
                'protocol': 'h1',
                'tls': False,
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': TENANT,
                'apiKeys': [KEY],
                'priority': 1,
                'unit': 'tokens',
                'plainTokens': 200,
                'ratePerS': 0,
                'burst': 0,
            }
        ],
        **more,
    }


def route(prefix, kind, service, attempts=1, resumable=False, timeout_ms=8000):
    return {
        'name': 'r-' + prefix.strip('/'),
        'host': HOST,
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': 800,
        'priority': 1,
        'service': service,
        'maxAttempts': attempts,
        'public': False,
        'sticky': False,
        'resumable': resumable,
        'gapTargetMs': 400,
    }


# ---------------------------------------------------------------- the VMs


class Vm:
    """One entry VM, started with the command of the deploy file."""

    def __init__(self, index, subnet, store, folder, record, vms=2):
        self.index = index
        self.address = subnet.vm(index)
        self.front = (self.address, 8221)
        self._folder = folder
        self._record = record
        self._process = None
        seeds = ','.join(
            f'{subnet.vm(number)}:8229' for number in range(1, min(vms, 3) + 1)
        )
        address = self.address
        self._settings = {
            'VM': f'edge-walton-{index}',
            'DOMAIN': 'walton',
            'ADDRESS': address,
            'FRONT': f'{address}:8221',
            'READY': f'{address}:8224',
            'DIRECTORY': f'{address}:8220',
            'PEER_PORT': '7600',
            'SEEDS': seeds,
            'STORE': f'{store.host}:{store.port}',
            'DRAIN_TIMEOUT_S': '8',
            'RESEND_RATIO': '0.2',
            'RESEND_EXTRA': '52',
            'RESEND_WINDOW_S': '10',
            'CORE_SHARE': '0.537',
            'CORE_SPEED': '2',
            'LINK_MBPS': '1000.0',
            'MEMORY_MB': '300',
            'METRICS': f'{address}:9464',
            'ALLOTMENT_WINDOW_S': '8',
            'ALLOTMENT_OVERAGE': '0.1',
            'ALLOTMENT_SLACK': '190000',
            'FIRST_START': 'true',
        }

    @property
    def pid(self):
        return self._process.pid

    @property
    def is_running(self):
        return self._process is not None and self._process.returncode is None

    def set_seeds(self, seeds):
        """Change the seeds; `start` or `write_settings` puts them down."""
        self._settings['SEEDS'] = seeds

    def write_settings(self):
        """Write the settings file, as the platform does; return its path."""
        path = Path(self._folder) / f'vm-{self.index}.conf'
        path.write_text(
            ''.join(
                f'BRAMLEYBEND_{name}={text}\n'
                for name, text in self._settings.items()
            )
        )
        return path

    async def start(self):
        path = self.write_settings()
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(REPO / 'target' / 'deps')
        env['BRAMLEYBEND_SETTINGS'] = str(path)
        log = open(Path(self._folder) / f'vm-{self.index}.log', 'ab')
        self._process = await asyncio.create_subprocess_exec(
            *COMMAND, cwd=REPO, env=env, stdout=log, stderr=log
        )
        log.close()
        self._record(f'vm {self.index}: started, pid {self.pid}')

    def send(self, signal_number):
        if self.is_running:
            self._process.send_signal(signal_number)
            name = signal.Signals(signal_number).name
            self._record(f'vm {self.index}: {name}')

    async def wait(self, timeout_s):
        """Wait for the exit; return its code, `None` if it still runs."""
        try:
            code = await asyncio.wait_for(self._process.wait(), timeout_s)
        except asyncio.TimeoutError:
            return None
        self._record(f'vm {self.index}: exited with {code}')
        return code

    async def end(self):
        if self.is_running:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self._process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, 8224)
        except OSError:
            return False
        try:
            writer.write(b'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n')
            head = await asyncio.wait_for(reader.readuntil(b'\r\n'), 1)
            return b' 200' in head
        except (OSError, EOFError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_until_ready(self, timeout_s=20):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CaseError(f'vm {self.index} was not ready in {timeout_s} s')

    def peak_memory_mb(self):
        """Return the most memory that the process had, in MB."""
        return self._memory_mb('VmHWM:')

    def memory_mb(self):
        """Return the resident memory of the process, in MB."""
        return self._memory_mb('VmRSS:')

    def _memory_mb(self, field):
        text = Path(f'/proc/{self.pid}/status').read_text()
        for line in text.splitlines():
            if line.startswith(field):
                return int(line.split()[1]) * 1024 / 1e6
        return 0


class CaseError(Exception):
    """The case can't be played."""


class World:
    """The store, the runners and the VMs of one run."""

    def __init__(self, record, declared=None):
        self.record = record
        self.manifest = declared or manifest(1)
        self.subnet = Subnet()
        self.folder = tempfile.mkdtemp(prefix='review-')
        self.store = Store(self.subnet.store)
        self.runners = []
        self.vms = []
        self._beats = None

    async def __aenter__(self):
        if not (REPO / 'target' / 'deps' / 'bramleybend').is_dir():
            raise CaseError('target/deps is missing: run deploy/build.sh')
        await self.store.start()
        self.store.put('keyed.op', 'config', self.manifest)
        self._beats = asyncio.create_task(self._beat())
        return self

    async def __aexit__(self, *_):
        self._beats.cancel()
        for vm in self.vms:
            await vm.end()
        for runner in self.runners:
            runner.stop()
        self.store.stop()
        if os.environ.get('KEEP'):
            self.record(f'logs of the VMs: {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def add_runner(self, name, service, slots, answer):
        runner = Runner(
            self.subnet.runners, name, service, slots, answer, self.record
        )
        await runner.start()
        self.runners.append(runner)
        self.store.put('keyed.servers', name, runner.entry(0))
        return runner

    async def add_vms(self, count):
        for index in range(1, count + 1):
            vm = Vm(
                index, self.subnet, self.store, self.folder, self.record, count
            )
            self.vms.append(vm)
            await vm.start()
        for vm in self.vms:
            await vm.wait_until_ready()

    async def _beat(self):
        """Renew the runners' entries, as sound runners do."""
        seq = 0
        while True:
            await asyncio.sleep(1.2)
            seq += 1
            for runner in self.runners:
                if runner.state != 'gone':
                    entry = runner.entry(seq)
                    self.store.put('keyed.servers', runner.name, entry)


# ---------------------------------------------------------------- callers


def request(method, path, attempt, body=b'', deadline_ms=8000, headers=()):
    """Return the bytes of a caller's request with a length."""
    lines = [*_head(method, path, attempt, deadline_ms), *headers]
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


def chunked_request(path, attempt, body, chunk_bytes, deadline_ms=8000):
    """Return the bytes of a caller's request whose body is in chunks."""
    lines = _head('POST', path, attempt, deadline_ms)
    lines.append('Transfer-Encoding: chunked')
    parts = [('\r\n'.join(lines) + '\r\n\r\n').encode()]
    for start in range(0, len(body), chunk_bytes):
        parts.append(chunk(body[start : start + chunk_bytes]))
    parts.append(b'0\r\n\r\n')
    return b''.join(parts)


def _head(method, path, attempt, deadline_ms):
    return [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Bramleybend-Attempt-Id: {attempt}',
        f'X-Bramleybend-Deadline-Ms: {deadline_ms}',
        f'Authorization: Token {KEY}',
    ]


async def read_answer(reader):
    """Return status, headers and body; raise `EOFError` if it ends early."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').strip().split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
        return int(first.split()[1]), headers, body
    body = b''
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return int(first.split()[1]), headers, body
        body += part[:-2]


def play(case):
    """Run a case and exit: 1 broken, 0 held, 2 it could not run."""
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record(f'trouble: {has_trouble}')
    try:
        is_broken = asyncio.run(
            asyncio.wait_for(case(record, has_trouble), 110)
        )
    except Exception as exc:  # a fault of the script is no broken rule
        record(f'the case could not run: {exc!r}')
        print(f'the case could not run: {exc!r}')
        sys.exit(2)
    verdict = 'BROKEN' if is_broken else 'held'
    record(f'verdict: {verdict}')
    print(f'verdict: {verdict}')
    record.close()
    sys.exit(1 if is_broken else 0)
