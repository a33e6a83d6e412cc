"""A change that adds many routes is in force on every VM in time."""

import asyncio
import itertools
import json
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random
from typing import Final

from bramleybend.clock import Clock, SystemClock
from bramleybend.direct.beat_messages import FeedNews
from bramleybend.direct.book import Book
from bramleybend.direct.feed import Feed
from bramleybend.direct.feed_copy import FeedCopy, KeyedRecord, Page
from bramleybend.direct.ingress import Ingress
from bramleybend.direct.members import BEAT_S
from bramleybend.direct.models import IngressLimits
from bramleybend.events import EventLog
from bramleybend.platform.feeds import MANIFEST_FEED, ManifestApplier
from bramleybend.platform.mirror import Mirror
from bramleybend.platform.names import MANIFEST_KEY, MANIFEST_TOPIC
from bramleybend.platform.store import StoreClient, make_mirror_client
from tests.direct.cluster import HOST, manifest, route
from tests.utils.platform_store import PlatformStore
from tests.utils.relay import Cut, Link, Relay

# What operators are promised on the smallest deployments; large ones have
# three seconds.
IN_FORCE_S: Final = 2.0
THIN_LINK: Final = 5e6 / 8  # bytes a second; 5 Mbit/s
ADDED_ROUTES: Final = 1400
VMS_OF_A_DOMAIN: Final = 26  # of 78 VMs in three failure domains
ADDED: Final = '/added/'
_PORTS = itertools.count(26_000)
_SUBNET = 20 + os.getpid() % 200


def large_manifest(
    version: int, added: int = ADDED_ROUTES
) -> dict[str, object]:
    """Return a manifest with many routes, of about 240 bytes each."""
    # Names as unlike as operators' own, or they would deflate too well.
    rng = Random(added)
    names = [f'{rng.randbytes(4).hex()}-{number}' for number in range(added)]
    routes = [
        route(f'/{name}/', 'idempotent', 'app', sticky=True) for name in names
    ]
    routes.append(route(ADDED, 'idempotent', 'app'))
    return manifest(version, routes=[*manifest()['routes'], *routes])


def record(offset: int, content: dict[str, object]) -> KeyedRecord:
    """Return a version as the store holds it."""
    text = json.dumps(content).encode()
    return KeyedRecord(offset, MANIFEST_KEY, text)


@dataclass
class Follower:
    """One VM's manifest, and how it follows it."""

    book: Book
    feed: Feed

    def serves_added(self) -> bool:
        """Tell whether callers of an added route get no 404."""
        current = self.book.manifest
        return current is not None and current.route_of(HOST, ADDED) is not None


def make_follower(
    store: StoreClient, vm_port: int, clock: Clock, name: str
) -> Follower:
    """Make a VM that has the version before."""
    events = EventLog(name, 'i', clock, kept=0)
    book = Book(clock, events)
    clients: dict[str, StoreClient] = {}

    def peer_source(address: str) -> StoreClient:
        if address not in clients:
            clients[address] = make_mirror_client(address, vm_port, clock)
        return clients[address]

    feed = Feed(MANIFEST_FEED, store, peer_source, clock, events, Random(name))
    feed.on_page = ManifestApplier(book, events).take
    feed.copy.apply(Page((record(0, manifest(1)),), 1, whole=True))
    feed.on_page(Page((record(0, manifest(1)),), 1, whole=True))
    feed.confirmed_at = clock.monotonic()
    feed.store_schedule.ranks_first = lambda *_: False
    return Follower(book, feed)


@asynccontextmanager
async def store_over(link: Link) -> AsyncIterator[tuple[PlatformStore, Relay]]:
    """Start a store that one VM reaches over its own link."""
    store = PlatformStore('127.0.0.1')
    await store.server.start()
    relay = Relay(
        f'127.{_SUBNET}.9.99',
        next(_PORTS),
        '127.0.0.1',
        store.server.port,
        [link],
    )
    await relay.start()
    try:
        yield store, relay
    finally:
        await relay.stop()
        await store.server.stop()


