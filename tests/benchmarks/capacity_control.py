"""CPU time and memory of a scheduler's own work, by size of its input."""

import asyncio
import gc
import json
import logging
import time
import tracemalloc
from collections.abc import Callable, Iterator
from functools import partial
from random import Random

import yaml

from bramleybend.clients.http_vm_list import VmListBody
from bramleybend.clock import SystemClock
from bramleybend.decisions.actions import RunnerInfo, RunReport, ShardView
from bramleybend.decisions.ownership import rank_owners
from bramleybend.decisions.quarantine import CrashRegistry
from bramleybend.decisions.shard_policy import ShardPolicy, make_shard_policy
from bramleybend.declarations import parse_terms
from bramleybend.events import MAX_KEPT_EVENTS, EventLog
from bramleybend.gateway.view import ViewFollower
from bramleybend.identity import Identity
from bramleybend.metrics import make_metrics
from bramleybend.models import (
    RunnerState,
    Service,
    ServiceKind,
    SlotRequest,
    Tier,
    Vm,
)
from bramleybend.scheduler.shard_table import ShardSources, ShardTable
from bramleybend.scheduler.shard_task import ShardDeps
from bramleybend.scheduler.view_service import (
    make_member_record,
    make_runner_record,
    make_shard_record,
)
from bramleybend.wire.bramleybend_pb2 import ViewReply
from bramleybend.wire.channels import Channels
from bramleybend.wire.headers import Headers
from tests.benchmarks.capacity_gossip import make_members
from tests.benchmarks.slopes import Series

WORKSPACE_COUNTS = (5, 50, 500, 1500, 4300)
NODE_COUNTS = (6, 50, 100, 200, 350)
RUNNER_COUNTS = (4, 8, 16, 32)
QUEUE_LENGTH = 50
MAX_FILL_REQUESTS = 5000
EVENT_COUNTS = (2500, 5000, 10_000, 20_000)
MODEL_COUNT = 18
SHARDS_PER_MODEL = 4  # each with about 16 of a model's 67 runners
RUNNERS_PER_NODE = 1200 / 350
RUNNERS_PER_SHARD = 16
REPEATS = 5
REQUESTS = 2000


def measure_terms() -> Iterator[Series]:
    """Measure the terms document, which is published and fetched whole."""
    sizes, parse_times, retained_memory, peak_memory = [], [], [], []
    for count in WORKSPACE_COUNTS:
        text = _make_document(count)
        sizes.append((count, len(text) / 1024))
        parse_times.append((count, _min_cpu_ms(partial(parse_terms, text, 1))))
        retained_kb, peak_kb = _measure_parse_memory_kb(text)
        retained_memory.append((count, retained_kb))
        peak_memory.append((count, peak_kb))
    for title, unit, points in (
        ('terms: the document', 'KB', sizes),
        ('terms: parse and validate', 'ms', parse_times),
        (
            'terms: memory of the text and the parsed terms',
            'KB',
            retained_memory,
        ),
        ('terms: most memory during a parse', 'KB', peak_memory),
    ):
        yield Series(title, 'workspaces', unit, tuple(points), 4300)


def _make_document(workspaces: int) -> str:
    services = {
        f'model-{index}': {
            'kind': 'engine',
            'slots': 8,
            'shards': SHARDS_PER_MODEL,
        }
        for index in range(MODEL_COUNT)
    }
    profiles = {
        f'model-{index}-tier-{tier}': {
            'service': f'model-{index}',
            'tier': tier,
            'repeat': 'at_most_once',
            'journal': 'behind',
            'timeout_s': 300,
        }
        for index in range(MODEL_COUNT)
        for tier in range(1, 5)
    }
    profile_names = list(profiles)
    rng = Random(1)
    declaration = {
        'schema': 1,
        'institution': 'parwaz',
        'services': services,
        'profiles': profiles,
        'workspaces': {
            f'workspace-{index}': {
                'weight': 1,
                'profiles': rng.sample(profile_names, 3),
            }
            for index in range(workspaces)
        },
    }
    return yaml.safe_dump(declaration, sort_keys=False)


