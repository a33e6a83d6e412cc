"""Streams taken up at a machine that slept while a new version came."""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2.standins import (  # noqa: E402
    ATTEMPT,
    DEADLINE,
    HOST,
    KEY,
    STAMP,
    Deployment,
    Runner,
    manifest,
    read_head,
    run_case,
)

ZONES = ['sof-a', 'sof-b', 'sof-c']
SERVICE = 'bend-lm'
PATH = '/lohu930/2f'
LIMIT_MS = 8000
EVENTS = 24
EVENT_S = 0.15
OLD_RUNNERS = 7
NEW_RUNNERS = 2  # scale_out, share = 0.3
SLOTS = 4
CLIENTS = 40
CALM_S = 4.0
LOAD_S = 0.5  # until all slots are taken and others wait
KILL_AFTER_S = 0.95  # after the freeze began
FREEZE_S = 1.1
DOWN_S = 2.1  # node_kill
MOST_JOINED = 2


class StreamRunner(Runner):
    """An engine that streams events after the client's last one."""

    def __init__(self, *args, version: str, **options) -> None:
        super().__init__(*args, **options)
        self.version = version

    def entry(self, zone: str, state: str = 'ready', seq: int = 1) -> dict:
        return {**super().entry(zone, state, seq), 'version': self.version}

    async def _work(self, method, target, headers, attempt) -> bytes:
        raise NotImplementedError

    async def handle(self, method, target, headers, body, writer) -> bytes:
        attempt = headers.get(ATTEMPT.lower(), '')
        if headers['x-bramleybend-expect-instance'] != self.name:
            return self._refuse('421 Misdirected Request', attempt)
        first = int(headers.get('last-event-id', 0)) + 1
        until = time.monotonic() + float(headers[DEADLINE.lower()]) / 1000
        async with self._free:
            self._record.add(
                f'{self.name} ({self.version}) runs {attempt} from {first}'
            )
            writer.write(
                (
                    f'HTTP/1.1 200 OK\r\n{ATTEMPT}: {attempt}\r\n'
                    f'{STAMP}: {self.name}.{attempt}\r\n'
                    'Content-Type: text/event-stream\r\n'
                    'Transfer-Encoding: chunked\r\n\r\n'
                ).encode()
            )
            for number in range(first, EVENTS + 1):
                await asyncio.sleep(EVENT_S)
                if time.monotonic() > until:
                    raise ConnectionError('its time limit has passed')
                text = f'id: {number}\ndata: {self.version}\n\n'.encode()
                writer.write(b'%x\r\n%b\r\n' % (len(text), text))
                await writer.drain()
        return b'0\r\n\r\n'


class StreamClient:
    """A client that takes its stream up after a broken channel."""

    def __init__(self, number: int, record) -> None:
        self.name = f'c{number:02d}'
        self.events = []  # id and version, of all tries
        self.is_whole = False
        self._record = record
        self._first_attempt = ''

    async def run(self, vms) -> None:
        """Send to one VM after the other until the stream is whole."""
        ends_at = time.monotonic() + LIMIT_MS / 1000
        for turn, vm in enumerate(vms):
            left_ms = int((ends_at - time.monotonic()) * 1000)
            if left_ms <= 0:
                return
            attempt = f'{self.name}t{turn}'
            try:
                async with asyncio.timeout(left_ms / 1000):
                    await self._try(vm, attempt, left_ms)
            except (OSError, EOFError) as exc:
                self._record.add(f'client {attempt} broken off: {exc!r}')
            if self.is_whole:
                self._record.add(f'client {attempt} has the whole stream')
                return

    def versions(self) -> list[str]:
        return [
            version
            for version, _ in itertools.groupby(
                version for _, version in self.events
            )
        ]

    async def _try(self, vm, attempt: str, left_ms: int) -> None:
        reader, writer = await asyncio.open_connection(
            vm.address, vm.ports['front']
        )
        lines = [
            f'POST {PATH} HTTP/1.1',
            f'Host: {HOST}',
            f'{ATTEMPT}: {attempt}',
            f'{DEADLINE}: {left_ms}',
            f'Authorization: Token {KEY}',
            'X-Bramleybend-Token-Counts: 600,140',
            'Content-Length: 2',
        ]
        if self.events:
            lines.append(f'Last-Event-Id: {self.events[-1][0]}')
            lines.append(f'Resumes: {self._first_attempt}')
        self._record.add(f'client sends {attempt} to {vm.name} {lines[7:]}')
        try:
            writer.write(('\r\n'.join(lines) + '\r\n\r\n{}').encode())
            first, _ = await read_head(reader)
            if ' 200' not in first:
                self._record.add(f'client gets {attempt} {first}')
                return
            await self._read_events(reader, attempt)
        finally:
            writer.close()

    async def _read_events(self, reader, attempt: str) -> None:
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            chunk = (await reader.readexactly(size + 2))[:-2]
            if not chunk:
                self.is_whole = True
                return
            lines = dict(
                line.split(': ', 1)
                for line in chunk.decode().strip().split('\n')
            )
            if not self.events:
                self._first_attempt = attempt
            self.events.append((int(lines['id']), lines['data']))


