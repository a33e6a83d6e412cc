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

RELAY_S: Final = 3.0  # how long a record from its owner is passed on
KEEP_S: Final = 30.0
MAX_RELAYED: Final = 16


@dataclass(frozen=True)
class Heard:
    """One record, when it came, and whether from the owner itself."""

    record: ShardRecord
    at: float
    direct: bool


class HeardShards:
    """The newest record of each shard that this VM does not own."""

    def __init__(self, rng: Random) -> None:
        """Know no loads."""
        self._rng = rng
        self._heard: dict[tuple[str, int], Heard] = {}

    def take(
        self,
        sender: str,
        records: Iterable[ShardRecord],
        now: float,
    ) -> None:
        """Take in records from the process of incarnation `sender`."""
        for record in records:
            direct = record.owner == sender
            key = (record.service, record.shard)
            known = self._heard.get(key)
            if direct or known is None or now - known.at > RELAY_S:
                self._heard[key] = Heard(record, now, direct)

    def to_relay(self, now: float) -> list[ShardRecord]:
        """Return a bounded random few that came from their owners lately."""
        fresh = [
            heard.record
            for heard in self._heard.values()
            if heard.direct and now - heard.at <= RELAY_S
        ]
        return self._rng.sample(fresh, min(MAX_RELAYED, len(fresh)))

    def views(self, now: float) -> dict[tuple[str, int], ShardView]:
        """Return what is known and not too old, by service and shard."""
        self._heard = {
            key: heard
            for key, heard in self._heard.items()
            if now - heard.at <= KEEP_S
        }
        return {
            key: _view(heard.record, now - heard.at)
            for key, heard in self._heard.items()
        }


def _view(record: ShardRecord, age_s: float) -> ShardView:
    return ShardView(
        service=record.service,
        shard=record.shard,
        running=record.running,
        waiting=record.waiting,
        limit=record.limit,
        age_s=age_s,
    )
