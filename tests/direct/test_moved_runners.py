"""Runners that are gone from their address while their entry still stands."""

import asyncio
from collections.abc import Iterable
from itertools import count, islice

import pytest

from bramleybend.clock import SystemClock
from bramleybend.direct.book import Book
from bramleybend.direct.feed_copy import KeyedRecord, Page
from bramleybend.direct.models import Manifest, ServiceFacts
from bramleybend.direct.runner_list import RunnerList
from bramleybend.events import EventLog
from bramleybend.platform.runner_entry import decode_runner
from tests.direct.world import ENGINE, PLAIN, World, playing
from tests.utils.raw_runner import Seen, answers, streams

CALLS = 20
TRIED_S = 10
SERVICES = {
    name: ServiceFacts(name, 96, is_engine=False, event_tokens=1)
    for name in ('app', 'other')
}


async def moved(seen: Seen) -> None:
    """Say that another process answers here than the one that was asked."""
    seen.writer.write(b'HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n')


async def served(world: World, target: str, number: int) -> None:
    """Send one request to the VMs in turn; it is served."""
    vm = number % len(world.vms)
    answer = await world.call(target, vm, attempt=f'a{number}')
    assert answer.status == 200


async def served_at_once(
    world: World, target: str, numbers: Iterable[int]
) -> None:
    """Send more requests than one runner has slots for."""
    await asyncio.gather(*(served(world, target, one) for one in numbers))


@pytest.mark.parametrize('vms', [1, 2])
@pytest.mark.parametrize(
    ('service', 'target'), [(ENGINE, '/draft/x'), (PLAIN, '/book/x')]
)
async def test_a_runner_that_left_its_address_draws_no_further_requests(
    service: str, target: str, vms: int
) -> None:
    """It refuses at once, so to the queue it would be the one that is free."""
    async with playing(vms) as world:
        left = await world.add_runner('left', service, moved)
        for number in range(2):
            behave = streams if service == ENGINE else answers
            await world.add_runner(f'r{number}', service, behave)
        await world.knows(service, 3)
        numbers = count()
        async with asyncio.timeout(TRIED_S):
            while not left.seen:
                await served_at_once(world, target, islice(numbers, CALLS))
        told = len(left.seen)
        for number in islice(numbers, CALLS):
            await served(world, target, number)
        # A VM that it has not told yet asks once.
        assert len(left.seen) - told <= vms - 1


def entry(address: str, born: int, service: str = 'app') -> bytes:
    """Return what a runner wrote of itself."""
    return (
        f'{{"service":"{service}","addr":"{address}","zone":"a","slots":4,'
        f'"state":"ready","born":{born},"seq":1}}'
    ).encode()


def record(key: str, content: bytes) -> KeyedRecord:
    """Return one record of the list."""
    return KeyedRecord(1, key, content)


def a_book() -> Book:
    """Return a book with a manifest that names the services."""
    clock = SystemClock()
    book = Book(clock, EventLog('vm', 'i', clock, 0))
    book.apply_manifest(Manifest(1, {}, SERVICES, {}, keyed=False))
    return book


def names_known(*records: KeyedRecord) -> set[str]:
    """Return which runners are used after a page."""
    book = a_book()
    clock = SystemClock()
    runners = RunnerList(book, decode_runner, EventLog('vm', 'i', clock, 0))
    runners.confirmed(clock.monotonic())
    runners.take(Page(records, 2, whole=True))
    return {one.name for entries in book.runners.values() for one in entries}


@pytest.mark.parametrize('service', ['app', 'other'])
def test_of_two_runners_at_an_address_the_later_start_is_used(
    service: str,
) -> None:
    """The entry of a crashed runner stands beside its successor's."""
    older = record('old', entry('10.0.0.1:80', 1000))
    newer = record('new', entry('10.0.0.1:80', 2000, service))
    beside = record('beside', entry('10.0.0.1:81', 500))
    assert names_known(older, newer, beside) == {'new', 'beside'}
    assert names_known(newer, older, beside) == {'new', 'beside'}


def test_an_entry_that_names_no_service_or_start_displaces_nobody() -> None:
    """Such an entry may be another writer's, and its start a guess."""
    runner = record('r', entry('10.0.0.1:80', 1000))
    assert 'r' in names_known(
        runner, record('x', entry('10.0.0.1:80', 2000, 'unnamed'))
    )
    assert 'r' in names_known(runner, record('x', entry('10.0.0.1:80', 0)))
