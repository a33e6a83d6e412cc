"""Manifests, runner entries, log pages, and which VMs read them."""

import asyncio
import json
from random import Random

import pytest
from result import Err, Ok, Result

from bramleybend.clock import ManualClock, SystemClock
from bramleybend.direct.catalog import Catalog
from bramleybend.direct.feed import Feed, FeedSettings
from bramleybend.direct.feed_copy import FeedCopy, KeyedRecord, Page
from bramleybend.direct.heartbeat_messages import FeedStatus
from bramleybend.direct.list_age import MAX_LIST_AGE_S
from bramleybend.direct.members import (
    HEARTBEAT_INTERVAL_S,
    Member,
    Members,
    OwnVm,
)
from bramleybend.direct.models import RunnerState
from bramleybend.direct.runner_list import RunnerList
from bramleybend.errors import ErrorKind, Problem
from bramleybend.events import EventLog
from bramleybend.models import Idempotency, Tier
from bramleybend.platform.feeds import RUNNER_FEED, RUNNER_POLL_INTERVAL_S
from bramleybend.platform.manifest import decode_manifest
from bramleybend.platform.record_format import pack_page, unpack_page
from bramleybend.platform.runner_entry import decode_runner
from bramleybend.platform.store_client import READ_TIMEOUT_S, StoreClient
from tests.direct.cluster import HOST, manifest, route
from tests.utils.platform_store import PlatformStore
from tests.utils.start_times import START
from tests.utils.waiting import wait_until

ENTRY = {
    'service': 'app',
    'addr': '10.0.0.1:80',
    'state': 'ready',
    'slots': 4,
    'zone': 'walton',
}


def record(offset: int, key: str, content: object = '') -> KeyedRecord:
    """Return a record; one without content deletes the key."""
    text = json.dumps(content).encode() if content else b''
    return KeyedRecord(offset, key, text)


def page(*records: KeyedRecord, whole: bool = False) -> Page:
    """Return a page that ends with its last record."""
    return Page(records, records[-1].offset + 1 if records else 0, whole)


def test_the_longest_prefix_of_the_host_decides() -> None:
    """The longest matching prefix of the request's host decides."""
    declared = manifest(
        routes=[
            route('/a/', 'idempotent', 'short'),
            route('/a/b/', 'non_idempotent', 'long'),
        ]
    )
    found = decode_manifest(json.dumps(declared).encode()).unwrap()
    long_route = found.find_route(HOST, '/a/b/c')
    short_route = found.find_route(HOST, '/a/bc')
    assert long_route is not None
    assert short_route is not None
    assert (long_route.repeat, short_route.repeat) == (
        Idempotency.NON_IDEMPOTENT,
        Idempotency.IDEMPOTENT,
    )
    assert long_route.tier is Tier.HIGH
    assert found.find_route('other.example', '/a/b/c') is None
    assert found.find_route(HOST, '/ab') is None


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b'[]',
        b'{"version":"x"}',
        b'{"version":1,"routes":[{}]}',
        json.dumps(manifest(routes=[route('/a/', 'odd', 's')])).encode(),
    ],
)
def test_a_manifest_is_applied_whole_or_not_at_all(text: bytes) -> None:
    """The error states the fault and what to do."""
    refused = decode_manifest(text)
    assert isinstance(refused, Err)
    assert 'last good one' in str(refused.err_value)


@pytest.mark.parametrize(
    'changed',
    [
        {'addr': 'nowhere'},
        {'addr': '10.0.0.1:0'},
        {'addr': 5},
        {'state': 'dreaming'},
        {'service': None},
        {'slots': 0},
        {'slots': '4'},
        {'born': 1.5},
    ],
)
def test_a_foreign_entry_names_no_runner(changed: dict[str, object]) -> None:
    """An entry with a field of another type or an unknown state is rejected."""
    text = json.dumps({**ENTRY, **changed}).encode()
    assert isinstance(decode_runner('r1', text), Err)
    assert isinstance(decode_runner('r1', b'\xff\x00'), Err)


