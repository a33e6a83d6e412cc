"""Time limits of waits in progress, which a planned stop brings forward."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from math import inf


class Deadlines:
    """The time limits of all waits of one kind."""

    def __init__(self) -> None:
        """Start without waits."""
        self._open: set[asyncio.Timeout] = set()
        self._ends_at = inf  # by the clock of the event loop

    @property
    def has_ended(self) -> bool:
        """Whether all waits are over, and further ones end at once."""
        return asyncio.get_running_loop().time() >= self._ends_at

    @asynccontextmanager
    async def limit(self, seconds: float) -> AsyncIterator[None]:
        """Raise `TimeoutError` unless the block ends in time."""
        ends_at = asyncio.get_running_loop().time() + seconds
        async with asyncio.timeout_at(min(ends_at, self._ends_at)) as timeout:
            self._open.add(timeout)
            try:
                yield
            finally:
                self._open.discard(timeout)

    def end_within(self, seconds: float) -> None:
        """End all waits after this time, those that begin later included."""
        self._ends_at = asyncio.get_running_loop().time() + seconds
        for timeout in self._open:
            ends_at = timeout.when()
            is_later = ends_at is None or ends_at > self._ends_at
            if is_later and not timeout.expired():
                timeout.reschedule(self._ends_at)
