"""Requests with long answers, on a runner that also runs others."""

import asyncio

from tests.direct.cluster import ENGINE, manifest, route, running_cluster
from tests.utils.raw_runner import Seen, chunk, event
from tests.utils.waiting import wait_until

PATIENCE_S = 2.0  # after which callers leave a silent stream
FIRST_EVENT_S = PATIENCE_S / 2
ROUTE = route(
    '/draft/', 'streaming', ENGINE, timeoutMs=120_000, targetLatencyMs=400
)


async def begins(seen: Seen) -> None:
    """Send the first event at once, and no other."""
    seen.writer.write(seen.stream_head() + chunk(event(1)))
    await seen.left.wait()


async def test_a_long_answer_begins_beside_other_work() -> None:
    """An answer may last longer than callers wait for its first event."""
    async with running_cluster() as cluster:
        cluster.publish(manifest(2, routes=[ROUTE]))
        catalog = cluster.vms[0].entry.catalog
        await wait_until(lambda: catalog.manifest_version() == 2, 'the route')
        await cluster.add_runner('r1', ENGINE, begins)
        await cluster.wait_for_runners(ENGINE)
        other, caller = await cluster.connect(), await cluster.connect()
        await other.send('/draft/a', X_Bramleybend_Token_Counts='200,20')
        await other.reader.readuntil(b'piece 1\n\n')
        await caller.send(
            '/draft/b',
            attempt='a2',
            X_Bramleybend_Token_Counts='200,3000',
            X_Bramleybend_Length_Hint='2000',
        )
        async with asyncio.timeout(FIRST_EVENT_S):
            await caller.reader.readuntil(b'piece 1\n\n')
        other.close()
        caller.close()