def test_a_runner_that_starts_again_under_its_name_is_another() -> None:
    """Knowledge of a runner doesn't carry over to its next start."""
    first = decode_runner('r1', json.dumps({**ENTRY, 'born': 1}).encode())
    restarted = decode_runner('r1', json.dumps({**ENTRY, 'born': 2}).encode())
    assert isinstance(first, Ok)
    assert isinstance(restarted, Ok)
    assert first.ok_value.incarnation != restarted.ok_value.incarnation
    assert first.ok_value.state is RunnerState.READY


def test_records_are_read_as_they_were_written() -> None:
    """Offsets count up from the first; an empty content deletes its key."""
    written = page(record(7, 'a', 'x'), record(8, 'b'))
    read = unpack_page(pack_page(written), 7)
    assert read == written
    assert read.records[1].is_deleted


def test_a_copy_tells_what_came_since_an_offset() -> None:
    """Changes from an offset that is no longer kept must be read as a whole."""
    copy = FeedCopy()
    assert copy.newest() is None
    copy.apply(page(record(4, 'a', 'x'), whole=True))
    copy.apply(page(record(5, 'b', 'y'), record(6, 'a')))
    since = copy.changes(6)
    assert since is not None
    assert [one.key for one in since.records] == ['a']
    assert copy.changes(2) is None
    assert copy.changes(9) is None
    newest = copy.newest()
    assert newest is not None
    assert [one.key for one in newest.records] == ['b']


def test_all_vms_agree_on_the_two_that_read() -> None:
    """All VMs compute the same ranking, so exactly two read the log."""
    names = [f'entry-{number}' for number in range(6)]
    reading = [
        name
        for name in names
        if Members(OwnVm(name, 'i', '10.0.0.1', '')).is_among_first(
            'feed', {other: True for other in names if other != name}, 2
        )
    ]
    assert len(reading) == 2


def test_a_silent_vm_owns_nothing() -> None:
    """Another VM becomes owner once a heartbeat was missed."""
    members = Members(OwnVm('entry-1', 'i', '10.0.0.1', ''))
    for number in range(2, 7):
        name = f'entry-{number}'
        members.update(Member(name, 'i', '10.0.0.2', '', True, False, 100, 0))
    owner = members.owner('service', 100.1, can_own=False)
    assert owner is not None
    assert members.owner('service', 102, can_own=True) is None


async def test_a_lapse_without_an_outage_counts_at_once() -> None:
    """A runner whose entry ends without an outage is gone at once."""
    clock = ManualClock(START)
    catalog = Catalog(clock, EventLog('vm', 'i', clock, max_kept_events=0))
    runners = RunnerList(catalog, decode_runner, EventLog('vm', 'i', clock, 0))
    runners.apply_page(page(record(0, 'r1', ENTRY), whole=True))
    assert [one.name for one in catalog.runners_by_service['app']] == ['r1']
    clock.advance(0.7)
    runners.note_confirmed(catalog.now())
    clock.advance(0.7)
    runners.apply_page(page(record(1, 'r1')))
    assert not catalog.runners_by_service.get('app')


async def test_pages_are_put_together_and_read_on_from_the_first() -> None:
    """Changes made while the pages are read are not missed."""
    store = PlatformStore('127.0.0.1')
    store.page_size = 2
    await store.server.start()
    for number in range(5):
        store.put('t', f'k{number}', number)
    client = StoreClient('127.0.0.1', store.server.port, SystemClock())
    whole = (await client.fetch_newest('t')).unwrap()
    assert [one.key for one in whole.records] == [
        f'k{number}' for number in range(5)
    ]
    assert whole.end == 5
    store.topic('t').first = 3
    assert (await client.fetch_changes('t', 1, 0)).unwrap().is_snapshot
    client.close()
    await store.server.stop()


