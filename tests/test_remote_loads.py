"""Loads heard of from peers, and how far they are passed on."""

from random import Random

from bramleybend.scheduler.remote_loads import (
    MAX_AGE_S,
    MAX_RELAYED,
    RELAY_WINDOW_S,
    RemoteLoads,
)
from bramleybend.wire.bramleybend_pb2 import ShardRecord


def _record(shard: int, owner: str, running: int = 0) -> ShardRecord:
    return ShardRecord(
        service='briefing-llm', shard=shard, owner=owner, running=running
    )


def _running(shards: RemoteLoads, now: float) -> int:
    return shards.get_views(now)['briefing-llm', 0].running


def test_only_word_from_the_owner_itself_is_passed_on() -> None:
    shards = RemoteLoads(Random(1))
    shards.add_records('a', [_record(0, 'a'), _record(1, 'b')], 0)

    assert [record.shard for record in shards.sample_for_relay(0)] == [0]
    assert not shards.sample_for_relay(RELAY_WINDOW_S + 1)


def test_relayed_word_does_not_replace_fresh_word_of_the_owner() -> None:
    shards = RemoteLoads(Random(1))
    shards.add_records('a', [_record(0, 'a', running=5)], 0)
    shards.add_records('b', [_record(0, 'a', running=1)], 1)

    assert _running(shards, 1) == 5


def test_relayed_word_replaces_what_has_grown_old() -> None:
    shards = RemoteLoads(Random(1))
    shards.add_records('a', [_record(0, 'a', running=5)], 0)
    shards.add_records('b', [_record(0, 'a', running=1)], RELAY_WINDOW_S + 1)

    assert _running(shards, RELAY_WINDOW_S + 1) == 1


def test_a_new_owner_replaces_the_old_one_at_once() -> None:
    shards = RemoteLoads(Random(1))
    shards.add_records('a', [_record(0, 'a', running=5)], 0)
    shards.add_records('b', [_record(0, 'b', running=2)], 1)

    assert _running(shards, 1) == 2


def test_what_is_passed_on_is_bounded_and_old_word_is_dropped() -> None:
    shards = RemoteLoads(Random(1))
    shards.add_records('a', [_record(shard, 'a') for shard in range(100)], 0)

    assert len(shards.sample_for_relay(0)) == MAX_RELAYED
    assert not shards.get_views(MAX_AGE_S + 1)
