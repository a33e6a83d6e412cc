"""VMs that start while a log of the platform is away."""

import asyncio
from random import Random

import pytest

from bramleybend.clock import SystemClock
from bramleybend.direct.feed_copy import KeyedRecord, Page
from bramleybend.platform.kept_pages import KeptPages
from bramleybend.platform.names import (
    KEPT_TOPIC,
    MANIFEST_TOPIC,
    RUNNER_TOPIC,
)
from bramleybend.platform.program import make_platform_process
from bramleybend.platform.store import StoreClient
from tests.direct.world import PLAIN, World, manifest, playing, route
from tests.utils.platform_store import PlatformStore
from tests.utils.raw_runner import Seen, answers
from tests.utils.waiting import wait_until

# Well under the time that the log stays away in these tests.
SOON_S = 1.0
# In which a deployment has to serve again after it lost power.
RECOVERY_S = 12.0


async def kept(world: World, count: int = 2) -> None:
    """Wait until the pages of so many logs are kept."""
    await wait_until(
        lambda: len(world.store.topic(KEPT_TOPIC).newest) == count,
        'pages are kept',
    )


async def lose_power(world: World) -> None:
    """End all VMs at once and start them anew."""
    for vm in world.vms:
        await vm.kill()
    world.vms.clear()
    for cfg in world.cfgs:
        vm = make_platform_process(cfg, world.clock)
        world.vms.append(vm)
        await vm.start()


@pytest.mark.parametrize('away', [RUNNER_TOPIC, MANIFEST_TOPIC])
async def test_a_loss_of_power_beside_a_silent_log_is_short(away: str) -> None:
    """Callers are served within a second of the VMs' start.

    One log of the store falls silent, then all VMs lose power and start
    anew. They read what was last known of that log in another one.
    """
    async with playing(vms=2) as world:
        await world.add_runner('r1', PLAIN)
        await world.knows(PLAIN)
        await kept(world)
        await asyncio.sleep(SOON_S)  # a write tells of one second's changes
        world.store.silent_topics.add(away)
        await lose_power(world)
        async with asyncio.timeout(SOON_S):
            for vm in (0, 1):
                answer = await world.call(
                    '/book/x', vm, X_Bramleybend_Deadline_Ms='3000'
                )
                assert answer.status == 200


async def test_vms_that_start_recall_a_large_manifest() -> None:
    """Callers of added routes are served, not sent by an older version.

    1,400 routes were added, all VMs lose power beside a silent manifest log,
    and start anew from what was kept. What fitted no record was not kept:
    VMs put the version before in force, and held on to it.
    """
    async with playing() as world:
        await world.add_runner('r1', PLAIN)
        await world.knows(PLAIN)
        await kept(world)
        added = [
            route(f'/added{number}/', 'idempotent', PLAIN)
            for number in range(1400)
        ]
        world.publish(manifest(2, routes=[*manifest()['routes'], *added]))
        book = world.vms[0].entry.book
        await wait_until(lambda: book.manifest_version() == 2, 'the change')
        await asyncio.sleep(SOON_S * 2)
        world.store.silent_topics.add(MANIFEST_TOPIC)
        await lose_power(world)

        async def serves_added() -> bool:
            return (await world.call('/added1399/x')).status == 200

        # The log stays silent, so only what was kept can tell of the route.
        await wait_until(serves_added, 'the added route', RECOVERY_S)


async def test_what_cannot_be_kept_drops_what_was_kept_before() -> None:
    """VMs that start wait for the log instead of going back in time.

    A page of a log outgrows a record even deflated, while the older page
    still lies there.
    """
    store = PlatformStore('127.0.0.1')
    await store.server.start()
    client = StoreClient('127.0.0.1', store.server.port, SystemClock())
    keeper = KeptPages(client)
    small = Page((KeyedRecord(0, 'k', b'old'),), 1, whole=True)
    (await keeper.save('log', small)).unwrap()
    recalled = (await keeper.load('log')).unwrap()
    assert recalled is not None
    assert recalled.records[0].content == b'old'
    large = KeyedRecord(1, 'k', Random(1).randbytes(300_000))
    for _ in range(3):
        refused = await keeper.save('log', Page((large,), 2, whole=True))
        assert refused.is_err()
    assert (await keeper.load('log')).unwrap() is None
    assert store.calls.count('/log-append') == 2
    client.close()
    await store.server.stop()


