"""A manifest that adds many routes takes effect on every VM in time."""

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
from bramleybend.direct.catalog import Catalog
from bramleybend.direct.feed import Feed
from bramleybend.direct.feed_copy import FeedCopy, KeyedRecord, Page
from bramleybend.direct.heartbeat_messages import FeedStatus
from bramleybend.direct.ingress import Ingress
from bramleybend.direct.members import HEARTBEAT_INTERVAL_S
from bramleybend.direct.models import IngressLimits
from bramleybend.events import EventLog
from bramleybend.platform.feeds import MANIFEST_FEED, ManifestApplier
from bramleybend.platform.mirror import Mirror
from bramleybend.platform.store_client import StoreClient, make_mirror_client
from bramleybend.platform.wire_names import MANIFEST_KEY, MANIFEST_TOPIC
from tests.direct.cluster import HOST, manifest, route
from tests.utils.platform_store import PlatformStore
from tests.utils.relay import BandwidthLimit, Cut, Relay

# The documented limit of the smallest deployments; that of large ones is three
# seconds.
MAX_UPDATE_S: Final = 2.0
SLOW_LINK: Final = 5e6 / 8  # bytes per second; 5 Mbit/s
ADDED_ROUTES: Final = 1400
VMS_PER_DOMAIN: Final = 26  # of 78 VMs in three failure domains
ADDED_PATH: Final = '/added/'
_PORTS = itertools.count(26_000)
_SUBNET = 20 + os.getpid() % 200


def large_manifest(
    version: int, added: int = ADDED_ROUTES
) -> dict[str, object]:
    """Return a manifest with many routes, of about 240 bytes each."""
    # Random names, as similar ones would compress better than operators' own.
    rng = Random(added)
    names = [f'{rng.randbytes(4).hex()}-{number}' for number in range(added)]
    routes = [
        route(f'/{name}/', 'idempotent', 'app', sticky=True) for name in names
    ]
    routes.append(route(ADDED_PATH, 'idempotent', 'app'))
    return manifest(version, routes=[*manifest()['routes'], *routes])


def make_record(offset: int, content: dict[str, object]) -> KeyedRecord:
    """Return a manifest version as a record of the store."""
    text = json.dumps(content).encode()
    return KeyedRecord(offset, MANIFEST_KEY, text)


@dataclass
class Follower:
    """One VM's manifest and the feed that updates it."""

    book: Catalog
    feed: Feed

    def serves_added(self) -> bool:
        """Return whether the VM knows the added route, so answers no 404."""
        current = self.book.manifest
        return (
            current is not None
            and current.find_route(HOST, ADDED_PATH) is not None
        )


def make_follower(
    store: StoreClient, vm_port: int, clock: Clock, name: str
) -> Follower:
    """Return a VM that has manifest version 1 and never ranks first to read.

    It reads the store only while its copy is stale, or after a peer failed to
    send a page that it had announced.
    """
    events = EventLog(name, 'i', clock, max_kept_events=0)
    book = Catalog(clock, events)
    clients: dict[str, StoreClient] = {}

    def peer_source(address: str) -> StoreClient:
        if address not in clients:
            clients[address] = make_mirror_client(address, vm_port, clock)
        return clients[address]

    feed = Feed(MANIFEST_FEED, store, peer_source, clock, events, Random(name))
    feed.on_page = ManifestApplier(book, events).apply_page
    feed.copy.apply(Page((make_record(0, manifest(1)),), 1, is_snapshot=True))
    feed.on_page(Page((make_record(0, manifest(1)),), 1, is_snapshot=True))
    feed.confirmed_at = clock.monotonic()
    feed.store_schedule.is_among_first = lambda *_: False
    return Follower(book, feed)


@asynccontextmanager
async def store_behind(
    link: BandwidthLimit,
) -> AsyncIterator[tuple[PlatformStore, Relay]]:
    """Start a store behind a relay that models one VM's link."""
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
async def serve_mirrors(
    count: int, copy: FeedCopy, links: list[BandwidthLimit]
) -> AsyncIterator[tuple[list[Relay], int]]:
    """Serve one feed copy from `count` VMs behind the links, on one port."""
    port = next(_PORTS)
    clock = SystemClock()
    mirror = Mirror({MANIFEST_TOPIC: copy})
    ingress = Ingress(mirror.handle, IngressLimits, clock)
    ingress_port = next(_PORTS)
    # The address is unique to this process, as tests run in parallel.
    host = f'127.{_SUBNET}.9.200'
    await ingress.start(host, ingress_port)
    relays = [
        Relay(f'127.{_SUBNET}.9.{number + 1}', port, host, ingress_port, links)
        for number in range(count)
    ]
    for relay in relays:
        await relay.start()
    try:
        yield relays, port
    finally:
        for relay in relays:
            await relay.stop()
        await ingress.stop()


