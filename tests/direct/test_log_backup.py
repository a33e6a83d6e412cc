"""VMs that start while a log of the platform is down."""

import asyncio
from random import Random

import pytest

from bramleybend.clock import SystemClock
from bramleybend.direct.feed_copy import KeyedRecord, Page
from bramleybend.platform.platform_process import make_platform_process
from bramleybend.platform.snapshot_store import SnapshotStore
from bramleybend.platform.store_client import StoreClient
from bramleybend.platform.wire_names import (
    MANIFEST_TOPIC,
    RUNNER_TOPIC,
    SNAPSHOT_TOPIC,
)
from tests.direct.cluster import (
    PLAIN,
    Cluster,
    manifest,
    route,
    running_cluster,
)
from tests.utils.platform_store import PlatformStore
from tests.utils.raw_runner import Seen, answers
from tests.utils.waiting import wait_until

# Well below the time for which the log is down in these tests.
SOON_S = 1.0
# Time limit for a deployment to serve again after a power loss.
RECOVERY_S = 12.0


async def wait_until_saved(cluster: Cluster, count: int = 2) -> None:
    """Wait until the pages of `count` logs are saved."""
    await wait_until(
        lambda: len(cluster.store.topic(SNAPSHOT_TOPIC).newest) == count,
        'pages are kept',
    )


async def lose_power(cluster: Cluster) -> None:
    """Stop all VMs at once and start them again."""
    for vm in cluster.vms:
        await vm.kill()
    cluster.vms.clear()
    for cfg in cluster.cfgs:
        vm = make_platform_process(cfg, cluster.clock)
        cluster.vms.append(vm)
        await vm.start()


@pytest.mark.parametrize('away', [RUNNER_TOPIC, MANIFEST_TOPIC])
async def test_a_loss_of_power_beside_a_silent_log_is_short(away: str) -> None:
    """Callers are served within a second of a start beside a silent log.

    One log of the store falls silent, then all VMs lose power and restart. They
    load the last known records of that log from the backup.
    """
    async with running_cluster(vms=2) as cluster:
        await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        await wait_until_saved(cluster)
        await asyncio.sleep(SOON_S)  # one write covers the changes of a second
        cluster.store.silent_topics.add(away)
        await lose_power(cluster)
        async with asyncio.timeout(SOON_S):
            for vm in (0, 1):
                answer = await cluster.call(
                    '/book/x', vm, X_Bramleybend_Deadline_Ms='3000'
                )
                assert answer.status == 200


async def test_vms_that_start_recall_a_large_manifest() -> None:
    """VMs that start load the newest manifest even if it is large.

    1,400 routes are added, then all VMs lose power beside a silent manifest
    log. If the page were too large to be saved, VMs would load the manifest
    before it and keep using that one.
    """
    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        await wait_until_saved(cluster)
        added = [
            route(f'/added{number}/', 'idempotent', PLAIN)
            for number in range(1400)
        ]
        cluster.publish(manifest(2, routes=[*manifest()['routes'], *added]))
        catalog = cluster.vms[0].entry.catalog
        await wait_until(lambda: catalog.manifest_version() == 2, 'the change')
        await asyncio.sleep(SOON_S * 2)
        cluster.store.silent_topics.add(MANIFEST_TOPIC)
        await lose_power(cluster)

        async def serves_added() -> bool:
            return (await cluster.call('/added1399/x')).status == 200

        # The log stays silent, so the route can only come from the backup.
        await wait_until(serves_added, 'the added route', RECOVERY_S)


