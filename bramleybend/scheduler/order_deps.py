"""What all parts of the issuer of engine orders work with."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from result import Err

from bramleybend.clients.log_service import (
    READ_LIMIT,
    LogRecord,
    LogService,
)
from bramleybend.clock import Clock
from bramleybend.events import EventLog
from bramleybend.metrics import Metrics
from bramleybend.models import EngineTarget, Terms, Vm, WeightStore


OwnedShard: TypeAlias = tuple[str, int]  # service and shard


@dataclass(frozen=True)
class ShardKey:
    """One shard under one number of shards."""

    service: str
    shard: int
    shard_count: int


@dataclass(frozen=True)
class OrderDeps:
    """The process's own parts."""

    vm: str
    log: LogService
    clock: Clock
    events: EventLog
    metrics: Metrics


@dataclass(frozen=True)
class OrderSources:
    """What issuers need to know of the scheduler around them."""

    terms: Callable[[], Terms | None]
    are_terms_fresh: Callable[[], bool]  # the terms may be acted on
    runners: Callable[[], Sequence[Vm]]
    owned_shards: Callable[[], Sequence[OwnedShard]]
    is_drained: Callable[[str, int, str], bool]  # service, shard, runner


@dataclass(frozen=True)
class EnginePlan:
    """What one round of an issuer works towards."""

    target: EngineTarget
    checks_fence: bool
    weight_store: WeightStore
    vms: Sequence[Vm]


class StreamState(Protocol):
    """Rules that are fed a stream's records in order."""

    @property
    def position(self) -> int:
        """The next offset to apply."""

    def see_first_offset(self, first_offset: int) -> None:
        """Note what the log has forgotten."""


async def read_to_tail(
    log: LogService,
    stream: str,
    book: StreamState,
    apply: Callable[[LogRecord], None],
) -> bool:
    """Apply all records up to the tail; return whether the log let us."""
    more = True
    while more:
        reply = await log.read(stream, book.position)
        if isinstance(reply, Err):
            return False
        batch = reply.ok_value
        book.see_first_offset(batch.first_offset)
        for record in batch.records:
            apply(record)
        more = len(batch.records) >= READ_LIMIT
    return True
