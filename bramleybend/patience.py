"""Timeouts that tolerate pauses of the process itself.

A process that isn't scheduled for two seconds finds both the answer and an
expired timeout of two seconds when it resumes. By the clock alone it would
wrongly treat its peer as silent.
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
    """Return the result of `work`; raise `TimeoutError` after `limit_s`.

    The limit is waited for in steps. A step counts once, however long it
    took, so an answer that arrived during a pause is read before the limit.
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
    """Raise `TimeoutError` in a body that takes more than `limit_s` seconds.

    The limit is counted as in `within`. The body runs in the caller's own
    task, so resources that it opens aren't lost if that task is cancelled.
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
