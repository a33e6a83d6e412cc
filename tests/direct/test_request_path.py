"""Requests from their caller to a runner and back, over real sockets."""

import asyncio

from tests.direct.cluster import (
    ENGINE,
    PLAIN,
    connect,
    manifest,
    running_cluster,
)
from tests.utils.raw_runner import Seen, answers, chunk, event, streams
from tests.utils.waiting import wait_until


async def test_a_plain_request_comes_back_as_its_runner_answered() -> None:
    """Status, body and proof are the runner's; the key is not forwarded."""
    async with running_cluster() as cluster:
        runner = await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        answer = await cluster.call('/book/x?day=1', body=b'slot', X_Other='1')
        assert (answer.status, answer.body) == (200, b'done')
        assert answer.headers['x-bramleybend-response-stamp'] == 's1'
        (seen,) = runner.seen
        assert (seen.method, seen.target) == ('POST', '/book/x?day=1')
        assert seen.body == b'slot'
        assert seen.headers['x-other'] == '1'
        assert seen.headers['x-bramleybend-expect-instance'] == 'r1'
        assert seen.headers['x-bramleybend-tenant'] == 'school'
        assert 'authorization' not in seen.headers
        assert 0 < int(seen.headers['x-bramleybend-deadline-ms']) <= 4000


async def test_headers_that_only_the_system_may_set_are_dropped() -> None:
    """Callers can't set the workspace or reserve an engine's memory."""
    async with running_cluster() as cluster:
        runner = await cluster.add_runner('r1', ENGINE, streams)
        await cluster.wait_for_runners(ENGINE)
        await cluster.call(
            '/draft/x',
            X_Bramleybend_Tenant='other',
            X_Bramleybend_Hold='h',
            X_Bramleybend_Pin_Ms='100',
            Kv_From='10.0.0.1:1/x',
            X_Bramleybend_Expect_Instance='i-9',
        )
        headers = runner.seen[0].headers
        assert headers['x-bramleybend-tenant'] == 'school'
        assert headers['x-bramleybend-expect-instance'] == 'r1'
        for name in ('x-bramleybend-hold', 'x-bramleybend-pin-ms', 'kv-from'):
            assert name not in headers


async def test_a_stream_reaches_its_caller_event_by_event() -> None:
    """The caller gets the first event before the runner sends the second."""
    go_on = asyncio.Event()

    async def sends_in_two_steps(seen: Seen) -> None:
        seen.writer.write(seen.stream_head() + chunk(event(1)))
        await go_on.wait()
        seen.writer.write(chunk(event(2)) + chunk(b''))

    async with running_cluster() as cluster:
        await cluster.add_runner('r1', ENGINE, sends_in_two_steps)
        await cluster.wait_for_runners(ENGINE)
        caller = await cluster.connect()
        await caller.send('/draft/x')
        async with asyncio.timeout(2):
            await caller.reader.readuntil(b'piece 1\n\n')
        go_on.set()
        async with asyncio.timeout(2):
            await caller.reader.readuntil(b'0\r\n\r\n')
        caller.close()


async def test_metrics_are_served_beside_the_readiness_check() -> None:
    """A scraper finds counts of answers and the manifest's version."""
    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        await cluster.call('/read/x')
        await cluster.call('/nothing/x')
        cfg = cluster.cfgs[0]
        scraper = await connect(cfg.ready.host, cfg.ready.port)
        await scraper.send('/metrics', method='GET', body=b'')
        text = (await scraper.answer()).body.decode()
        scraper.close()
        assert (
            'bramleybend_answers_total{cause="none",service="plain-service",'
            'status="200",tier="2"} 1.0'
        ) in text
        assert 'bramleybend_denied_total{status="404"} 1.0' in text
        assert 'bramleybend_manifest_version 1.0' in text
        assert 'bramleybend_queue_seconds_count' in text


async def test_unknown_hosts_paths_and_keys_are_told_apart() -> None:
    """404 without a route, 401 without a known key, 503 without a runner."""
    async with running_cluster() as cluster:
        assert (await cluster.call('/nothing/x')).status == 404
        assert (await cluster.call('/read/x', key='')).status == 401
        assert (await cluster.call('/read/x', key='gone')).status == 401
        refused = await cluster.call('/read/x')
        assert refused.status == 503
        assert float(refused.headers['retry-after']) >= 0


async def test_a_vm_without_a_manifest_keeps_requests_then_refuses() -> None:
    """The caller gets 503 with a retry time, never 404.

    A VM starts while the store is silent. It knows no route, so it can't tell
    that there is none. The request waits for a share of its timeout.
    """
    async with running_cluster() as cluster:
        cluster.store.silent = True
        await cluster.vms.pop().kill()
        cluster.cfgs.clear()
        await cluster.add_vm()
        answer = await cluster.call('/read/x', X_Bramleybend_Deadline_Ms='500')
        assert answer.status == 503
        assert 0 < float(answer.headers['retry-after']) <= 0.1
        assert not cluster.vms[0].entry.is_ready()


async def test_a_new_manifest_is_in_force_at_once_and_an_older_never() -> None:
    """The highest version is in force, in whatever order versions arrive."""
    async with running_cluster() as cluster:
        catalog = cluster.vms[0].entry.catalog
        cluster.publish(manifest(7, routes=[]))
        await wait_until(
            lambda: (
                catalog.manifest is not None and catalog.manifest.version == 7
            ),
            'the new version',
            limit_s=1,
        )
        cluster.publish(manifest(3))
        feed = cluster.vms[0].feeds[0]
        await wait_until(lambda: feed.copy.end == 3, 'the older version')
        assert (await cluster.call('/read/x')).status == 404


async def test_a_manifest_that_cannot_be_read_leaves_the_last_one() -> None:
    """An invalid manifest is ignored as a whole."""
    async with running_cluster() as cluster:
        await cluster.add_runner('r1', PLAIN, answers)
        cluster.publish({'version': 9, 'routes': [{'host': 5}]})
        cluster.publish({'version': 'x'})
        await cluster.wait_for_runners(PLAIN)
        assert (await cluster.call('/read/x')).status == 200
        catalog = cluster.vms[0].entry.catalog
        assert catalog.manifest is not None
        assert catalog.manifest.version == 1
