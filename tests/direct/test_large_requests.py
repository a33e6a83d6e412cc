"""Large requests and answers, within the limits."""

import asyncio
from collections import Counter

from bramleybend.entry_settings import MEGABYTE, REQUESTS_SHARE
from tests.direct.cluster import PLAIN, Cluster, manifest, running_cluster
from tests.utils.raw_runner import ReceivedRequest, answer_at_once, chunk
from tests.utils.waiting import wait_until

BODY = bytes(2 * MEGABYTE)
MEMORY_MB = 100
UPLOADS = 40
CHUNK_BYTES = 512
CHUNKS = 180  # 92 kB, more than a connection reads at once


async def permit_large_bodies(cluster: Cluster) -> None:
    """Publish a manifest that permits the bodies of these tests."""
    limits = {'maxBodyBytes': 2 * len(BODY)}
    cluster.publish(manifest(version=2, limits=limits))
    await wait_until(
        lambda: cluster.vms[0].entry.catalog.manifest_version() == 2,
        'the manifest',
    )


async def test_the_bodies_of_all_requests_share_a_memory_limit() -> None:
    """Bodies below their own limit must not fill the memory together."""
    most_at_once = 0

    async with running_cluster(memory_mb=MEMORY_MB) as cluster:
        memory = cluster.vms[0].entry.ingress.memory
        unused = memory.free_bytes

        async def holds(seen: ReceivedRequest) -> None:
            nonlocal most_at_once
            most_at_once = max(most_at_once, int(unused - memory.free_bytes))
            await asyncio.sleep(0.5 if len(seen.body) > MEGABYTE else 0)
            await answer_at_once(seen)

        await cluster.add_runner('r1', PLAIN, holds)
        await cluster.wait_for_runners(PLAIN)
        await permit_large_bodies(cluster)
        uploads = [
            asyncio.create_task(
                cluster.call('/book/x', attempt=f'a{number}', body=BODY)
            )
            for number in range(UPLOADS)
        ]
        small = await cluster.call('/book/x', attempt='small')
        answers = Counter([(await upload).status for upload in uploads])
        assert small.status == 200
        assert answers.keys() == {200, 503}
        assert most_at_once <= MEMORY_MB * MEGABYTE * REQUESTS_SHARE / 2
        await wait_until(lambda: memory.free_bytes == unused, 'all released')


async def test_a_connection_that_ends_after_a_large_answer_is_not_used_again() -> (
    None
):
    """A connection that stays paused after its answer has no end."""

    async def answers_and_closes(seen: ReceivedRequest) -> None:
        parts = chunk(b'x' * CHUNK_BYTES) * CHUNKS + chunk(b'')
        seen.writer.write(seen.stream_head() + parts)
        await seen.writer.drain()
        seen.writer.close()

    async with running_cluster() as cluster:
        runner = await cluster.add_runner('r1', PLAIN, answers_and_closes)
        await cluster.wait_for_runners(PLAIN)
        for number in range(5):
            answer = await cluster.call('/book/x', attempt=f'a{number}')
            assert answer.status == 200
            await asyncio.sleep(0.1)
        assert len(runner.seen) == 5


async def test_callers_that_leave_in_a_body_free_its_memory() -> None:
    """Memory that is not given back would refuse all later requests."""
    async with running_cluster(memory_mb=MEMORY_MB) as cluster:
        await cluster.add_runner('r1', PLAIN)
        await cluster.wait_for_runners(PLAIN)
        await permit_large_bodies(cluster)
        memory = cluster.vms[0].entry.ingress.memory
        unused = memory.free_bytes
        caller = await cluster.connect()
        head = f'POST /book/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: {len(BODY)}\r\n\r\n'
        caller.writer.write(head.encode() + BODY[:MEGABYTE])
        await wait_until(lambda: memory.free_bytes < unused, 'bytes read')
        caller.close()
        await wait_until(lambda: memory.free_bytes == unused, 'released')
