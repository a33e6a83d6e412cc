"""Requests that a planned stop overtakes are answered, with the truth."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.direct.cluster import (
    PLAIN,
    Cluster,
    RawAnswer,
    RawCaller,
    running_cluster,
)
from tests.utils.raw_runner import ReceivedRequest, answer_at_once
from tests.utils.waiting import wait_until

SLOTS = 4
GRACE_S = 4.0


@asynccontextmanager
async def full_cluster(run_s: float) -> AsyncIterator[Cluster]:
    """Start a VM whose only runner takes `run_s` for a run."""

    async def runs(seen: ReceivedRequest) -> None:
        await asyncio.sleep(run_s)
        await answer_at_once(seen)

    async with running_cluster(drain_timeout_s=GRACE_S) as cluster:
        await cluster.add_runner('r1', PLAIN, runs)
        await cluster.wait_for_runners(PLAIN)
        yield cluster


async def send_requests(
    cluster: Cluster, target: str, count: int, first: int = 0
) -> list[RawCaller]:
    """Send requests on connections of their own."""
    callers = [await cluster.connect() for _ in range(count)]
    for number, caller in enumerate(callers, first):
        await caller.send(target, attempt=f'a{number}')
    return callers


async def answer_or_none(caller: RawCaller) -> RawAnswer | None:
    """Return the answer, or `None` if the connection ends without one."""
    try:
        return await caller.answer()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    finally:
        caller.close()


async def statuses(callers: list[RawCaller]) -> list[int]:
    """Return the status of each answer, 0 for a connection without one."""
    answers = [await answer_or_none(caller) for caller in callers]
    return [answer.status if answer else 0 for answer in answers]


@pytest.mark.parametrize('target', ['/book/x', '/read/x'])
async def test_requests_that_outlast_the_grace_are_answered(
    target: str,
) -> None:
    """A stop must not cut off requests that it has read."""
    async with full_cluster(run_s=10) as cluster:
        runner = cluster.runners['r1']
        running = await send_requests(cluster, target, SLOTS)
        await wait_until(lambda: len(runner.seen) == SLOTS, 'all slots busy')
        waiting = await send_requests(cluster, target, 2, SLOTS)
        await asyncio.sleep(0.1)
        await cluster.vms[0].stop()
        assert await statuses(waiting) == [503, 503]
        assert await statuses(running) == [502] * SLOTS
        assert len(runner.seen) == SLOTS


async def test_no_request_is_passed_on_late_in_the_grace() -> None:
    """A run that begins when the grace ends would be cut off."""
    async with full_cluster(run_s=3.3) as cluster:
        runner = cluster.runners['r1']
        stopping = asyncio.create_task(cluster.vms[0].stop())
        running = await send_requests(cluster, '/book/x', SLOTS)
        await wait_until(lambda: len(runner.seen) == SLOTS, 'all slots busy')
        waiting = await send_requests(cluster, '/book/x', 1, SLOTS)
        assert await statuses(running) == [200] * SLOTS
        assert await statuses(waiting) == [503]
        await stopping
        assert len(runner.seen) == SLOTS
