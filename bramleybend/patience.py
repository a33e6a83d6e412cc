"""Time limits that don't count while this process stands still.

A process that isn't run for two seconds wakes to find both the answer and the
timeout of two seconds. Taken by the clock alone it would call its peer silent.
"""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any, Final, TypeVar

STEPS: Final = 10

Returned = TypeVar('Returned')


async def within(
    limit_s: float, work: Coroutine[Any, Any, Returned]
) -> Returned:
    """Return what `work` returns; `TimeoutError` after `limit_s` seconds.

    The limit is waited for in steps, and a step counts once however long it
    took, so that an answer that came meanwhile is read before the next ends.
    """
    task = asyncio.create_task(work)
    try:
        for _ in range(STEPS):
            done, _ = await asyncio.wait((task,), timeout=limit_s / STEPS)
            if done:
                return task.result()
        raise TimeoutError(f'not within {limit_s} s')
    finally:
        task.cancel()


@asynccontextmanager
async def patience(limit_s: float) -> AsyncIterator[None]:
    """Raise `TimeoutError` from a body that takes over `limit_s` seconds.

    The limit is counted as in `within`. The body runs in the caller's own
    task, so what it opens is not lost if that task is cancelled.
    """
    async with asyncio.timeout(None) as limit:
        counting = asyncio.create_task(_count(limit, limit_s))
        try:
            yield
        finally:
            counting.cancel()


async def _count(limit: asyncio.Timeout, limit_s: float) -> None:
    for _ in range(STEPS):
        await asyncio.sleep(limit_s / STEPS)
    limit.reschedule(asyncio.get_running_loop().time())
