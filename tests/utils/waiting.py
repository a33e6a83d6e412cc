"""Polls a condition until it holds, instead of a fixed sleep."""

import asyncio
import inspect
import time
from collections.abc import Awaitable, Callable
from typing import Final

POLL_PERIOD_S: Final = 0.02
DEFAULT_LIMIT_S: Final = 15


async def wait_until(
    condition: Callable[[], bool | Awaitable[bool]],
    what: str,
    limit_s: float = DEFAULT_LIMIT_S,
) -> float:
    """Poll `condition` until it holds; return the seconds that it took.

    Raises TimeoutError with `what` in its message after `limit_s`.
    """
    started = time.monotonic()
    while time.monotonic() - started < limit_s:
        is_met = condition()
        if await is_met if inspect.isawaitable(is_met) else is_met:
            return time.monotonic() - started
        await asyncio.sleep(POLL_PERIOD_S)
    raise TimeoutError(f'not within {limit_s} s: {what}')
