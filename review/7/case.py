"""Content that crashes runners, known to all VMs before all are killed."""

import asyncio
import itertools
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2.standins import (  # noqa: E402
    ATTEMPT,
    Channel,
    Deployment,
    Runner,
    manifest,
    run_case,
)

ZONES = ['sof-a', 'sof-a', 'sof-a', 'sof-b', 'sof-b', 'sof-c']
RUNNER_ZONES = ['sof-a', 'sof-b', 'sof-c'] * 2
SERVICE = 'release-api'
PREFIX = '/cufi504/'
POISON = f'{PREFIX}poison/30'
SOUND = f'{PREFIX}sound/30'
LIMIT_MS = 1000
STABLE_WINDOW_S = 3.0
CALM_S = 4.0
HERD_KILLS = 2  # herd_kill, share = 1.0, for_s = 1.0
DOWN_S = 1.0
BACK_AFTER_S = 2.0  # a crashed runner, in a new lifetime
SILENT_S = 3.6  # three heartbeats, after which its entry is removed
RESENDS = 6  # of the crashing request after each calm time
PAUSE_S = 0.5
CRASHES_TO_LEARN = 3
MOST_RETRIES = 3


class FragileRunner(Runner):
    """A runner whose process ends when it begins to run the content."""

    def __init__(self, *args, on_crash, **options) -> None:
        super().__init__(*args, **options)
        self._on_crash = on_crash

    async def handle(self, method, target, headers, body, writer) -> bytes:
        is_own = headers['x-bramleybend-expect-instance'] == self.name
        if is_own and target == POISON:
            self._record.add(
                f'{self.name} crashes on {headers[ATTEMPT.lower()]}'
            )
            self._on_crash(self)
            await asyncio.sleep(1)  # until the process has ended
        return await super().handle(method, target, headers, body, writer)


class Pool:
    """Runners that are back some seconds after a crash."""

    def __init__(self, deployment, record) -> None:
        self.crashed_at = []
        self._deployment = deployment
        self._record = record
        self._numbers = itertools.count(1)
        self._runners = []
        self._tasks = set()

    async def add(self, zone: str) -> None:
        number = next(self._numbers)
        runner = FragileRunner(
            f'i-{number:02d}',
            SERVICE,
            f'{self._deployment.subnet}.9.{number}',
            self._record,
            on_crash=lambda crashed: self._crash(crashed, zone),
        )
        await runner.start()
        self._runners.append(runner)
        self._deployment.store.put(
            'keyed.servers', runner.name, runner.entry(zone)
        )

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for runner in self._runners:
            await runner.stop()

    def _crash(self, runner: Runner, zone: str) -> None:
        self.crashed_at.append(self._record.now())
        for work in (runner.stop(), self._replace(zone), self._expire(runner)):
            task = asyncio.create_task(work)
            self._tasks.add(task)

    async def _replace(self, zone: str) -> None:
        await asyncio.sleep(BACK_AFTER_S)
        await self.add(zone)

    async def _expire(self, runner: Runner) -> None:
        await asyncio.sleep(SILENT_S)
        self._deployment.store.put('keyed.servers', runner.name)


async def send(vm, path: str, attempt: str, record) -> str:
    """Send one request on a channel of its own."""
    channel = Channel(vm)
    try:
        await channel.open()
    except OSError:
        return 'no connection'
    record.add(f'client sends {attempt} {path} to {vm.name}')
    end = await channel.ask('GET', path, attempt, LIMIT_MS)
    record.add(f'client gets {attempt} {end}')
    channel.close()
    return end


async def send_poison(vms, numbers, record) -> None:
    """Send the request that crashes runners, again and again."""
    for _ in range(RESENDS):
        number = next(numbers)
        vm = vms[number % len(vms)]
        await send(vm, POISON, f'poison{number:04d}', record)
        await asyncio.sleep(PAUSE_S)


async def kill_all(deployment, record) -> None:
    """Kill all VMs at the same moment; start them again."""
    record.add('all VMs are killed')
    for vm in deployment.vms:
        vm.process.send_signal(signal.SIGKILL)
    await asyncio.gather(*(vm.process.wait() for vm in deployment.vms))
    await asyncio.sleep(DOWN_S)
    for vm in deployment.vms:
        vm.settings['FIRST_START'] = 'false'
        await vm.start(deployment.folder)
    await deployment.wait_until_ready()
    record.add('all VMs are ready again')


async def case(record, has_trouble: bool) -> int:
    route = {
        'name': 'r-status',
        'host': 'ficu95.example',
        'pathPrefix': PREFIX,
        'kind': 'idempotent',
        'timeoutMs': LIMIT_MS,
        'targetLatencyMs': 150,
        'priority': 2,
        'service': SERVICE,
        'maxAttempts': 2,
        'public': False,
    }
    service = {'name': SERVICE, 'healthPath': '/healthz', 'maxConns': 96}
    deployment = Deployment(record, ZONES)
    pool = Pool(deployment, record)
    numbers = itertools.count()
    sound = []
    try:
        for zone in RUNNER_ZONES:
            await pool.add(zone)
        await deployment.start(manifest([route], [service]))
        await asyncio.sleep(CALM_S)
        await send_poison(deployment.vms, numbers, record)
        first_round = len(pool.crashed_at)
        for _ in range(HERD_KILLS):
            await asyncio.sleep(CALM_S)
            if has_trouble:
                await kill_all(deployment, record)
            await asyncio.sleep(CALM_S)
            for vm in deployment.vms:
                attempt = f'sound{next(numbers):04d}'
                sound.append(await send(vm, SOUND, attempt, record))
            await send_poison(deployment.vms, numbers, record)
    finally:
        await deployment.end()
        await pool.stop()
    if first_round < CRASHES_TO_LEARN or '200' not in sound:
        return 2
    learnt_at = pool.crashed_at[CRASHES_TO_LEARN - 1]
    retries = [at for at in pool.crashed_at if at > learnt_at + STABLE_WINDOW_S]
    text = (
        f'crashes at {[round(at, 1) for at in pool.crashed_at]}; '
        f'{len(retries)} of them later than {STABLE_WINDOW_S} s after the '
        f'third; sound requests: {sound.count("200")} of {len(sound)} served'
    )
    record.add(text)
    print(text)
    return 1 if len(retries) > MOST_RETRIES else 0


if __name__ == '__main__':
    run_case(case, FOLDER)
