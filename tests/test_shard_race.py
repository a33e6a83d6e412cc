"""Concurrent asks of one request for a slot at several shards."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from bramleybend.answers import Answer, answer_not_run
from bramleybend.gateway.shard_race import (
    MAX_CONCURRENT_ASKS,
    AskResult,
    AskShard,
    ShardRace,
)
from bramleybend.gateway.slot import Slot
from bramleybend.wire.bramleybend_pb2 import Ended, Refused

LONG_S = 30
background_tasks: set[asyncio.Task[None]] = set()
NO_CAPACITY = Refused(reason='deadline_unmet', shed=True)


class _Slot(Slot):
    """A granted slot that records its release."""

    def __init__(self) -> None:
        self.ends: list[Ended] = []

    async def release(self, ended: Ended) -> None:
        self.ends.append(ended)


@dataclass
class _Shards:
    """Shards that answer after a delay, or not at all."""

    answers: dict[int, tuple[float, AskResult]]
    asked: list[tuple[int, bool]] = field(default_factory=list)
    cancelled: list[int] = field(default_factory=list)

    async def ask(self, shard: int, is_extra: bool) -> AskResult:
        self.asked.append((shard, is_extra))
        reply_delay_s, found = self.answers.get(shard, (LONG_S, NO_CAPACITY))
        try:
            await asyncio.sleep(reply_delay_s)
        except asyncio.CancelledError:
            self.cancelled.append(shard)
            raise
        return found


def _race(ask: AskShard, shards: Sequence[int]) -> ShardRace:
    return ShardRace(
        ask,
        shards,
        lambda work: background_tasks.add(asyncio.create_task(work)),
    )


async def test_a_request_waits_at_other_shards_after_a_delay() -> None:
    """Guards against lower tiers that start at another shard meanwhile."""
    slot = _Slot()
    shards = _Shards({1: (0, slot)})
    assert await _race(shards.ask, [0, 1]).run(0.05) is slot
    assert shards.asked == [(0, False), (1, True)]
    assert shards.cancelled == [0]
    assert not slot.ends


async def test_only_the_best_shard_is_asked_while_there_is_time() -> None:
    """Guards against requests that lengthen every shard's queue."""
    slot = _Slot()
    shards = _Shards({0: (0.05, slot)})
    assert await _race(shards.ask, [0, 1, 2]).run(LONG_S) is slot
    assert shards.asked == [(0, False)]


async def test_a_second_slot_is_given_back() -> None:
    """Guards against holding a second slot that nobody uses."""
    slots = [_Slot(), _Slot()]
    both_asked = asyncio.Event()

    async def ask(shard: int, is_extra: bool) -> AskResult:
        if is_extra:
            both_asked.set()
        await both_asked.wait()
        return slots[shard]

    used = await _race(ask, [0, 1]).run(0)
    await asyncio.gather(*background_tasks)
    given_back = [slot for slot in slots if slot.ends]
    assert [each.outcome for each in given_back[0].ends] == ['not_sent']
    assert [slot for slot in slots if not slot.ends] == [used]


async def test_the_refusals_of_all_shards_are_one_refusal() -> None:
    shards = _Shards({number: (0, NO_CAPACITY) for number in range(9)})
    assert await _race(shards.ask, range(9)).run(LONG_S) is NO_CAPACITY
    assert [shard for shard, _ in shards.asked] == list(range(9))


async def test_few_shards_are_asked_at_once() -> None:
    """Guards against as many concurrent asks as there are shards."""
    shards = _Shards({})
    race = asyncio.create_task(_race(shards.ask, range(40)).run(0))
    await asyncio.sleep(1)
    assert len(shards.asked) == MAX_CONCURRENT_ASKS
    race.cancel()
    await asyncio.gather(race, return_exceptions=True)
    assert sorted(shards.cancelled) == list(range(MAX_CONCURRENT_ASKS))


async def test_a_final_answer_ends_the_search() -> None:
    answer: Answer = answer_not_run('quarantined', timedelta(seconds=1))
    shards = _Shards({0: (0, answer)})
    assert await _race(shards.ask, [0, 1]).run(LONG_S) is answer
    assert shards.asked == [(0, False)]


async def test_a_slot_that_was_found_is_not_lost_with_a_caller_that_leaves() -> (
    None
):
    """Guards against slots that stay taken after their caller has left.

    The race is cancelled while it still cancels the ask that lost, which
    takes a while. The slot that was granted must be returned or released.
    """
    slot = _Slot()

    async def ask(shard: int, is_extra: bool) -> AskResult:
        if is_extra:
            return slot
        try:
            await asyncio.sleep(LONG_S)
        finally:
            await asyncio.sleep(0.3)  # its stream takes a while to close
        return NO_CAPACITY

    racing = asyncio.create_task(_race(ask, [0, 1]).run(0))
    await asyncio.sleep(0.1)
    racing.cancel()
    found = (await asyncio.gather(racing, return_exceptions=True))[0]
    assert found is slot or slot.ends