async def test_a_page_too_large_to_save_deletes_the_saved_one() -> None:
    """A page too large for a record deletes the page saved before.

    Otherwise VMs that start would use an outdated page instead of waiting for
    the log.
    """
    store = PlatformStore('127.0.0.1')
    await store.server.start()
    client = StoreClient('127.0.0.1', store.server.port, SystemClock())
    pages = SnapshotStore(client)
    small = Page((KeyedRecord(0, 'k', b'old'),), 1, is_snapshot=True)
    (await pages.save('log', small)).unwrap()
    loaded = (await pages.load('log')).unwrap()
    assert loaded is not None
    assert loaded.records[0].content == b'old'
    large_record = KeyedRecord(1, 'k', Random(1).randbytes(300_000))
    for _ in range(3):
        refused = await pages.save(
            'log', Page((large_record,), 2, is_snapshot=True)
        )
        assert refused.is_err()
    assert (await pages.load('log')).unwrap() is None
    assert store.calls.count('/log-append') == 2
    client.close()
    await store.server.stop()


async def test_a_recalled_manifest_denies_nothing() -> None:
    """With a manifest from a backup, an unknown key gets 503, not 401.

    A newer manifest may know the key, and a caller gives up after a 401.
    """
    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        await wait_until_saved(cluster)
        await asyncio.sleep(SOON_S)
        cluster.store.silent_topics.add(MANIFEST_TOPIC)
        await lose_power(cluster)
        answer = await cluster.call('/book/x', key='new')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0


async def test_a_recalled_runner_that_left_is_passed_over() -> None:
    """A loaded runner entry that is outdated costs callers nothing.

    Two runner entries are loaded; at the address of one, another process
    answers that it is not the runner meant and has not run the request.
    """
    gone = asyncio.Event()

    async def leaves(seen: Seen) -> None:
        if not gone.is_set():
            await answers(seen)
            return
        seen.writer.write(seen.answer('421 Misdirected Request', b''))

    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN, leaves)
        await cluster.add_runner('r2', PLAIN)
        await cluster.wait_for_runners(PLAIN, 2)
        await wait_until_saved(cluster)
        await asyncio.sleep(SOON_S)
        cluster.store.silent_topics.add(RUNNER_TOPIC)
        gone.set()
        await lose_power(cluster)
        for number in range(4):
            answer = await cluster.call('/book/x', attempt=f'a{number}')
            assert answer.status == 200


async def test_the_log_replaces_a_backup() -> None:
    """The log itself replaces a runner list from the backup.

    A runner leaves while its log is silent and all VMs are down. Once the log
    answers again, its list is in force.
    """
    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN)
        await cluster.add_runner('r2', PLAIN)
        await cluster.wait_for_runners(PLAIN, 2)
        await wait_until_saved(cluster)
        await asyncio.sleep(SOON_S)
        cluster.store.silent_topics.add(RUNNER_TOPIC)
        cluster.store.topic(RUNNER_TOPIC).put('r1', b'')
        await lose_power(cluster)
        await cluster.wait_for_runners(PLAIN, 2)
        cluster.store.silent_topics.clear()
        await cluster.wait_for_runners(PLAIN, 1)


async def test_an_unreadable_backup_is_logged_and_ignored() -> None:
    """An unreadable page is logged, and the VM waits for the log itself."""
    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        await wait_until_saved(cluster)
        await asyncio.sleep(SOON_S)
        for name in (RUNNER_TOPIC, MANIFEST_TOPIC):
            cluster.store.topic(SNAPSHOT_TOPIC).put(name, b'\x00')
        cluster.store.silent_topics.add(RUNNER_TOPIC)
        await lose_power(cluster)
        await asyncio.sleep(SOON_S)
        assert not cluster.vms[0].entry.is_ready()
        cluster.store.silent_topics.clear()
        await wait_until(cluster.vms[0].entry.is_ready, 'the log is read')


async def test_one_vm_writes_and_only_what_is_new() -> None:
    """One VM saves each change, and only if something changed."""
    async with running_cluster(vms=3) as cluster:
        await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        await wait_until_saved(cluster)
        await asyncio.sleep(SOON_S * 3)
        before = cluster.store.calls.count('/log-append')
        await asyncio.sleep(SOON_S * 2)
        assert cluster.store.calls.count('/log-append') == before
        # One write for the manifest, and one each for the runner list without
        # and with its only runner. There may be more if VMs that start slowly
        # don't hear each other in time.
        assert before <= 5