async def test_a_recalled_manifest_denies_nothing() -> None:
    """A caller with a new key sees 503, not 401.

    The manifest that knows its key may have come while the log was silent;
    told 401, the caller would give up.
    """
    async with playing() as world:
        await world.add_runner('r1', PLAIN)
        await world.knows(PLAIN)
        await kept(world)
        await asyncio.sleep(SOON_S)
        world.store.silent_topics.add(MANIFEST_TOPIC)
        await lose_power(world)
        answer = await world.call('/book/x', key='new')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0


async def test_a_recalled_runner_that_left_is_passed_over() -> None:
    """The caller sees its answer, from a runner that is still there.

    Two runners are recalled; at the address of one, another process answers
    that it is not the one meant, and has not run the request.
    """
    gone = asyncio.Event()

    async def leaves(seen: Seen) -> None:
        if not gone.is_set():
            await answers(seen)
            return
        seen.writer.write(seen.answer('421 Misdirected Request', b''))

    async with playing() as world:
        await world.add_runner('r1', PLAIN, leaves)
        await world.add_runner('r2', PLAIN)
        await world.knows(PLAIN, 2)
        await kept(world)
        await asyncio.sleep(SOON_S)
        world.store.silent_topics.add(RUNNER_TOPIC)
        gone.set()
        await lose_power(world)
        for number in range(4):
            answer = await world.call('/book/x', attempt=f'a{number}')
            assert answer.status == 200


async def test_the_log_itself_goes_before_what_was_kept() -> None:
    """A runner that the log no longer names gets nothing more.

    It left while its log was silent and all VMs were down. Once the log
    answers again, its list is the one in force.
    """
    async with playing() as world:
        await world.add_runner('r1', PLAIN)
        await world.add_runner('r2', PLAIN)
        await world.knows(PLAIN, 2)
        await kept(world)
        await asyncio.sleep(SOON_S)
        world.store.silent_topics.add(RUNNER_TOPIC)
        world.store.topic(RUNNER_TOPIC).put('r1', b'')
        await lose_power(world)
        await world.knows(PLAIN, 2)
        world.store.silent_topics.clear()
        await world.knows(PLAIN, 1)


async def test_an_unreadable_page_is_told_and_waited_past() -> None:
    """Callers wait for the log itself, as if nothing had been kept."""
    async with playing() as world:
        await world.add_runner('r1', PLAIN)
        await world.knows(PLAIN)
        await kept(world)
        await asyncio.sleep(SOON_S)
        for name in (RUNNER_TOPIC, MANIFEST_TOPIC):
            world.store.topic(KEPT_TOPIC).put(name, b'\x00')
        world.store.silent_topics.add(RUNNER_TOPIC)
        await lose_power(world)
        await asyncio.sleep(SOON_S)
        assert not world.vms[0].entry.is_ready()
        world.store.silent_topics.clear()
        await wait_until(world.vms[0].entry.is_ready, 'the log is read')


async def test_one_vm_writes_and_only_what_is_new() -> None:
    """The store gets one write a change, not one from each VM."""
    async with playing(vms=3) as world:
        await world.add_runner('r1', PLAIN)
        await world.knows(PLAIN)
        await kept(world)
        await asyncio.sleep(SOON_S * 3)
        before = world.store.calls.count('/log-append')
        await asyncio.sleep(SOON_S * 2)
        assert world.store.calls.count('/log-append') == before
        # The manifest once, the list without and with its only runner; more
        # only where VMs that start slowly don't hear each other in time.
        assert before <= 5
