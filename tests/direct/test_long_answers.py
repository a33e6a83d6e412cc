"""Requests with long answers, beside other work on their runner."""

import asyncio

from tests.direct.world import ENGINE, manifest, playing, route
from tests.utils.raw_runner import Seen, chunk, event
from tests.utils.waiting import wait_until

PATIENCE_S = 2.0  # for which callers of a stream bear its silence
SOON_S = PATIENCE_S / 2
ROUTE = route(
    '/draft/', 'streaming', ENGINE, timeoutMs=120_000, targetLatencyMs=400
)


async def begins(seen: Seen) -> None:
    """Make the first event at once, and no other."""
    seen.writer.write(seen.stream_head() + chunk(event(1)))
    await seen.left.wait()


async def test_a_long_answer_begins_beside_other_work() -> None:
    """An answer that lasts longer than silence is borne is not refused."""
    async with playing() as world:
        world.publish(manifest(2, routes=[ROUTE]))
        book = world.vms[0].entry.book
        await wait_until(lambda: book.manifest_version() == 2, 'the route')
        await world.add_runner('r1', ENGINE, begins)
        await world.knows(ENGINE)
        other, caller = await world.connect(), await world.connect()
        await other.send('/draft/a', X_Bramleybend_Token_Counts='200,20')
        await other.reader.readuntil(b'piece 1\n\n')
        await caller.send(
            '/draft/b',
            attempt='a2',
            X_Bramleybend_Token_Counts='200,3000',
            X_Bramleybend_Length_Hint='2000',
        )
        async with asyncio.timeout(SOON_S):
            await caller.reader.readuntil(b'piece 1\n\n')
        other.close()
        caller.close()
