"""Polls a condition until it holds, instead of a fixed sleep."""

import asyncio
import inspect
import time
from collections.abc import Awaitable, Callable
from typing import Final

POLL_S: Final = 0.02
LIMIT_S: Final = 15


async def wait_until(
    condition: Callable[[], bool | Awaitable[bool]],
    what: str,
    limit_s: float = LIMIT_S,
) -> float:
    """Poll `condition` until it holds; return the seconds that it took.

    Raises TimeoutError with `what` in its message after `limit_s`.
    """
    started = time.monotonic()
    while time.monotonic() - started < limit_s:
        held = condition()
        if await held if inspect.isawaitable(held) else held:
            return time.monotonic() - started
        await asyncio.sleep(POLL_S)
    raise TimeoutError(f'not within {limit_s} s: {what}')
