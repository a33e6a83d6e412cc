"""Asks the shards of a service for one slot, one shard after another.

A request that waits at one shard may be refused there while another shard
starts lower tiers. After a delay (half of the time that it has left) it
therefore waits at a few other shards too. It takes the first slot that is
granted and releases any other.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any, Final, TypeAlias

from bramleybend.answers import Answer
from bramleybend.gateway.attempt import EndKind
from bramleybend.gateway.slot import Slot
from bramleybend.wire.bramleybend_pb2 import Ended, Refused

MAX_CONCURRENT_ASKS: Final = 4
NEXT_SHARD_DELAY_S: Final = 0.1

AskResult: TypeAlias = Slot | Answer | Refused
AskShard: TypeAlias = Callable[[int, bool], Awaitable[AskResult]]
RunInBackground: TypeAlias = Callable[[Coroutine[Any, Any, None]], None]


class ShardRace:
    """The concurrent asks of one request, one for each shard; used once."""

    def __init__(
        self,
        ask_shard: AskShard,
        shards: Sequence[int],
        run_in_background: RunInBackground,
    ) -> None:
        """Take the shards, best first.

        `ask_shard` gets the shard and whether another was asked before it;
        `run_in_background` runs work that nobody awaits.
        """
        self._ask_shard = ask_shard
        self._run_in_background = run_in_background
        self._remaining_shards = deque(shards)
        self._pending_asks: set[asyncio.Task[AskResult]] = set()
        self._has_asked = False

    async def run(self, next_shard_delay_s: float) -> AskResult:
        """Return the first slot or final answer, else the last refusal.

        The second shard is asked when the first refuses, or after
        `next_shard_delay_s`.
        """
        found: AskResult | None = None
        try:
            while found is None:
                self._ask_next()
                found = await self._wait_for_result(next_shard_delay_s)
                if found is None:
                    next_shard_delay_s = NEXT_SHARD_DELAY_S
                elif self._should_continue(found):
                    found = None
        finally:
            await self._cancel_others(found)
        return found

    async def _cancel_others(self, found: AskResult | None) -> None:
        """Cancel the other asks; release `found` if this task is cancelled."""
        cancelling = asyncio.create_task(self._cancel_pending_asks())
        try:
            await asyncio.shield(cancelling)
        except asyncio.CancelledError:
            self._release_slot(found)
            raise

    def _should_continue(self, found: AskResult) -> bool:
        is_last = not self._pending_asks and not self._remaining_shards
        return isinstance(found, Refused) and not is_last

    def _ask_next(self) -> None:
        if (
            self._remaining_shards
            and len(self._pending_asks) < MAX_CONCURRENT_ASKS
        ):
            ask = self._ask_shard(
                self._remaining_shards.popleft(), self._has_asked
            )
            self._pending_asks.add(asyncio.ensure_future(ask))
            self._has_asked = True

    async def _wait_for_result(
        self, next_shard_delay_s: float
    ) -> AskResult | None:
        can_ask_more = (
            self._remaining_shards
            and len(self._pending_asks) < MAX_CONCURRENT_ASKS
        )
        done, _ = await asyncio.wait(
            self._pending_asks,
            timeout=next_shard_delay_s if can_ask_more else None,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            return None
        # Take one result only; the next call or the clean-up takes the others.
        task = done.pop()
        self._pending_asks.discard(task)
        return task.result()

    async def _cancel_pending_asks(self) -> None:
        """Cancel pending asks and release slots that they were granted."""
        for task in self._pending_asks:
            task.cancel()
        results = await asyncio.gather(
            *self._pending_asks, return_exceptions=True
        )
        for found in results:
            self._release_slot(found)

    def _release_slot(self, found: object) -> None:
        if isinstance(found, Slot):
            self._run_in_background(
                found.release(Ended(outcome=EndKind.NOT_SENT))
            )
