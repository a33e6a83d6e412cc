"""Loads heard of from peers, and how far they are passed on."""

from random import Random

from bramleybend.scheduler.heard_shards import (
    KEEP_S,
    MAX_RELAYED,
    RELAY_S,
    HeardShards,
)
from bramleybend.wire.bramleybend_pb2 import ShardRecord


def _record(shard: int, owner: str, running: int = 0) -> ShardRecord:
    return ShardRecord(
        service='briefing-llm', shard=shard, owner=owner, running=running
    )


def _running(shards: HeardShards, now: float) -> int:
    return shards.views(now)['briefing-llm', 0].running


def test_only_word_from_the_owner_itself_is_passed_on() -> None:
    shards = HeardShards(Random(1))
    shards.take('a', [_record(0, 'a'), _record(1, 'b')], 0)

    assert [record.shard for record in shards.to_relay(0)] == [0]
    assert not shards.to_relay(RELAY_S + 1)


def test_relayed_word_does_not_replace_fresh_word_of_the_owner() -> None:
    shards = HeardShards(Random(1))
    shards.take('a', [_record(0, 'a', running=5)], 0)
    shards.take('b', [_record(0, 'a', running=1)], 1)

    assert _running(shards, 1) == 5


def test_relayed_word_replaces_what_has_grown_old() -> None:
    shards = HeardShards(Random(1))
    shards.take('a', [_record(0, 'a', running=5)], 0)
    shards.take('b', [_record(0, 'a', running=1)], RELAY_S + 1)

    assert _running(shards, RELAY_S + 1) == 1


def test_a_new_owner_replaces_the_old_one_at_once() -> None:
    shards = HeardShards(Random(1))
    shards.take('a', [_record(0, 'a', running=5)], 0)
    shards.take('b', [_record(0, 'b', running=2)], 1)

    assert _running(shards, 1) == 2


def test_what_is_passed_on_is_bounded_and_old_word_is_dropped() -> None:
    shards = HeardShards(Random(1))
    shards.take('a', [_record(shard, 'a') for shard in range(100)], 0)

    assert len(shards.to_relay(0)) == MAX_RELAYED
    assert not shards.views(KEEP_S + 1)
