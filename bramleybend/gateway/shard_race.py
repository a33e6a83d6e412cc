"""Asks the shards of a service for one slot, at first only the best one.

A request that waits at one shard is turned away there in the end, while
another shard may be starting lower tiers. So once half of its time is gone it
waits at a few others too, and the first slot that is granted counts.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any, Final, TypeAlias

from bramleybend.answers import Answer
from bramleybend.gateway.attempt import End
from bramleybend.gateway.slots import Slot
from bramleybend.wire.bramleybend_pb2 import Ended, Refused

MOST_AT_ONCE: Final = 4
NEXT_SHARD_S: Final = 0.1

Found: TypeAlias = Slot | Answer | Refused
AskShard: TypeAlias = Callable[[int, bool], Awaitable[Found]]
Leave: TypeAlias = Callable[[Coroutine[Any, Any, None]], None]


class ShardRace:
    """One request's asks, each at another shard; used once."""

    def __init__(
        self,
        ask_shard: AskShard,
        shards: Sequence[int],
        leave: Leave,
    ) -> None:
        """Take the shards in rank.

        `ask_shard` also hears whether another one was asked before; `leave`
        finishes what nobody waits for.
        """
        self._ask_shard = ask_shard
        self._leave = leave
        self._left = deque(shards)
        self._asking: set[asyncio.Task[Found]] = set()
        self._asked = False

    async def run(self, patience_s: float) -> Found:
        """Return the first slot or final answer, else the last refusal.

        The second shard is asked when the first refuses, or after
        `patience_s` seconds.
        """
        found: Found | None = None
        try:
            while found is None:
                self._ask_next()
                found = await self._first_ended(patience_s)
                if found is None:
                    patience_s = NEXT_SHARD_S
                elif self._may_go_on(found):
                    found = None
        finally:
            await self._finish(found)
        return found

    async def _finish(self, found: Found | None) -> None:
        """Let the other asks go; cancelled meanwhile, give back the winner."""
        letting_go = asyncio.create_task(self._let_go())
        try:
            await asyncio.shield(letting_go)
        except asyncio.CancelledError:
            self._give_back(found)
            raise

    def _may_go_on(self, found: Found) -> bool:
        is_last = not self._asking and not self._left
        return isinstance(found, Refused) and not is_last

    def _ask_next(self) -> None:
        if self._left and len(self._asking) < MOST_AT_ONCE:
            asking = self._ask_shard(self._left.popleft(), self._asked)
            self._asking.add(asyncio.ensure_future(asking))
            self._asked = True

    async def _first_ended(self, patience_s: float) -> Found | None:
        more = self._left and len(self._asking) < MOST_AT_ONCE
        done, _ = await asyncio.wait(
            self._asking,
            timeout=patience_s if more else None,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            return None
        # One at a time: what else is done is met, or let go, afterwards.
        task = done.pop()
        self._asking.discard(task)
        return task.result()

    async def _let_go(self) -> None:
        """Give up what still waits, and what was granted beside the winner."""
        for task in self._asking:
            task.cancel()
        ended = await asyncio.gather(*self._asking, return_exceptions=True)
        for found in ended:
            self._give_back(found)

    def _give_back(self, found: object) -> None:
        if isinstance(found, Slot):
            self._leave(found.end(Ended(outcome=End.NOT_SENT)))
