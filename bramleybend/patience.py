"""Time limits that don't count while this process stands still.

A process that isn't run for two seconds wakes to find both the answer and the
timeout of two seconds. Taken by the clock alone it would call its peer silent.
"""

import asyncio
from collections.abc import Coroutine
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
