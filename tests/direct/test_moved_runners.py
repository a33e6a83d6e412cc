"""Runners that left their address while their entry is still listed."""

import asyncio
from collections.abc import Iterable
from itertools import count, islice

import pytest

from bramleybend.clock import SystemClock
from bramleybend.direct.catalog import Catalog
from bramleybend.direct.feed_copy import KeyedRecord, Page
from bramleybend.direct.models import DeclaredService, Manifest
from bramleybend.direct.runner_list import RunnerList
from bramleybend.events import EventLog
from bramleybend.platform.runner_entry import decode_runner
from tests.direct.cluster import ENGINE, PLAIN, Cluster, running_cluster
from tests.utils.raw_runner import (
    ReceivedRequest,
    answer_at_once,
    stream_three_events,
)

CALLS = 20
ATTEMPT_TIMEOUT_S = 10
SERVICES = {
    name: DeclaredService(name, 96, is_engine=False, event_tokens=1)
    for name in ('app', 'other')
}


async def answers_misdirected(seen: ReceivedRequest) -> None:
    """Answer 421: another process listens here than the one meant."""
    seen.writer.write(b'HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n')


async def check_served(cluster: Cluster, target: str, number: int) -> None:
    """Send one request to one of the VMs; check that it is served."""
    vm = number % len(cluster.vms)
    answer = await cluster.call(target, vm, attempt=f'a{number}')
    assert answer.status == 200


async def check_served_at_once(
    cluster: Cluster, target: str, numbers: Iterable[int]
) -> None:
    """Send several requests at once; check that they are served."""
    await asyncio.gather(
        *(check_served(cluster, target, one) for one in numbers)
    )


@pytest.mark.parametrize('vms', [1, 2])
@pytest.mark.parametrize(
    ('service', 'target'), [(ENGINE, '/draft/x'), (PLAIN, '/book/x')]
)
async def test_a_runner_that_left_its_address_gets_no_further_requests(
    service: str, target: str, vms: int
) -> None:
    """A runner that refuses at once always looks free to the queue."""
    async with running_cluster(vms) as cluster:
        moved_runner = await cluster.add_runner(
            'left', service, answers_misdirected
        )
        for number in range(2):
            behave = (
                stream_three_events if service == ENGINE else answer_at_once
            )
            await cluster.add_runner(f'r{number}', service, behave)
        await cluster.wait_for_runners(service, 3)
        numbers = count()
        async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
            while not moved_runner.seen:
                await check_served_at_once(
                    cluster, target, islice(numbers, CALLS)
                )
        seen_before = len(moved_runner.seen)
        for number in islice(numbers, CALLS):
            await check_served(cluster, target, number)
        # Each other VM may send it one request before it learns this itself.
        assert len(moved_runner.seen) - seen_before <= vms - 1


def entry(address: str, born: int, service: str = 'app') -> bytes:
    """Return the entry of a runner."""
    return (
        f'{{"service":"{service}","addr":"{address}","zone":"a","slots":4,'
        f'"state":"ready","born":{born},"seq":1}}'
    ).encode()


def record(key: str, content: bytes) -> KeyedRecord:
    """Return one record of the runner list."""
    return KeyedRecord(1, key, content)


def make_catalog() -> Catalog:
    """Return a catalog whose manifest declares the services."""
    clock = SystemClock()
    catalog = Catalog(clock, EventLog('vm', 'i', clock, 0))
    catalog.apply_manifest(Manifest(1, {}, SERVICES, {}, requires_key=False))
    return catalog


def used_runners(*records: KeyedRecord) -> set[str]:
    """Return the names of the runners that are used after a page."""
    catalog = make_catalog()
    clock = SystemClock()
    runners = RunnerList(catalog, decode_runner, EventLog('vm', 'i', clock, 0))
    runners.note_confirmed(clock.monotonic())
    runners.apply_page(Page(records, 2, is_snapshot=True))
    return {
        one.name
        for entries in catalog.runners_by_service.values()
        for one in entries
    }


@pytest.mark.parametrize('service', ['app', 'other'])
def test_of_two_runners_at_an_address_the_later_start_is_used(
    service: str,
) -> None:
    """A crashed runner's entry may be listed beside its successor's."""
    older = record('old', entry('10.0.0.1:80', 1000))
    newer = record('new', entry('10.0.0.1:80', 2000, service))
    beside = record('beside', entry('10.0.0.1:81', 500))
    assert used_runners(older, newer, beside) == {'new', 'beside'}
    assert used_runners(newer, older, beside) == {'new', 'beside'}


def test_an_entry_without_a_known_service_or_start_replaces_no_other() -> None:
    """Such an entry may come from another writer, with a guessed start."""
    runner = record('r', entry('10.0.0.1:80', 1000))
    assert 'r' in used_runners(
        runner, record('x', entry('10.0.0.1:80', 2000, 'unnamed'))
    )
    assert 'r' in used_runners(runner, record('x', entry('10.0.0.1:80', 0)))
