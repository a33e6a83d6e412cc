"""CPU time and memory of real gateways and schedulers on loopback.

Callers, runners and platform are fakes in this process; /proc is read for the
system's own processes only.
"""

import asyncio
import os
import tempfile
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from bramleybend.answers import Outcome
from tests.benchmarks.slopes import Series
from tests.utils.cluster import Cluster, Layout
from tests.utils.engine import EngineConfig
from tests.utils.load import Stream
from tests.utils.scenario import Scenario, scenario

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_KB = os.sysconf('SC_PAGE_SIZE') / 1024
CLUSTER_SIZES = (3, 6, 12, 18)  # the loopback addresses suffice for 20
REQUEST_RATES = (10, 20, 40, 80)  # requests a second, over all VMs
COMPLETION_TOKENS = (10, 40, 80, 160)  # per answer
STREAM_REQUEST_RATE = 10
VM_COUNT = 3
WARM_UP_S = 3
MEASURED_S = 10
LOAD_MARGIN_S = 5  # of load after the measurement
JOURNAL_PREFIX = 'journal-'


@dataclass(frozen=True)
class Usage:
    """Resources that the processes used during a measurement."""

    gateway_ms: float = 0  # CPU time a second, sum of all gateways
    scheduler_ms: float = 0  # likewise of all schedulers
    gateway_mb: float = 0  # resident, of the largest gateway
    scheduler_mb: float = 0  # likewise of the largest scheduler
    node_mb: float = 0  # private, of a VM's gateway and scheduler; the largest
    log_appends: float = 0  # a second, at the log service
    log_bytes: float = 0  # a second, of journal records
    done_requests: float = 0  # a second
    streamed_tokens: float = 0  # a second


def measure_idle() -> Iterator[Series]:
    """Measure idle processes, by the number of entry VMs."""
    rows = [(size, asyncio.run(_measure_idle(size))) for size in CLUSTER_SIZES]
    for title, unit, points in (
        (
            'idle gateway: processor time',
            'ms/s',
            [(size, usage.gateway_ms / size) for size, usage in rows],
        ),
        (
            'idle scheduler: processor time',
            'ms/s',
            [(size, usage.scheduler_ms / size) for size, usage in rows],
        ),
        (
            'idle gateway: memory',
            'MB',
            [(size, usage.gateway_mb) for size, usage in rows],
        ),
        (
            'idle scheduler: memory',
            'MB',
            [(size, usage.scheduler_mb) for size, usage in rows],
        ),
        (
            'idle node: memory of both that no other process shares',
            'MB',
            [(size, usage.node_mb) for size, usage in rows],
        ),
    ):
        yield Series(title, 'entry VMs', unit, tuple(points), 350)


async def _measure_idle(size: int) -> Usage:
    layout = Layout(vms=size)
    with tempfile.TemporaryDirectory() as run_dir:
        async with Cluster(layout, Path(run_dir)) as cluster:
            await cluster.ready(limit_s=60)
            await asyncio.sleep(2 * WARM_UP_S)
            return await _measure_usage(cluster, lambda: (0, 0))


def measure_journal_behind() -> Iterator[Series]:
    """Measure short calls of a profile with `journal: behind`."""
    yield from _measure_rates('availability', 'journal behind')


def measure_journal_before_dispatch() -> Iterator[Series]:
    """Measure short calls whose intent is logged before dispatch."""
    yield from _measure_rates('slot-claim', 'journal before dispatch')


def _measure_rates(profile: str, name: str) -> Iterator[Series]:
    rows = [
        asyncio.run(_measure_load(Stream(profile, rate, 10)))
        for rate in REQUEST_RATES
    ]
    for title, unit, points in (
        (
            'gateways',
            'ms/s',
            [(usage.done_requests, usage.gateway_ms) for usage in rows],
        ),
        (
            'schedulers',
            'ms/s',
            [(usage.done_requests, usage.scheduler_ms) for usage in rows],
        ),
        (
            'log appends',
            '1/s',
            [(usage.done_requests, usage.log_appends) for usage in rows],
        ),
        (
            'log bytes',
            'B/s',
            [(usage.done_requests, usage.log_bytes) for usage in rows],
        ),
    ):
        yield Series(
            f'{title} of {VM_COUNT} VMs, {name}',
            'requests/s',
            unit,
            tuple(points),
            520,
        )


