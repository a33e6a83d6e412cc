"""Loads received from peers, and when they are relayed."""

from random import Random

from bramleybend.scheduler.remote_loads import (
    MAX_AGE_S,
    MAX_RELAYED_RECORDS,
    RELAY_WINDOW_S,
    RemoteLoads,
)
from bramleybend.wire.bramleybend_pb2 import ShardRecord


def _record(shard: int, owner: str, running: int = 0) -> ShardRecord:
    return ShardRecord(
        service='briefing-llm', shard=shard, owner=owner, running=running
    )


def _running_on_shard_0(loads: RemoteLoads, now: float) -> int:
    return loads.get_views(now)['briefing-llm', 0].running


def test_only_records_from_the_owner_are_relayed() -> None:
    loads = RemoteLoads(Random(1))
    loads.add_records('a', [_record(0, 'a'), _record(1, 'b')], 0)

    assert [record.shard for record in loads.sample_for_relay(0)] == [0]
    assert not loads.sample_for_relay(RELAY_WINDOW_S + 1)


def test_relayed_record_does_not_replace_fresh_record_of_the_owner() -> None:
    loads = RemoteLoads(Random(1))
    loads.add_records('a', [_record(0, 'a', running=5)], 0)
    loads.add_records('b', [_record(0, 'a', running=1)], 1)

    assert _running_on_shard_0(loads, 1) == 5


def test_relayed_record_replaces_an_old_one() -> None:
    loads = RemoteLoads(Random(1))
    loads.add_records('a', [_record(0, 'a', running=5)], 0)
    loads.add_records('b', [_record(0, 'a', running=1)], RELAY_WINDOW_S + 1)

    assert _running_on_shard_0(loads, RELAY_WINDOW_S + 1) == 1


def test_a_new_owner_replaces_the_old_one_at_once() -> None:
    loads = RemoteLoads(Random(1))
    loads.add_records('a', [_record(0, 'a', running=5)], 0)
    loads.add_records('b', [_record(0, 'b', running=2)], 1)

    assert _running_on_shard_0(loads, 1) == 2


def test_relay_is_bounded_and_old_records_are_dropped() -> None:
    loads = RemoteLoads(Random(1))
    loads.add_records('a', [_record(shard, 'a') for shard in range(100)], 0)

    assert len(loads.sample_for_relay(0)) == MAX_RELAYED_RECORDS
    assert not loads.get_views(MAX_AGE_S + 1)
