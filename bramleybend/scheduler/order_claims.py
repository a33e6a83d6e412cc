"""Takes and holds the claim on a shard's engines, on the log."""

import uuid
from math import inf
from typing import Any, Final

from bramleybend.clients.log_service import LogRecord
from bramleybend.errors import ErrorKind
from bramleybend.metrics import Metric
from bramleybend.scheduler.order_deps import (
    OrderDeps,
    ShardKey,
    read_to_tail,
)
from bramleybend.state.order_records import ClaimRecord, claims_stream
from bramleybend.state.order_rules import IssuerClaims

# Two VMs that both believe to own a shard take the claim from each other; so
# seldom that their appends and orders do no harm until views agree.
CLAIM_INTERVAL_S: Final = 5.0


class ClaimHolder:
    """Holds one shard's claim, or knows that it does not."""

    def __init__(self, key: ShardKey, deps: OrderDeps) -> None:
        """Hold nothing yet."""
        self._key = key
        self._deps = deps
        self._stream = claims_stream(key.service)
        self._claims = self._make_claims()
        self._last_claim_at = -inf

    @property
    def fence(self) -> int | None:
        """The fencing number to give orders with, while the claim holds."""
        return self._claims.fence if self._claims.holds else None

    async def acquire(self, *, checks_fence: bool) -> bool:
        """Read on, claim if need be, and say whether orders may go out now.

        While the log is down nobody can see a later claim. Engines that check
        fences refuse the orders of whoever was overtaken, so their holder goes
        on. Where they do not check, an overtaken holder's orders would be
        carried out; so there nothing is issued until the stream can be read.
        """
        readable = await self._read_claims()
        if readable and not self._claims.holds:
            await self._append_claim()
            readable = await self._read_claims()
        return self._claims.holds and (readable or checks_fence)

    def abandon(self) -> None:
        """Give the claim up: an engine knows of a later one."""
        self._deps.events.record('orders_superseded', **self._event_fields())
        self._claims = self._make_claims()

    async def _append_claim(self) -> None:
        now = self._deps.clock.monotonic()
        if now - self._last_claim_at < CLAIM_INTERVAL_S:
            return
        self._last_claim_at = now
        if self._claims.superseded:
            self._claims = self._make_claims()
        # A lost reply is settled by reading the claim's id back. The same id
        # is sent again if it is not there: its first copy is what counts.
        reply = await self._deps.log.append(
            self._stream,
            [self._claims.own.encode()],
        )
        problem = reply.err()
        if problem and problem.kind is not ErrorKind.LOG_REPLY_LOST:
            self._deps.events.record('orders_unclaimed', **self._event_fields())

    async def _read_claims(self) -> bool:
        """Read to the tail; whether the log let us."""
        before = self._claims.fence, self._claims.superseded
        readable = await read_to_tail(
            self._deps.log,
            self._stream,
            self._claims,
            self._apply,
        )
        if (self._claims.fence, self._claims.superseded) != before:
            self._record_claim_event()
        return readable

    def _record_claim_event(self) -> None:
        event = 'orders_claimed' if self._claims.holds else 'orders_superseded'
        self._deps.events.record(
            event,
            fence=self._claims.fence,
            **self._event_fields(),
        )

    def _apply(self, record: LogRecord) -> None:
        if self._claims.apply(record.offset, record.data).is_err():
            self._deps.metrics.count(Metric.BAD_RECORDS, stream='orders')

    def _make_claims(self) -> IssuerClaims:
        return IssuerClaims(
            ClaimRecord(
                claim_id=uuid.uuid4().hex,
                shard=self._key.shard,
                shards=self._key.shard_count,
                by=self._deps.vm,
            ),
        )

    def _event_fields(self) -> dict[str, Any]:
        return {
            'service': self._key.service,
            'shard': self._key.shard,
            'vm': self._deps.vm,
        }
