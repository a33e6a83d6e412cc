"""What a scheduler's own work costs, by the size of what it works on."""

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
from bramleybend.decisions.owner import ShardPolicy, make_shard_policy
from bramleybend.decisions.ownership import owners_of
from bramleybend.decisions.quarantine import CrashBook
from bramleybend.declarations import parse_terms
from bramleybend.events import KEPT_EVENTS, EventLog
from bramleybend.gateway.view import ViewFollower
from bramleybend.identity import Identity
from bramleybend.metrics import make_metrics
from bramleybend.models import (
    Ask,
    RunnerState,
    Service,
    ServiceKind,
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

WORKSPACES = (5, 50, 500, 1500, 4300)
NODES = (6, 50, 100, 200, 350)
POOLS = (4, 8, 16, 32)
DEPTH = 50
MOST_ASKED = 5000
EVENTS = (2500, 5000, 10_000, 20_000)
MODELS = 18
SHARDS = 4  # of a model's 67 runners: about 16 each
RUNNERS_A_NODE = 1200 / 350
RUNNERS_A_SHARD = 16
REPEATS = 5
REQUESTS = 2000


def terms() -> Iterator[Series]:
    """The whole document, as it is published and fetched today."""
    sizes, parse, memory, peaks = [], [], [], []
    for count in WORKSPACES:
        text = _document(count)
        sizes.append((count, len(text) / 1024))
        parse.append((count, _spent(partial(parse_terms, text, 1))))
        held, peak = _memory_kb(text)
        memory.append((count, held))
        peaks.append((count, peak))
    for title, unit, points in (
        ('terms: the document', 'KB', sizes),
        ('terms: parse and validate', 'ms', parse),
        ('terms: memory of the text and the parsed terms', 'KB', memory),
        ('terms: most memory during a parse', 'KB', peaks),
    ):
        yield Series(title, 'workspaces', unit, tuple(points), 4300)


def _document(workspaces: int) -> str:
    services = {
        f'model-{idx}': {'kind': 'engine', 'slots': 8, 'shards': SHARDS}
        for idx in range(MODELS)
    }
    profiles = {
        f'model-{idx}-tier-{tier}': {
            'service': f'model-{idx}',
            'tier': tier,
            'repeat': 'at_most_once',
            'journal': 'behind',
            'timeout_s': 300,
        }
        for idx in range(MODELS)
        for tier in range(1, 5)
    }
    names = list(profiles)
    rng = Random(1)
    declared = {
        'schema': 1,
        'institution': 'parwaz',
        'services': services,
        'profiles': profiles,
        'workspaces': {
            f'workspace-{idx}': {
                'weight': 1,
                'profiles': rng.sample(names, 3),
            }
            for idx in range(workspaces)
        },
    }
    return yaml.safe_dump(declared, sort_keys=False)


def _memory_kb(text: str) -> tuple[float, float]:
    """Return what stays after a parse, and the most during it."""
    tracemalloc.start()
    kept = parse_terms(text, 1).unwrap()
    _, peak = tracemalloc.get_traced_memory()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept.services
    return (held + len(text)) / 1024, peak / 1024


def events() -> Iterator[Series]:
    """The events that a process keeps for questions about a request."""
    points = tuple((count, _events_mb(count)) for count in EVENTS)
    yield Series('events kept: memory', 'events', 'MB', points, KEPT_EVENTS)


def _events_mb(count: int) -> float:
    log = EventLog('gateway', 'a' * 16, SystemClock())
    logging.disable(logging.CRITICAL)
    tracemalloc.start()
    for idx in range(count):
        log.record(
            'granted',
            req=f'10.0.0.1:7001:{"a" * 16}:0i/{idx:032x}',
            tier=3,
            service='model-1',
            runner='runner-domain-1-123',
        )
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    logging.disable(logging.NOTSET)
    return held / 1024 / 1024


def ownership() -> Iterator[Series]:
    """Ranking 72 shards: twice a second, and when the members change."""
    rank, look, change = [], [], []
    for nodes in NODES:
        members = tuple(make_members(nodes))
        rank.append(
            (nodes, _spent(partial(owners_of, 'model-1', 1, members))),
        )
        table = asyncio.run(_table(nodes))
        change.append((nodes, _spent(table.update, repeats=1)))
        look.append((nodes, 2 * _spent(table.update)))
    yield Series('ownership: rank one shard', 'nodes', 'ms', tuple(rank), 350)
    title = 'ownership: one look at 72 shards after a change of members'
    yield Series(title, 'nodes', 'ms', tuple(change), 350)
    title = 'ownership: 72 shards looked at twice a second, no change'
    yield Series(title, 'nodes', 'ms/s', tuple(look), 350)


async def _table(nodes: int) -> ShardTable:
    found = parse_terms(_document(5), 1).unwrap()
    members = tuple(make_members(nodes))
    runners = _runners(nodes)
    clock = SystemClock()
    return ShardTable(
        ShardSources(
            lambda: found,
            lambda: runners,
            lambda: members,
            'nobody',
        ),
        ShardDeps(
            clock,
            EventLog('scheduler', 'a', clock),
            make_metrics(None, 'a'),
            CrashBook(),
        ),
        Random(1),
    )


def _runners(nodes: int) -> tuple[Vm, ...]:
    return tuple(
        Vm(
            f'runner-domain-{idx % 7}-{idx}',
            f'10.1.{idx // 250}.{idx % 250 + 1}',
            9000,
            f'model-{idx % MODELS}',
            f'domain-{idx % 7}',
            RunnerState.LIVE,
        )
        for idx in range(int(nodes * RUNNERS_A_NODE))
    )


def views() -> Iterator[Series]:
    """The view that a gateway gets from its scheduler every 0.4 s."""
    sizes, send, take = [], [], []
    for nodes in NODES:
        text = _view(nodes).SerializeToString()
        follower = _follower()
        sizes.append((nodes, len(text) / 1024))
        send.append(
            (nodes, _spent(partial(_sent_view, nodes))),
        )
        take.append(
            (
                nodes,
                _spent(
                    partial(_taken_view, follower, text),
                ),
            ),
        )
    for title, unit, points in (
        ('view: one reply', 'KB', sizes),
        ('view: build one, scheduler', 'ms', send),
        ('view: take one in, gateway', 'ms', take),
    ):
        yield Series(title, 'nodes', unit, tuple(points), 350)


def _view(nodes: int) -> ViewReply:
    shards = [
        ShardView(f'model-{idx % MODELS}', idx // MODELS, 10, 5, 128, 0)
        for idx in range(MODELS * SHARDS)
    ]
    return ViewReply(
        version=1,
        members=[make_member_record(each) for each in make_members(nodes)],
        runners=[make_runner_record(vm) for vm in _runners(nodes)],
        shards=[make_shard_record(each) for each in shards],
    )


def _sent_view(nodes: int) -> bytes:
    return _view(nodes).SerializeToString()


def _taken_view(follower: ViewFollower, text: bytes) -> None:
    follower._apply_reply(ViewReply.FromString(text), None, 0)


def _follower() -> ViewFollower:
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


def vm_list() -> Iterator[Series]:
    """The VM list, read whole by every scheduler each second."""
    sizes, parse = [], []
    for nodes in NODES:
        vms = [
            {
                'name': vm.name,
                'address': vm.address,
                'port': vm.port,
                'service': vm.service,
                'domain': vm.domain,
                'state': vm.state,
            }
            for vm in _runners(nodes + int(nodes / RUNNERS_A_NODE))
        ]
        text = json.dumps({'vms': vms}).encode()
        sizes.append((nodes, len(text) / 1024))
        parse.append(
            (
                nodes,
                _spent(partial(VmListBody.model_validate_json, text)),
            ),
        )
    yield Series('VM list: the body', 'nodes', 'KB', tuple(sizes), 350)
    yield Series('VM list: parse', 'nodes', 'ms', tuple(parse), 350)


def policy() -> Iterator[Series]:
    """Ask, first token and end of one request at one shard's owner."""
    points = tuple((count, policy_cost(count)) for count in POOLS)
    title = f'queue policy: one request, about {DEPTH} waiting'
    yield Series(title, 'runners of the shard', 'ms', points, RUNNERS_A_SHARD)


def policy_cost(runners: int) -> float:
    service = Service('model-1', ServiceKind.ENGINE, slots=8)
    shard = make_shard_policy(service, Random(1))
    names = [RunnerInfo(f'runner-{idx}') for idx in range(runners)]
    shard.runners(names, -1000)
    now = float(0)
    running: list[str] = []
    filled = 0
    while shard.load().waiting < DEPTH:
        filled += 1
        now += 0.001
        running.extend(_asked(shard, filled, now))
        if filled > MOST_ASKED:
            raise RuntimeError(f'no queue of {DEPTH} forms')
    before = time.process_time()
    for idx in range(filled, filled + REQUESTS):
        now += 0.01
        running.extend(_asked(shard, idx, now))
        request_id = running.pop(0)
        shard.first_token(request_id, 500, 0, now)
        report = RunReport(
            'done',
            prompt_tokens=500,
            completion_tokens=200,
            seconds=6,
        )
        ended = shard.ended(request_id, report, now)
        running.extend(
            act.request_id for act in ended if hasattr(act, 'runner')
        )
        shard.next_wake(now)
    return 1000 * (time.process_time() - before) / REQUESTS


def _asked(shard: ShardPolicy, idx: int, now: float) -> list[str]:
    ask = Ask(
        request_id=f'request-{idx}',
        service='model-1',
        tier=Tier(idx % 4 + 1),
        workspace=f'workspace-{idx % 40}',
        cost=1000,
        prompt_tokens=500,
        prefixes=tuple(f'{idx % 40}-{part}' for part in range(4)),
        deadline=now + 10_000,
        cancellable=False,
    )
    return [
        act.request_id for act in shard.ask(ask, now) if hasattr(act, 'runner')
    ]


def _spent(work: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the least processor time of a few runs, in milliseconds."""
    times = []
    for _ in range(repeats):
        before = time.process_time()
        work()
        times.append(time.process_time() - before)
    return 1000 * min(times)