@asynccontextmanager
async def mirrors(
    count: int, copy: FeedCopy, links: list[Link]
) -> AsyncIterator[tuple[list[Relay], int]]:
    """Serve one copy from VMs behind their own links, all on one port."""
    port = next(_PORTS)
    clock = SystemClock()
    mirror = Mirror({MANIFEST_TOPIC: copy})
    door = Ingress(mirror.handle, IngressLimits, clock)
    inner = next(_PORTS)
    # An address of this process's own: tests run beside each other.
    host = f'127.{_SUBNET}.9.200'
    await door.start(host, inner)
    relays = [
        Relay(f'127.{_SUBNET}.9.{number + 1}', port, host, inner, links)
        for number in range(count)
    ]
    for relay in relays:
        await relay.start()
    try:
        yield relays, port
    finally:
        for relay in relays:
            await relay.stop()
        await door.stop()


async def tell(followers: list[Follower], relays: list[Relay]) -> None:
    """Send heartbeats that tell of the version, until cancelled."""
    while True:
        for number, relay in enumerate(relays):
            news = FeedNews(MANIFEST_TOPIC, 2, 0, reads=True)
            for one in followers:
                one.feed.handle_news(f'hub-{number}', relay.host, news)
        await asyncio.sleep(BEAT_S)