async def add_runners(deployment, record, runners, version, count) -> None:
    """Start runners of a version; the store then names them."""
    added = []
    for number in range(count):
        runner = StreamRunner(
            f'i-{version}-{number}',
            SERVICE,
            f'{deployment.subnet}.9.{len(runners) + 1}',
            record,
            slots=SLOTS,
            version=version,
        )
        await runner.start()
        runners.append(runner)
        added.append(runner)
    for number, runner in enumerate(added):
        entry = runner.entry(ZONES[number % len(ZONES)])
        deployment.store.put('keyed.servers', runner.name, entry)
        record.add(f'{runner.name} is in the store, {version}')


def configuration() -> dict:
    route = {
        'name': 'r-check',
        'host': HOST,
        'pathPrefix': '/lohu930/',
        'kind': 'streaming',
        'timeoutMs': LIMIT_MS,
        'targetLatencyMs': 800,
        'priority': 1,
        'service': SERVICE,
        'maxAttempts': 2,
        'public': False,
        'sticky': True,
        'resumable': True,
        'gapTargetMs': 400,
    }
    engine = {'slots': SLOTS, 'stride': 6}
    service = {
        'name': SERVICE,
        'healthPath': '/healthz',
        'maxConns': 360,
        'engine': engine,
    }
    return manifest([route], [service])


async def case(record, has_trouble: bool) -> int:
    deployment = Deployment(record, ZONES)
    runners = []
    try:
        await deployment.start(configuration())
        await add_runners(deployment, record, runners, 'v1', OLD_RUNNERS)
        await asyncio.sleep(CALM_S)
        killed, asleep, awake = deployment.vms
        clients = [StreamClient(number, record) for number in range(CLIENTS)]
        others = [(asleep, awake), (awake, asleep)]
        tasks = [
            asyncio.create_task(client.run((killed, *others[number % 2])))
            for number, client in enumerate(clients)
        ]
        await asyncio.sleep(LOAD_S)
        if has_trouble:
            record.add(f'{asleep.name} freezes')
            asleep.process.send_signal(signal.SIGSTOP)
        await add_runners(deployment, record, runners, 'v1.1', NEW_RUNNERS)
        if has_trouble:
            await asyncio.sleep(KILL_AFTER_S)
            record.add(f'{killed.name} is killed')
            killed.process.send_signal(signal.SIGKILL)
            await asyncio.sleep(FREEZE_S - KILL_AFTER_S)
            record.add(f'{asleep.name} wakes')
            asleep.process.send_signal(signal.SIGCONT)
            await killed.process.wait()
            await asyncio.sleep(DOWN_S - (FREEZE_S - KILL_AFTER_S))
            killed.settings['FIRST_START'] = 'false'
            await killed.start(deployment.folder)
            record.add(f'{killed.name} starts again')
        await asyncio.gather(*tasks)
    finally:
        await deployment.end()
        for runner in runners:
            await runner.stop()
    joined = [client for client in clients if len(client.versions()) > 1]
    for client in clients:
        record.add(
            f'{client.name}: {"whole" if client.is_whole else "not whole"}, '
            f'{len(client.events)} events of {client.versions()}'
        )
    whole = sum(client.is_whole for client in clients)
    text = f'{len(joined)} streams of two versions, {whole} whole'
    record.add(text)
    print(text)
    if not whole:
        return 2
    return 1 if len(joined) > MOST_JOINED else 0


if __name__ == '__main__':
    run_case(case, FOLDER)