def _measure_parse_memory_kb(text: str) -> tuple[float, float]:
    """Return the memory kept after a parse, and the peak during it."""
    tracemalloc.start()
    parsed_terms = parse_terms(text, 1).unwrap()
    _, peak_bytes = tracemalloc.get_traced_memory()
    gc.collect()
    retained_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert parsed_terms.services
    return (retained_bytes + len(text)) / 1024, peak_bytes / 1024


def measure_events() -> Iterator[Series]:
    """Measure the events that a process keeps to explain requests."""
    points = tuple((count, _measure_events_mb(count)) for count in EVENT_COUNTS)
    yield Series('events kept: memory', 'events', 'MB', points, MAX_KEPT_EVENTS)


def _measure_events_mb(count: int) -> float:
    log = EventLog('gateway', 'a' * 16, SystemClock())
    logging.disable(logging.CRITICAL)
    tracemalloc.start()
    for index in range(count):
        log.record(
            'granted',
            req=f'10.0.0.1:7001:{"a" * 16}:0i/{index:032x}',
            tier=3,
            service='model-1',
            runner='runner-domain-1-123',
        )
    retained_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    logging.disable(logging.NOTSET)
    return retained_bytes / 1024 / 1024


def measure_ownership() -> Iterator[Series]:
    """Measure ranking 72 shards, with and without a change of members."""
    rank_times, refresh_times, change_times = [], [], []
    for nodes in NODE_COUNTS:
        members = tuple(make_members(nodes))
        rank_times.append(
            (nodes, _min_cpu_ms(partial(rank_owners, 'model-1', 1, members))),
        )
        table = asyncio.run(_make_shard_table(nodes))
        change_times.append((nodes, _min_cpu_ms(table.update, repeats=1)))
        refresh_times.append((nodes, 2 * _min_cpu_ms(table.update)))
    yield Series(
        'ownership: rank one shard', 'nodes', 'ms', tuple(rank_times), 350
    )
    title = 'ownership: one look at 72 shards after a change of members'
    yield Series(title, 'nodes', 'ms', tuple(change_times), 350)
    title = 'ownership: 72 shards looked at twice a second, no change'
    yield Series(title, 'nodes', 'ms/s', tuple(refresh_times), 350)


async def _make_shard_table(nodes: int) -> ShardTable:
    terms = parse_terms(_make_document(5), 1).unwrap()
    members = tuple(make_members(nodes))
    runners = _make_runners(nodes)
    clock = SystemClock()
    return ShardTable(
        ShardSources(
            lambda: terms,
            lambda: runners,
            lambda: members,
            'nobody',
        ),
        ShardDeps(
            clock,
            EventLog('scheduler', 'a', clock),
            make_metrics(None, 'a'),
            CrashRegistry(),
        ),
        Random(1),
    )


def _make_runners(nodes: int) -> tuple[Vm, ...]:
    return tuple(
        Vm(
            f'runner-domain-{index % 7}-{index}',
            f'10.1.{index // 250}.{index % 250 + 1}',
            9000,
            f'model-{index % MODEL_COUNT}',
            f'domain-{index % 7}',
            RunnerState.LIVE,
        )
        for index in range(int(nodes * RUNNERS_PER_NODE))
    )


def measure_views() -> Iterator[Series]:
    """Measure the view that a gateway gets from its scheduler every 0.4 s."""
    sizes, build_times, apply_times = [], [], []
    for nodes in NODE_COUNTS:
        text = _make_view(nodes).SerializeToString()
        follower = _make_follower()
        sizes.append((nodes, len(text) / 1024))
        build_times.append(
            (nodes, _min_cpu_ms(partial(_encode_view, nodes))),
        )
        apply_times.append(
            (
                nodes,
                _min_cpu_ms(
                    partial(_apply_view, follower, text),
                ),
            ),
        )
    for title, unit, points in (
        ('view: one reply', 'KB', sizes),
        ('view: build one, scheduler', 'ms', build_times),
        ('view: take one in, gateway', 'ms', apply_times),
    ):
        yield Series(title, 'nodes', unit, tuple(points), 350)


def _make_view(nodes: int) -> ViewReply:
    shards = [
        ShardView(
            f'model-{index % MODEL_COUNT}', index // MODEL_COUNT, 10, 5, 128, 0
        )
        for index in range(MODEL_COUNT * SHARDS_PER_MODEL)
    ]
    return ViewReply(
        version=1,
        members=[make_member_record(each) for each in make_members(nodes)],
        runners=[make_runner_record(vm) for vm in _make_runners(nodes)],
        shards=[make_shard_record(each) for each in shards],
    )


