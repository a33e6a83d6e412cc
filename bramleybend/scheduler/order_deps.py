"""Dependencies and inputs shared by the issuers of engine orders."""

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
    """A shard of a service that is divided into `shard_count` shards."""

    service: str
    shard: int
    shard_count: int


@dataclass(frozen=True)
class OrderDeps:
    """The parts of this process that issuers use."""

    vm: str
    log: LogService
    clock: Clock
    events: EventLog
    metrics: Metrics


@dataclass(frozen=True)
class OrderSources:
    """Accessors of the scheduler's state that issuers need."""

    terms: Callable[[], Terms | None]
    are_terms_fresh: Callable[[], bool]  # recent enough to act on
    runners: Callable[[], Sequence[Vm]]
    owned_shards: Callable[[], Sequence[OwnedShard]]
    is_drained: Callable[[str, int, str], bool]  # service, shard, runner


@dataclass(frozen=True)
class EnginePlan:
    """The declared state of a shard's engines, for one round of its issuer."""

    target: EngineTarget
    checks_fence: bool
    weight_store: WeightStore
    vms: Sequence[Vm]


class StreamState(Protocol):
    """State that is built from a stream's records in order."""

    @property
    def next_offset(self) -> int:
        """The next offset to apply."""

    def advance_first_offset(self, first_offset: int) -> None:
        """Handle that the log no longer has records before this offset."""


async def read_to_tail(
    log: LogService,
    stream: str,
    state: StreamState,
    apply: Callable[[LogRecord], None],
) -> bool:
    """Apply all records up to the log's tail; return whether that succeeded."""
    is_behind_tail = True
    while is_behind_tail:
        reply = await log.read(stream, state.next_offset)
        if isinstance(reply, Err):
            return False
        batch = reply.ok_value
        state.advance_first_offset(batch.first_offset)
        for record in batch.records:
            apply(record)
        is_behind_tail = len(batch.records) >= READ_LIMIT
    return True
