"""Loads of shards that other VMs own, as far as gossip brought them here.

A record has no time of its own. So it is passed on once only, by whoever had
it from the owner itself, and only while it is fresh: records that went round
would come back as news for ever, and gateways would steer by old loads.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Final

from bramleybend.decisions.actions import ShardView
from bramleybend.wire.bramleybend_pb2 import ShardRecord

RELAY_WINDOW_S: Final = 3.0  # how long a record from its owner is passed on
MAX_AGE_S: Final = 30.0
MAX_RELAYED: Final = 16


@dataclass(frozen=True)
class RemoteLoad:
    """One record, when it came, and whether from the owner itself."""

    record: ShardRecord
    received_at: float
    is_from_owner: bool


class RemoteLoads:
    """The newest record of each shard that this VM does not own."""

    def __init__(self, rng: Random) -> None:
        """Know no loads."""
        self._rng = rng
        self._loads: dict[tuple[str, int], RemoteLoad] = {}

    def add_records(
        self,
        sender: str,
        records: Iterable[ShardRecord],
        now: float,
    ) -> None:
        """Take in records from the process of incarnation `sender`."""
        for record in records:
            direct = record.owner == sender
            key = (record.service, record.shard)
            known = self._loads.get(key)
            if (
                direct
                or known is None
                or now - known.received_at > RELAY_WINDOW_S
            ):
                self._loads[key] = RemoteLoad(record, now, direct)

    def sample_for_relay(self, now: float) -> list[ShardRecord]:
        """Return a bounded random few that came from their owners lately."""
        fresh = [
            heard.record
            for heard in self._loads.values()
            if heard.is_from_owner and now - heard.received_at <= RELAY_WINDOW_S
        ]
        return self._rng.sample(fresh, min(MAX_RELAYED, len(fresh)))

    def get_views(self, now: float) -> dict[tuple[str, int], ShardView]:
        """Return what is known and not too old, by service and shard."""
        self._loads = {
            key: heard
            for key, heard in self._loads.items()
            if now - heard.received_at <= MAX_AGE_S
        }
        return {
            key: _make_view(heard.record, now - heard.received_at)
            for key, heard in self._loads.items()
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
