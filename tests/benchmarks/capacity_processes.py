"""Real gateways and schedulers on loopback: processor time and memory.

Callers, runners and platform are stand-ins in this process; only what the
system's own processes spend is read, from /proc.
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

TICKS = os.sysconf('SC_CLK_TCK')
PAGE_KB = os.sysconf('SC_PAGE_SIZE') / 1024
CLUSTERS = (3, 6, 12, 18)  # the loopback plan has room for 20
RATES = (10, 20, 40, 80)  # requests a second, over all VMs
TOKENS = (10, 40, 80, 160)  # of one answer
TOKEN_RATE = 10
VMS = 3
WARM_S = 3
MEASURED_S = 10
MARGIN_S = 5  # the load goes on past the measurement
JOURNAL = 'journal-'


@dataclass(frozen=True)
class Usage:
    """What a group of processes used in a stretch of time."""

    gateway_ms: float = 0  # a second, over all gateways
    scheduler_ms: float = 0
    gateway_mb: float = 0  # the largest of them
    scheduler_mb: float = 0
    node_mb: float = 0  # both of a VM, without shared pages
    appends: float = 0  # a second, at the log
    log_bytes: float = 0
    done: float = 0  # requests a second
    tokens: float = 0


def idle() -> Iterator[Series]:
    """Nothing asked, by the number of entry VMs."""
    rows = [(size, asyncio.run(_idle(size))) for size in CLUSTERS]
    for title, unit, points in (
        (
            'idle gateway: processor time',
            'ms/s',
            [(size, use.gateway_ms / size) for size, use in rows],
        ),
        (
            'idle scheduler: processor time',
            'ms/s',
            [(size, use.scheduler_ms / size) for size, use in rows],
        ),
        (
            'idle gateway: memory',
            'MB',
            [(size, use.gateway_mb) for size, use in rows],
        ),
        (
            'idle scheduler: memory',
            'MB',
            [(size, use.scheduler_mb) for size, use in rows],
        ),
        (
            'idle node: memory of both that no other process shares',
            'MB',
            [(size, use.node_mb) for size, use in rows],
        ),
    ):
        yield Series(title, 'entry VMs', unit, tuple(points), 350)


async def _idle(size: int) -> Usage:
    layout = Layout(vms=size)
    with tempfile.TemporaryDirectory() as run_dir:
        async with Cluster(layout, Path(run_dir)) as cluster:
            await cluster.ready(limit_s=60)
            await asyncio.sleep(2 * WARM_S)
            return await _measured(cluster, lambda: (0, 0))


def plain() -> Iterator[Series]:
    """Short calls whose journal follows behind."""
    yield from _by_rate('availability', 'journal behind')


def before_dispatch() -> Iterator[Series]:
    """Short calls whose intent stands in the log first."""
    yield from _by_rate('slot-claim', 'journal before dispatch')


def _by_rate(profile: str, name: str) -> Iterator[Series]:
    rows = [asyncio.run(_loaded(Stream(profile, rate, 10))) for rate in RATES]
    for title, unit, points in (
        ('gateways', 'ms/s', [(use.done, use.gateway_ms) for use in rows]),
        ('schedulers', 'ms/s', [(use.done, use.scheduler_ms) for use in rows]),
        ('log appends', '1/s', [(use.done, use.appends) for use in rows]),
        ('log bytes', 'B/s', [(use.done, use.log_bytes) for use in rows]),
    ):
        yield Series(
            f'{title} of {VMS} VMs, {name}',
            'requests/s',
            unit,
            tuple(points),
            520,
        )


def streams() -> Iterator[Series]:
    """Answers that stream tokens, at one rate of requests."""
    rows = [
        asyncio.run(
            _loaded(
                Stream('debrief', TOKEN_RATE, 30, (100, 100), (tokens, tokens)),
            ),
        )
        for tokens in TOKENS
    ]
    for title, points in (
        ('gateways', [(use.tokens, use.gateway_ms) for use in rows]),
        ('schedulers', [(use.tokens, use.scheduler_ms) for use in rows]),
    ):
        yield Series(
            f'{title} of {VMS} VMs, {TOKEN_RATE} requests/s',
            'tokens/s',
            'ms/s',
            tuple(points),
            240_000,
        )


async def _loaded(stream: Stream) -> Usage:
    layout = Layout(
        vms=VMS,
        engines=(EngineConfig(decode_tps=400, slots=16),) * 4,
        plain_latencies_ms=(10, 10),
    )
    with tempfile.TemporaryDirectory() as run_dir:
        async with scenario(layout, Path(run_dir)) as scene:
            seconds = WARM_S + MEASURED_S + MARGIN_S
            async with scene.load([stream], seconds):
                await asyncio.sleep(WARM_S)
                return await _measured(
                    scene.cluster,
                    lambda: _served(scene, stream),
                )


def _served(scene: Scenario, stream: Stream) -> tuple[float, float]:
    done = scene.count(Outcome.DONE)
    return done, done * stream.max_tokens[0]


async def _measured(
    cluster: Cluster,
    served: Callable[[], tuple[float, float]],
) -> Usage:
    """Read every counter, wait, and read them again."""
    gateways = [vm.gateway.pid for vm in cluster.vms]
    schedulers = [vm.scheduler.pid for vm in cluster.vms]
    before = _counters(cluster, gateways, schedulers, served)
    await asyncio.sleep(MEASURED_S)
    after = _counters(cluster, gateways, schedulers, served)
    rates = [
        (late - early) / MEASURED_S
        for early, late in zip(before, after, strict=True)
    ]
    return Usage(
        gateway_ms=rates[0],
        scheduler_ms=rates[1],
        appends=rates[2],
        log_bytes=rates[3],
        done=rates[4],
        tokens=rates[5],
        gateway_mb=max(memory_mb(pid) for pid in gateways),
        scheduler_mb=max(memory_mb(pid) for pid in schedulers),
        node_mb=max(
            private_mb(gateway) + private_mb(scheduler)
            for gateway, scheduler in zip(gateways, schedulers, strict=True)
        ),
    )


def _counters(
    cluster: Cluster,
    gateways: list[int],
    schedulers: list[int],
    served: Callable[[], tuple[float, float]],
) -> tuple[float, ...]:
    written = sum(
        len(record)
        for name in cluster.log.stream_names
        if name.startswith(JOURNAL)
        for record in cluster.log.records(name)
    )
    return (
        sum(spent_ms(pid) for pid in gateways),
        sum(spent_ms(pid) for pid in schedulers),
        cluster.log.appends,
        written,
        *served(),
    )


def spent_ms(pid: int) -> float:
    stat = Path(f'/proc/{pid}/stat').read_text()
    # Fields 14 and 15, counted after the name, which may hold spaces.
    fields = stat.rpartition(')')[2].split()
    return 1000 * (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(pid: int) -> float:
    statm = Path(f'/proc/{pid}/statm').read_text().split()
    return int(statm[1]) * PAGE_KB / 1024


def private_mb(pid: int) -> float:
    """Return what the process alone holds, without shared libraries."""
    lines = Path(f'/proc/{pid}/smaps_rollup').read_text().splitlines()
    return sum(
        int(line.split()[1]) / 1024
        for line in lines
        if line.startswith('Private_')
    )