async def late_ones(
    followers: list[Follower],
    relays: list[Relay],
    clock: Clock,
    told_after_s: float = 0,
    within_s: float = IN_FORCE_S,
) -> list[Follower]:
    """Return the VMs that still answer 404 when the change is to be in force."""
    tasks = [asyncio.create_task(one.feed.run()) for one in followers]
    ends_at = clock.monotonic() + within_s
    await asyncio.sleep(told_after_s)
    tasks.append(asyncio.create_task(tell(followers, relays)))
    while clock.monotonic() < ends_at:
        if all(one.serves_added() for one in followers):
            break
        await asyncio.sleep(0.02)
    late = [one for one in followers if not one.serves_added()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return late


async def test_a_domain_gets_a_large_change_from_one_vm_on_a_thin_link() -> (
    None
):
    """Callers of added routes get 404 seconds after the change was accepted.

    One VM on a link of 5 Mbit/s is the first of its domain to have 1,400
    routes more, and tells the others, whom the store turns away. All 26 ask it
    at once; 9 MB would take its link 14 s, no call is through in the second
    that it has, each begins again from nothing, and none ever has it. In a
    deployment that was watched, one VM of each domain sent its whole domain
    the document at once (5.9 MB in a second), and VMs turned unready in the
    seconds in which one still answered 404.
    """
    clock = SystemClock()
    copy = FeedCopy()
    copy.apply(Page((record(0, manifest(1)),), 1, whole=True))
    copy.apply(Page((record(1, large_manifest(2)),), 2, whole=False))
    store = PlatformStore('127.0.0.1')
    store.status = 503
    await store.server.start()
    async with mirrors(1, copy, [Link(THIN_LINK)]) as (relays, port):
        followers = [
            make_follower(
                StoreClient('127.0.0.1', store.server.port, clock),
                port,
                clock,
                f'vm-{number}',
            )
            for number in range(VMS_OF_A_DOMAIN)
        ]
        late = await late_ones(followers, relays, clock)
    await store.server.stop()
    assert not late, f'{len(late)} of {len(followers)} VMs answer 404'


async def test_a_manifest_that_takes_over_a_second_to_read_arrives() -> None:
    """A VM that starts on a thin link answers 503 for as long as it lives.

    Its callers take half of its 5 Mbit/s; 3,000 routes take 3 s of the rest.
    Cut off after a second in all, each read began again from nothing. What
    keeps coming is read to its end.
    """
    async with store_over(Link(THIN_LINK / 2)) as (store, relay):
        store.put(MANIFEST_TOPIC, MANIFEST_KEY, large_manifest(2, added=3000))
        client = StoreClient(relay.host, relay.port, SystemClock())
        page = await client.newest(MANIFEST_TOPIC)
        client.close()
    assert page.is_ok(), page
    assert page.unwrap().size > 2 * THIN_LINK / 2


async def test_an_answer_that_stops_midway_is_given_up_soon() -> None:
    """The path to the store is cut while a manifest arrives.

    The connection stays open and nothing more comes; the read ends a second
    later, so that the VM can ask elsewhere.
    """
    clock = SystemClock()
    async with store_over(Link(THIN_LINK / 2)) as (store, relay):
        store.put(MANIFEST_TOPIC, MANIFEST_KEY, large_manifest(2, added=3000))
        client = StoreClient(relay.host, relay.port, clock)
        reading = asyncio.create_task(client.newest(MANIFEST_TOPIC))
        await asyncio.sleep(0.4)
        relay.cut(Cut.BOTH)
        cut_at = clock.monotonic()
        page = await reading
        client.close()
    assert page.is_err()
    assert clock.monotonic() - cut_at < IN_FORCE_S


async def test_a_change_that_frozen_vms_tell_of_is_read_from_the_store() -> (
    None
):
    """Callers of an added route get 404 over two seconds after its acceptance.

    The three VMs that tell a failure domain of the change freeze right after
    that; their connections stay open and bring nothing. Each is given a
    second, and only news that is over two seconds old was read from the store.
    """
    clock = SystemClock()
    copy = FeedCopy()
    copy.apply(Page((record(1, large_manifest(2)),), 2, whole=True))
    links = [Link(THIN_LINK), Link(THIN_LINK)]
    async with store_over(links[0]) as (store, way):
        store.put(MANIFEST_TOPIC, MANIFEST_KEY, manifest(1))
        store.put(MANIFEST_TOPIC, MANIFEST_KEY, large_manifest(2))
        async with mirrors(3, copy, links[1:]) as (relays, port):
            for relay in relays:
                relay.cut(Cut.BOTH)
            client = StoreClient(way.host, way.port, clock)
            follower = make_follower(client, port, clock, 'vm')
            late = await late_ones([follower], relays, clock)
    assert not late


async def test_a_change_that_a_vm_has_is_not_waited_for_from_the_store() -> (
    None
):
    """Callers of an added route get 404 for over three seconds.

    The VMs that read the store for all are still receiving two large changes,
    so the news of all others grows old and each begins to read the store, over
    a link of which its callers take half: 2.3 s. A fifth of a second later a VM
    tells that it has the change, in a thirtieth of the bytes.
    """
    clock = SystemClock()
    large = large_manifest(2, added=3000)
    copy = FeedCopy()
    copy.apply(Page((record(1, large),), 2, whole=True))
    link = Link(THIN_LINK / 2)
    async with store_over(link) as (store, way):
        store.put(MANIFEST_TOPIC, MANIFEST_KEY, manifest(1))
        store.put(MANIFEST_TOPIC, MANIFEST_KEY, large)
        async with mirrors(1, copy, [link]) as (relays, port):
            client = StoreClient(way.host, way.port, clock)
            follower = make_follower(client, port, clock, 'vm')
            follower.feed.confirmed_at -= 2 * MANIFEST_FEED.max_age_s
            late = await late_ones([follower], relays, clock, BEAT_S)
    assert not late


async def test_an_answer_of_the_store_does_not_wait_for_a_frozen_vm() -> None:
    """Callers of an added route get 404 for a second after it was read.

    A VM reads the change from the store, half a second; meanwhile another
    tells that it has it, and freezes. What comes first counts.
    """
    clock = SystemClock()
    copy = FeedCopy()
    copy.apply(Page((record(1, large_manifest(2)),), 2, whole=True))
    link = Link(THIN_LINK)
    async with store_over(link) as (store, way):
        store.put(MANIFEST_TOPIC, MANIFEST_KEY, manifest(1))
        store.put(MANIFEST_TOPIC, MANIFEST_KEY, large_manifest(2))
        async with mirrors(1, copy, [link]) as (relays, port):
            relays[0].cut(Cut.BOTH)
            client = StoreClient(way.host, way.port, clock)
            follower = make_follower(client, port, clock, 'vm')
            follower.feed.confirmed_at -= 2 * MANIFEST_FEED.max_age_s
            late = await late_ones(
                [follower], relays, clock, BEAT_S, IN_FORCE_S / 2
            )
    assert not late