def _encode_view(nodes: int) -> bytes:
    return _make_view(nodes).SerializeToString()


def _apply_view(follower: ViewFollower, text: bytes) -> None:
    follower._apply_reply(ViewReply.FromString(text), None, 0)


def _make_follower() -> ViewFollower:
    clock = SystemClock()
    own = Identity('a', 'walton', '10.0.0.1', 'a')
    events = EventLog('gateway', 'a', clock)
    return ViewFollower(
        Headers(own, events, lambda: 0),
        own.address,
        1,
        Channels(),
        clock,
        events,
    )


def measure_vm_list() -> Iterator[Series]:
    """Measure the VM list, which each scheduler reads whole every second."""
    sizes, parse_times = [], []
    for nodes in NODE_COUNTS:
        vms = [
            {
                'name': vm.name,
                'address': vm.address,
                'port': vm.port,
                'service': vm.service,
                'domain': vm.domain,
                'state': vm.state,
            }
            for vm in _make_runners(nodes + int(nodes / RUNNERS_PER_NODE))
        ]
        text = json.dumps({'vms': vms}).encode()
        sizes.append((nodes, len(text) / 1024))
        parse_times.append(
            (
                nodes,
                _min_cpu_ms(partial(VmListBody.model_validate_json, text)),
            ),
        )
    yield Series('VM list: the body', 'nodes', 'KB', tuple(sizes), 350)
    yield Series('VM list: parse', 'nodes', 'ms', tuple(parse_times), 350)


def measure_policy() -> Iterator[Series]:
    """Measure the ask, first token and end of a request at a shard owner."""
    points = tuple((count, measure_policy_ms(count)) for count in RUNNER_COUNTS)
    title = f'queue policy: one request, about {QUEUE_LENGTH} waiting'
    yield Series(title, 'runners of the shard', 'ms', points, RUNNERS_PER_SHARD)


def measure_policy_ms(runners: int) -> float:
    service = Service('model-1', ServiceKind.ENGINE, slots=8)
    shard = make_shard_policy(service, Random(1))
    infos = [RunnerInfo(f'runner-{index}') for index in range(runners)]
    shard.update_runners(infos, -1000)
    now = float(0)
    running: list[str] = []
    request_count = 0
    while shard.load().waiting < QUEUE_LENGTH:
        request_count += 1
        now += 0.001
        running.extend(_ask(shard, request_count, now))
        if request_count > MAX_FILL_REQUESTS:
            raise RuntimeError(
                f'queue did not reach {QUEUE_LENGTH} waiting requests'
            )
    started = time.process_time()
    for index in range(request_count, request_count + REQUESTS):
        now += 0.01
        running.extend(_ask(shard, index, now))
        request_id = running.pop(0)
        shard.record_first_token(request_id, 500, 0, now)
        report = RunReport(
            'done',
            prompt_tokens=500,
            completion_tokens=200,
            seconds=6,
        )
        ended = shard.end_run(request_id, report, now)
        running.extend(
            action.request_id for action in ended if hasattr(action, 'runner')
        )
        shard.next_wake(now)
    return 1000 * (time.process_time() - started) / REQUESTS


def _ask(shard: ShardPolicy, index: int, now: float) -> list[str]:
    ask = SlotRequest(
        request_id=f'request-{index}',
        service='model-1',
        tier=Tier(index % 4 + 1),
        workspace=f'workspace-{index % 40}',
        cost=1000,
        prompt_tokens=500,
        prefixes=tuple(f'{index % 40}-{part}' for part in range(4)),
        deadline=now + 10_000,
        cancellable=False,
    )
    return [
        action.request_id
        for action in shard.request_slot(ask, now)
        if hasattr(action, 'runner')
    ]


def _min_cpu_ms(
    function: Callable[[], object], repeats: int = REPEATS
) -> float:
    """Return the minimum CPU time of several calls, in milliseconds."""
    times = []
    for _ in range(repeats):
        started = time.process_time()
        function()
        times.append(time.process_time() - started)
    return 1000 * min(times)
