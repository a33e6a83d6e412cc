"""Loads of shards that other VMs own, as received by gossip.

A record carries no timestamp. So it is relayed only once, by a VM that had it
from the owner itself, and only while it is fresh. Records that were relayed
again would circulate forever, and gateways would route by outdated loads.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Final

from bramleybend.decisions.actions import ShardView
from bramleybend.wire.bramleybend_pb2 import ShardRecord

RELAY_WINDOW_S: Final = 3.0  # how long a record from its owner is relayed
MAX_AGE_S: Final = 30.0
MAX_RELAYED_RECORDS: Final = 16


@dataclass(frozen=True)
class RemoteLoad:
    """A load record, when it came, and whether the owner itself sent it."""

    record: ShardRecord
    received_at: float
    is_from_owner: bool


class RemoteLoads:
    """One load record for each shard that other VMs own.

    A record from the owner itself is kept while it is fresh.
    """

    def __init__(self, rng: Random) -> None:
        """Start without any records."""
        self._rng = rng
        self._loads: dict[tuple[str, int], RemoteLoad] = {}

    def add_records(
        self,
        sender: str,
        records: Iterable[ShardRecord],
        now: float,
    ) -> None:
        """Add records received from the process with incarnation `sender`."""
        for record in records:
            is_from_owner = record.owner == sender
            key = (record.service, record.shard)
            known = self._loads.get(key)
            if (
                is_from_owner
                or known is None
                or now - known.received_at > RELAY_WINDOW_S
            ):
                self._loads[key] = RemoteLoad(record, now, is_from_owner)

    def sample_for_relay(self, now: float) -> list[ShardRecord]:
        """Return a bounded random sample of fresh records from owners."""
        fresh = [
            load.record
            for load in self._loads.values()
            if load.is_from_owner and now - load.received_at <= RELAY_WINDOW_S
        ]
        return self._rng.sample(fresh, min(MAX_RELAYED_RECORDS, len(fresh)))

    def get_views(self, now: float) -> dict[tuple[str, int], ShardView]:
        """Return views of the records that aren't too old, by shard.

        Older records are dropped.
        """
        self._loads = {
            key: load
            for key, load in self._loads.items()
            if now - load.received_at <= MAX_AGE_S
        }
        return {
            key: _make_view(load.record, now - load.received_at)
            for key, load in self._loads.items()
        }


def _make_view(record: ShardRecord, age_s: float) -> ShardView:
    return ShardView(
        service=record.service,
        shard=record.shard,
        running=record.running,
        waiting=record.waiting,
        limit=record.limit,
        age_s=age_s,
    )