def measure_streams() -> Iterator[Series]:
    """Measure streamed answers of several lengths at one request rate."""
    rows = [
        asyncio.run(
            _measure_load(
                Stream(
                    'debrief',
                    STREAM_REQUEST_RATE,
                    30,
                    (100, 100),
                    (tokens, tokens),
                ),
            ),
        )
        for tokens in COMPLETION_TOKENS
    ]
    for title, points in (
        (
            'gateways',
            [(usage.streamed_tokens, usage.gateway_ms) for usage in rows],
        ),
        (
            'schedulers',
            [(usage.streamed_tokens, usage.scheduler_ms) for usage in rows],
        ),
    ):
        yield Series(
            f'{title} of {VM_COUNT} VMs, {STREAM_REQUEST_RATE} requests/s',
            'tokens/s',
            'ms/s',
            tuple(points),
            240_000,
        )


async def _measure_load(stream: Stream) -> Usage:
    layout = Layout(
        vms=VM_COUNT,
        engines=(EngineConfig(decode_tps=400, slots=16),) * 4,
        plain_latencies_ms=(10, 10),
    )
    with tempfile.TemporaryDirectory() as run_dir:
        async with scenario(layout, Path(run_dir)) as scene:
            seconds = WARM_UP_S + MEASURED_S + LOAD_MARGIN_S
            async with scene.load([stream], seconds):
                await asyncio.sleep(WARM_UP_S)
                return await _measure_usage(
                    scene.cluster,
                    lambda: _count_served(scene, stream),
                )


def _count_served(scene: Scenario, stream: Stream) -> tuple[float, float]:
    done_requests = scene.count(Outcome.DONE)
    return done_requests, done_requests * stream.max_tokens[0]


async def _measure_usage(
    cluster: Cluster,
    count_served: Callable[[], tuple[float, float]],
) -> Usage:
    """Read all counters before and after the measurement period."""
    gateways = [vm.gateway.pid for vm in cluster.vms]
    schedulers = [vm.scheduler.pid for vm in cluster.vms]
    before = _read_counters(cluster, gateways, schedulers, count_served)
    await asyncio.sleep(MEASURED_S)
    after = _read_counters(cluster, gateways, schedulers, count_served)
    rates = [
        (end - start) / MEASURED_S
        for start, end in zip(before, after, strict=True)
    ]
    return Usage(
        gateway_ms=rates[0],
        scheduler_ms=rates[1],
        log_appends=rates[2],
        log_bytes=rates[3],
        done_requests=rates[4],
        streamed_tokens=rates[5],
        gateway_mb=max(resident_memory_mb(pid) for pid in gateways),
        scheduler_mb=max(resident_memory_mb(pid) for pid in schedulers),
        node_mb=max(
            private_memory_mb(gateway) + private_memory_mb(scheduler)
            for gateway, scheduler in zip(gateways, schedulers, strict=True)
        ),
    )


def _read_counters(
    cluster: Cluster,
    gateways: list[int],
    schedulers: list[int],
    count_served: Callable[[], tuple[float, float]],
) -> tuple[float, ...]:
    written = sum(
        len(record)
        for name in cluster.log.stream_names
        if name.startswith(JOURNAL_PREFIX)
        for record in cluster.log.records(name)
    )
    return (
        sum(cpu_time_ms(pid) for pid in gateways),
        sum(cpu_time_ms(pid) for pid in schedulers),
        cluster.log.appends,
        written,
        *count_served(),
    )


def cpu_time_ms(pid: int) -> float:
    stat = Path(f'/proc/{pid}/stat').read_text()
    # Fields 14 and 15 are user and system time. Fields are counted from after
    # the process name, which may contain spaces.
    fields = stat.rpartition(')')[2].split()
    return 1000 * (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_memory_mb(pid: int) -> float:
    statm = Path(f'/proc/{pid}/statm').read_text().split()
    return int(statm[1]) * PAGE_KB / 1024


def private_memory_mb(pid: int) -> float:
    """Return the memory of pages that no other process shares."""
    lines = Path(f'/proc/{pid}/smaps_rollup').read_text().splitlines()
    return sum(
        int(line.split()[1]) / 1024
        for line in lines
        if line.startswith('Private_')
    )