async def test_a_store_that_falls_silent_is_given_up() -> None:
    """A call to a silent store ends with an error after about a second.

    The connection stays open and nothing arrives, so nothing else would ever
    end the call.
    """
    store = PlatformStore('127.0.0.1')
    await store.server.start()
    client = StoreClient('127.0.0.1', store.server.port, SystemClock())
    (await client.fetch_newest('t')).unwrap()
    store.silent = True
    refused = await client.fetch_newest('t')
    assert isinstance(refused, Err)
    assert 'stays in force' in str(refused.err_value)
    store.silent = False
    (await client.fetch_newest('t')).unwrap()
    client.close()
    await store.server.stop()


def test_random_bytes_are_no_page() -> None:
    """A truncated page is an error or a shorter page."""
    rng = Random(3)
    packed = pack_page(page(record(0, 'key', 'x' * 50), record(1, 'b', 'y')))
    for _ in range(50):
        cut = packed[: rng.randrange(len(packed))]
        try:
            unpack_page(cut, 0)
        except Exception as exc:  # noqa: BLE001
            assert type(exc).__name__ in {'error', 'UnicodeDecodeError'}


class _IdleSource:
    """A log without records, whose reads last for their whole wait."""

    async def fetch_newest(self, name: str) -> Result[Page, Problem]:
        """Return an empty page."""
        return Ok(page(whole=True))

    async def fetch_changes(
        self, name: str, start: int, wait_s: float
    ) -> Result[Page, Problem]:
        """Return no records after the wait."""
        await asyncio.sleep(wait_s)
        return Ok(Page((), start, is_snapshot=False))


async def test_a_copy_is_no_older_than_its_long_poll() -> None:
    """A VM that hears of a reader's progress need not read the store.

    A reader polls the store for the next record again and again. An empty
    answer states that there was none until the end of the wait. If it were
    dated to its start, the copy would look up to two waits old.
    """
    wait_s = 0.2
    clock = SystemClock()
    source = _IdleSource()
    feed = Feed(
        FeedSettings('t', wait_s, 0, 2.2),
        source,
        lambda _: source,
        clock,
        EventLog('vm', 'i', clock, 0),
        Random(1),
    )
    running = asyncio.create_task(feed.run())
    await asyncio.sleep(wait_s * 1.5)
    ages = []
    for _ in range(40):
        await asyncio.sleep(0.02)
        ages.append(feed.make_news().age_s)
    running.cancel()
    assert max(ages) < wait_s * 1.5


class _FrozenSource(_IdleSource):
    """A VM that stands still: its answers never come."""

    async def fetch_changes(
        self, name: str, start: int, wait_s: float
    ) -> Result[Page, Problem]:
        """Return nothing until the client gives up."""
        await asyncio.sleep(READ_TIMEOUT_S)
        return Err(
            Problem(ErrorKind.PEER_UNAVAILABLE, 'no answer', 'try again')
        )


class _AheadSource(_IdleSource):
    """A log that has one record after a first read."""

    async def fetch_changes(
        self, name: str, start: int, wait_s: float
    ) -> Result[Page, Problem]:
        """Return the record."""
        return Ok(page(record(start, 'r1')))


async def test_a_list_does_not_wait_for_a_vm_that_froze_after_its_news() -> (
    None
):
    """A calm VM must learn in time that a runner leaves.

    The reader of the list freezes between its heartbeat and the page.
    """
    clock = SystemClock()
    feed = Feed(
        RUNNER_FEED,
        _AheadSource(),
        lambda _: _FrozenSource(),
        clock,
        EventLog('vm', 'i', clock, 0),
        Random(1),
    )
    feed.copy.apply(page(whole=True))
    feed.confirmed_at = clock.monotonic()
    feed.store_schedule.is_among_first = lambda *_: False
    running = asyncio.create_task(feed.run())
    news = FeedStatus(RUNNER_FEED.name, 1, 0, can_read_store=True)
    feed.handle_news('reader', 'reader', news, clock.monotonic())
    spent_s = RUNNER_POLL_INTERVAL_S + 3 * HEARTBEAT_INTERVAL_S
    await wait_until(
        lambda: feed.copy.end == 1, 'the change', MAX_LIST_AGE_S - spent_s
    )
    running.cancel()
