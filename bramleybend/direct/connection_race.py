"""Races several ways to open a connection, one started after the other."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from bramleybend.clients.channel import Channel

Way = Callable[[], Awaitable[Channel]]


async def race(ways: Sequence[Way], stagger_s: float) -> Channel:
    """Return the first connection; raise the first `OSError` if none opens.

    A way is started once the one before it has failed or has taken `stagger_s`.
    """
    waiting = list(ways)
    started: set[asyncio.Task[Channel]] = set()
    failure: OSError | None = None
    try:
        while waiting or started:
            if waiting:
                started.add(asyncio.create_task(_opened(waiting.pop(0))))
            timeout_s = stagger_s if waiting else None
            winner, failure = await _wait(started, timeout_s, failure)
            if winner is not None:
                return winner
    finally:
        for task in started:
            _discard(task)
    assert failure is not None
    raise failure


async def _wait(
    tasks: set['asyncio.Task[Channel]'],
    timeout_s: float | None,
    failure: OSError | None,
) -> tuple[Channel | None, OSError | None]:
    """Wait for one task; return its connection and the first failure.

    Tasks whose outcome was taken are removed from `tasks`.
    """
    done, _ = await asyncio.wait(
        tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
    )
    for task in done:
        tasks.remove(task)
        try:
            return task.result(), failure
        except OSError as exc:
            failure = failure or exc
    return None, failure


async def _opened(way: Way) -> Channel:
    return await way()


def _discard(task: 'asyncio.Task[Channel]') -> None:
    """Cancel an attempt that is no longer needed; close what it opened."""
    task.add_done_callback(_close)
    task.cancel()


def _close(task: 'asyncio.Task[Channel]') -> None:
    if not task.cancelled() and task.exception() is None:
        task.result().abort()