async def announce_version(
    followers: list[Follower], relays: list[Relay]
) -> None:
    """Deliver heartbeats that announce version 2, until cancelled."""
    while True:
        for number, relay in enumerate(relays):
            news = FeedStatus(MANIFEST_TOPIC, 2, 0, can_read_store=True)
            for follower in followers:
                follower.feed.handle_news(
                    f'hub-{number}', relay.host, news, SystemClock().monotonic()
                )
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


async def find_late_followers(
    followers: list[Follower],
    relays: list[Relay],
    clock: Clock,
    announce_delay_s: float = 0,
    timeout_s: float = MAX_UPDATE_S,
) -> list[Follower]:
    """Return the VMs that still answer 404 after `timeout_s`."""
    tasks = [asyncio.create_task(follower.feed.run()) for follower in followers]
    ends_at = clock.monotonic() + timeout_s
    await asyncio.sleep(announce_delay_s)
    tasks.append(asyncio.create_task(announce_version(followers, relays)))
    while clock.monotonic() < ends_at:
        if all(follower.serves_added() for follower in followers):
            break
        await asyncio.sleep(0.02)
    late = [follower for follower in followers if not follower.serves_added()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return late


async def test_a_domain_gets_a_large_change_from_one_vm_on_a_thin_link() -> (
    None
):
    """Guards against VMs that never finish a read from an overloaded peer.

    One VM behind a link of 5 Mbit/s is the first of its failure domain to have
    a manifest with 1,400 more routes; it announces the version to the other
    VMs, which the store refuses. If all 26 ask that VM at once, its link needs
    14 s for the 9 MB, every read times out after a second and starts again from
    nothing, and callers of added routes get 404. In one deployment, one VM of
    each domain sent the document to its whole domain at once (5.9 MB within a
    second), and VMs became unready while another still answered 404.
    """
    clock = SystemClock()
    copy = FeedCopy()
    copy.apply(Page((make_record(0, manifest(1)),), 1, is_snapshot=True))
    copy.apply(Page((make_record(1, large_manifest(2)),), 2, is_snapshot=False))
    store = PlatformStore('127.0.0.1')
    store.status = 503
    await store.server.start()
    async with serve_mirrors(1, copy, [BandwidthLimit(SLOW_LINK)]) as (
        relays,
        port,
    ):
        followers = [
            make_follower(
                StoreClient('127.0.0.1', store.server.port, clock),
                port,
                clock,
                f'vm-{number}',
            )
            for number in range(VMS_PER_DOMAIN)
        ]
        late = await find_late_followers(followers, relays, clock)
    await store.server.stop()
    assert not late, f'{len(late)} of {len(followers)} VMs answer 404'


async def test_a_manifest_that_takes_over_a_second_to_read_arrives() -> None:
    """Guards against a VM on a slow link that answers 503 forever.

    Its callers use half of its 5 Mbit/s; a manifest of 3,000 routes takes 3 s
    over the rest. A limit of one second on the whole read made each read start
    again from nothing, so a read must go on as long as data arrives.
    """
    async with store_behind(BandwidthLimit(SLOW_LINK / 2)) as (store, relay):
        store.put(MANIFEST_TOPIC, MANIFEST_KEY, large_manifest(2, added=3000))
        client = StoreClient(relay.host, relay.port, SystemClock())
        page = await client.fetch_newest(MANIFEST_TOPIC)
        client.close()
    assert page.is_ok(), page
    assert page.unwrap().size > 2 * SLOW_LINK / 2


async def test_an_answer_that_stops_midway_is_given_up_soon() -> None:
    """The link to the store is cut while a manifest is being received.

    The connection stays open but no more data arrives; the read must end about
    a second later, so that the VM can ask another source.
    """
    clock = SystemClock()
    async with store_behind(BandwidthLimit(SLOW_LINK / 2)) as (store, relay):
        store.put(MANIFEST_TOPIC, MANIFEST_KEY, large_manifest(2, added=3000))
        client = StoreClient(relay.host, relay.port, clock)
        reading = asyncio.create_task(client.fetch_newest(MANIFEST_TOPIC))
        await asyncio.sleep(0.4)
        relay.cut(Cut.BOTH)
        cut_at = clock.monotonic()
        page = await reading
        client.close()
    assert page.is_err()
    assert clock.monotonic() - cut_at < MAX_UPDATE_S


async def test_a_change_that_frozen_vms_tell_of_is_read_from_the_store() -> (
    None
):
    """Guards against reading from frozen peers one by one before the store.

    The three VMs that announce a change to a failure domain freeze right
    afterwards; their connections stay open and deliver nothing. Each read from
    one of them takes a second to fail. While VMs asked the store only about
    announcements over two seconds old, callers of an added route got 404 more
    than two seconds after the store had accepted it.
    """
    clock = SystemClock()
    copy = FeedCopy()
    copy.apply(Page((make_record(1, large_manifest(2)),), 2, is_snapshot=True))
    links = [BandwidthLimit(SLOW_LINK), BandwidthLimit(SLOW_LINK)]
    async with store_behind(links[0]) as (store, store_relay):
        store.put(MANIFEST_TOPIC, MANIFEST_KEY, manifest(1))
        store.put(MANIFEST_TOPIC, MANIFEST_KEY, large_manifest(2))
        async with serve_mirrors(3, copy, links[1:]) as (relays, port):
            for relay in relays:
                relay.cut(Cut.BOTH)
            client = StoreClient(store_relay.host, store_relay.port, clock)
            follower = make_follower(client, port, clock, 'vm')
            late = await find_late_followers([follower], relays, clock)
    assert not late


async def test_a_change_that_a_vm_has_is_not_waited_for_from_the_store() -> (
    None
):
    """Guards against a slow read of the store that delays one from a peer.

    The VMs that read the store on behalf of all others are still receiving two
    large changes. The others have had no confirmation for too long, so each
    starts to read the store, which takes 2.3 s as its callers use half of its
    link. 0.2 s later a peer announces that it has the change, which it sends in
    a thirtieth of the bytes. VMs that waited for the store answered 404 on
    added routes for over three seconds.
    """
    clock = SystemClock()
    large = large_manifest(2, added=3000)
    copy = FeedCopy()
    copy.apply(Page((make_record(1, large),), 2, is_snapshot=True))
    link = BandwidthLimit(SLOW_LINK / 2)
    async with store_behind(link) as (store, store_relay):
        store.put(MANIFEST_TOPIC, MANIFEST_KEY, manifest(1))
        store.put(MANIFEST_TOPIC, MANIFEST_KEY, large)
        async with serve_mirrors(1, copy, [link]) as (relays, port):
            client = StoreClient(store_relay.host, store_relay.port, clock)
            follower = make_follower(client, port, clock, 'vm')
            follower.feed.confirmed_at -= 2 * MANIFEST_FEED.max_age_s
            late = await find_late_followers(
                [follower], relays, clock, HEARTBEAT_INTERVAL_S
            )
    assert not late


async def test_an_answer_of_the_store_does_not_wait_for_a_frozen_vm() -> None:
    """Guards against a read from a frozen peer that delays the store's answer.

    A VM reads the change from the store within half a second; meanwhile a peer
    announces that it has the change, and freezes. The VM must apply whichever
    answer arrives first, or callers of an added route get 404 for another
    second.
    """
    clock = SystemClock()
    copy = FeedCopy()
    copy.apply(Page((make_record(1, large_manifest(2)),), 2, is_snapshot=True))
    link = BandwidthLimit(SLOW_LINK)
    async with store_behind(link) as (store, store_relay):
        store.put(MANIFEST_TOPIC, MANIFEST_KEY, manifest(1))
        store.put(MANIFEST_TOPIC, MANIFEST_KEY, large_manifest(2))
        async with serve_mirrors(1, copy, [link]) as (relays, port):
            relays[0].cut(Cut.BOTH)
            client = StoreClient(store_relay.host, store_relay.port, clock)
            follower = make_follower(client, port, clock, 'vm')
            follower.feed.confirmed_at -= 2 * MANIFEST_FEED.max_age_s
            late = await find_late_followers(
                [follower],
                relays,
                clock,
                HEARTBEAT_INTERVAL_S,
                MAX_UPDATE_S / 2,
            )
    assert not late
