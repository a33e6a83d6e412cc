"""Cost of one idle scheduler among many real ones on loopback.

No gateways run and no requests are sent, so the slopes are those of gossip,
the VM list and ownership alone.
"""

import asyncio
import json
import tempfile
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from pathlib import Path

import grpc

from bramleybend.clients.log_service import TERMS_STREAM
from bramleybend.clients.vm_list import ENTRY_SERVICE
from bramleybend.models import RunnerState, Vm
from bramleybend.wire.bramleybend_pb2 import StatusRequest
from bramleybend.wire.bramleybend_pb2_grpc import ControlStub
from tests.benchmarks.capacity_processes import (
    cpu_time_ms,
    private_memory_mb,
    resident_memory_mb,
)
from tests.benchmarks.slopes import Series
from tests.utils.cluster import EXAMPLE, PLATFORM_PORT, free_prefix
from tests.utils.entry_vm import SCHEDULER, SCHEDULER_PORT, VmSettings
from tests.utils.log_service import LogService
from tests.utils.processes import Process
from tests.utils.vm_list import VmListService
from tests.utils.waiting import wait_until

SIZES = (12, 25, 50, 100)
FIRST_HOST = 11
START_BATCH = 10  # processes started before waiting for the last of them
WARM_UP_S = 30  # past the first 10 s, when listed VMs count as members too
MEASURED_S = 10
OBSERVERS = 5  # nodes polled until they report the killed one as dead
TIMEOUT_S = 60


def measure_schedulers() -> Iterator[Series]:
    """Measure CPU time, memory and detection by number of schedulers."""
    rows = [(size, *asyncio.run(_measure(size))) for size in SIZES]
    titles = (
        ('real idle schedulers: processor time of one', 'ms/s'),
        ('real idle schedulers: resident memory of one', 'MB'),
        ('real idle schedulers: private memory of one', 'MB'),
        (f'real schedulers: {OBSERVERS} others hold a killed one dead', 's'),
    )
    for column, (title, unit) in enumerate(titles, start=1):
        points = tuple((row[0], row[column]) for row in rows)
        yield Series(title, 'schedulers', unit, points, 350)


async def _measure(size: int) -> tuple[float, float, float, float]:
    async with _run_schedulers(size) as (addresses, processes):
        await asyncio.sleep(WARM_UP_S)
        pids = [process.pid for process in processes]
        before = sum(cpu_time_ms(pid) for pid in pids)
        await asyncio.sleep(MEASURED_S)
        spent = sum(cpu_time_ms(pid) for pid in pids) - before
        resident = max(resident_memory_mb(pid) for pid in pids)
        private = max(private_memory_mb(pid) for pid in pids)
        detection_s = await _measure_detection_s(addresses, processes)
        return spent / MEASURED_S / size, resident, private, detection_s


async def _measure_detection_s(
    addresses: list[str], processes: list[Process]
) -> float:
    await processes[0].kill()
    killed_at = time.monotonic()
    for address in addresses[1 : OBSERVERS + 1]:
        await wait_until(
            lambda: _has_marked_dead(address, addresses[0]),  # noqa: B023
            f'{address} reports the killed scheduler as dead',
            TIMEOUT_S,
        )
    return time.monotonic() - killed_at


async def _has_marked_dead(address: str, victim: str) -> bool:
    endpoint = f'{address}:{SCHEDULER_PORT}'
    async with grpc.aio.insecure_channel(endpoint) as channel:
        reply = await ControlStub(channel).Status(StatusRequest(), timeout=5)
    states = {
        member['address']: member['state']
        for member in json.loads(reply.json)['members']
    }
    return states.get(victim) == 'dead'


@asynccontextmanager
async def _run_schedulers(
    size: int,
) -> AsyncIterator[tuple[list[str], list[Process]]]:
    prefix = free_prefix()
    log = LogService(f'{prefix}.2', PLATFORM_PORT)
    vm_list = VmListService(f'{prefix}.3', PLATFORM_PORT)
    addresses = [f'{prefix}.{FIRST_HOST + index}' for index in range(size)]
    await log.start()
    await vm_list.start()
    vm_list.put(
        [_make_vm(address, index) for index, address in enumerate(addresses)]
    )
    log.append(TERMS_STREAM, [_make_publish_record()])
    processes: list[Process] = []
    with tempfile.TemporaryDirectory() as run_dir:
        try:
            for index, address in enumerate(addresses):
                settings = VmSettings(
                    f'entry-{index}',
                    f'domain-{index % 7}',
                    address,
                    log.url,
                    vm_list.url,
                    f'{prefix}.4:8125',
                )
                process = Process(
                    f'scheduler-{index}',
                    [SCHEDULER, *settings.flags()],
                    Path(run_dir) / f'{index}.log',
                )
                processes.append(process)
                await process.start()
                if index % START_BATCH == START_BATCH - 1:
                    await _wait_until_started(processes[-1])
            yield addresses, processes
        finally:
            for process in processes:
                await process.kill()
            await log.stop()
            await vm_list.stop()


async def _wait_until_started(process: Process) -> None:
    await wait_until(
        lambda: 'event=started' in process.log_text(),
        f'{process.name} started',
        TIMEOUT_S,
    )


def _make_vm(address: str, index: int) -> Vm:
    return Vm(
        f'entry-{index}',
        address,
        SCHEDULER_PORT,
        ENTRY_SERVICE,
        f'domain-{index % 7}',
        RunnerState.LIVE,
    )


def _make_publish_record() -> str:
    return json.dumps(
        {
            'v': 1,
            'kind': 'publish',
            'publish_id': 'capacity',
            'base': 0,
            'document': EXAMPLE.read_text(),
            'by': 'capacity',
        },
    )
