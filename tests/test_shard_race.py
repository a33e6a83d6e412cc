"""One request's asks for a slot, each at another shard."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from bramleybend.answers import Answer, not_run
from bramleybend.gateway.shard_race import (
    MAX_CONCURRENT_ASKS,
    AskResult,
    AskShard,
    ShardRace,
)
from bramleybend.gateway.slot import Slot
from bramleybend.wire.bramleybend_pb2 import Ended, Refused

LONG_S = 30
left: set[asyncio.Task[None]] = set()
FULL = Refused(reason='deadline_unmet', shed=True)


class _Slot(Slot):
    """A granted slot that only notes how it ended."""

    def __init__(self) -> None:
        self.ends: list[Ended] = []

    async def release(self, ended: Ended) -> None:
        self.ends.append(ended)


@dataclass
class _Shards:
    """Answer after some time, or not at all."""

    answers: dict[int, tuple[float, AskResult]]
    asked: list[tuple[int, bool]] = field(default_factory=list)
    given_up: list[int] = field(default_factory=list)

    async def ask(self, shard: int, is_extra: bool) -> AskResult:
        self.asked.append((shard, is_extra))
        after_s, found = self.answers.get(shard, (LONG_S, FULL))
        try:
            await asyncio.sleep(after_s)
        except asyncio.CancelledError:
            self.given_up.append(shard)
            raise
        return found


def _race(ask: AskShard, shards: Sequence[int]) -> ShardRace:
    return ShardRace(
        ask, shards, lambda work: left.add(asyncio.create_task(work))
    )


async def test_a_request_waits_elsewhere_too_once_its_patience_is_over() -> (
    None
):
    """Guards against lower tiers that start at a shard it doesn't wait at."""
    slot = _Slot()
    shards = _Shards({1: (0, slot)})
    assert await _race(shards.ask, [0, 1]).run(0.05) is slot
    assert shards.asked == [(0, False), (1, True)]
    assert shards.given_up == [0]
    assert not slot.ends


async def test_only_the_best_shard_is_asked_while_there_is_time() -> None:
    """Guards against a request that counts in every shard's queue."""
    slot = _Slot()
    shards = _Shards({0: (0.05, slot)})
    assert await _race(shards.ask, [0, 1, 2]).run(LONG_S) is slot
    assert shards.asked == [(0, False)]


async def test_a_second_slot_is_given_back() -> None:
    """Guards against a slot that nobody uses until its timeout."""
    slots = [_Slot(), _Slot()]
    both_asked = asyncio.Event()

    async def ask(shard: int, is_extra: bool) -> AskResult:
        if is_extra:
            both_asked.set()
        await both_asked.wait()
        return slots[shard]

    kept = await _race(ask, [0, 1]).run(0)
    await asyncio.gather(*left)
    given_back = [slot for slot in slots if slot.ends]
    assert [each.outcome for each in given_back[0].ends] == ['not_sent']
    assert [slot for slot in slots if not slot.ends] == [kept]


async def test_the_refusals_of_all_shards_are_one_refusal() -> None:
    shards = _Shards({number: (0, FULL) for number in range(9)})
    assert await _race(shards.ask, range(9)).run(LONG_S) is FULL
    assert [shard for shard, _ in shards.asked] == list(range(9))


async def test_few_shards_are_asked_at_once() -> None:
    """Guards against asks that grow with the number of shards."""
    shards = _Shards({})
    race = asyncio.create_task(_race(shards.ask, range(40)).run(0))
    await asyncio.sleep(1)
    assert len(shards.asked) == MAX_CONCURRENT_ASKS
    race.cancel()
    await asyncio.gather(race, return_exceptions=True)
    assert sorted(shards.given_up) == list(range(MAX_CONCURRENT_ASKS))


async def test_a_final_answer_ends_the_search() -> None:
    answer: Answer = not_run('quarantined', timedelta(seconds=1))
    shards = _Shards({0: (0, answer)})
    assert await _race(shards.ask, [0, 1]).run(LONG_S) is answer
    assert shards.asked == [(0, False)]


async def test_a_slot_that_was_found_is_not_lost_with_a_caller_that_leaves() -> (
    None
):
    """Guards against slots that stay taken while nobody uses them."""
    slot = _Slot()

    async def ask(shard: int, is_extra: bool) -> AskResult:
        if is_extra:
            return slot
        try:
            await asyncio.sleep(LONG_S)
        finally:
            await asyncio.sleep(0.3)  # its stream takes a while to close
        return FULL

    racing = asyncio.create_task(_race(ask, [0, 1]).run(0))
    await asyncio.sleep(0.1)
    racing.cancel()
    found = (await asyncio.gather(racing, return_exceptions=True))[0]
    assert found is slot or slot.ends
