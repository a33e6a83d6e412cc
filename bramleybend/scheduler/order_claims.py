"""The claim on a shard's engines, acquired and checked on the log."""

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

# Two VMs that both believe they own a shard take the claim from each other. At
# this interval their appends and orders do no harm until their views agree.
CLAIM_INTERVAL_S: Final = 5.0


class ClaimHolder:
    """Acquires one shard's claim and tracks whether it is still held."""

    def __init__(self, key: ShardKey, deps: OrderDeps) -> None:
        """Start without a claim."""
        self._key = key
        self._deps = deps
        self._stream = claims_stream(key.service)
        self._claims = self._make_claims()
        self._last_claim_at = -inf

    @property
    def fence(self) -> int | None:
        """The fence to send with orders; None while no claim is held."""
        return self._claims.fence if self._claims.is_holder else None

    async def acquire(self, *, checks_fence: bool) -> bool:
        """Read the claims, claim if needed; return whether orders may be sent.

        While the log is down, a holder can't see whether a later claim
        superseded its own. Engines that check fences refuse orders of a
        superseded holder, so it may go on sending. Engines that don't check
        them would execute such orders, so nothing is sent to them until the
        stream can be read.
        """
        is_readable = await self._read_claims()
        if is_readable and not self._claims.is_holder:
            await self._append_claim()
            is_readable = await self._read_claims()
        return self._claims.is_holder and (is_readable or checks_fence)

    def abandon(self) -> None:
        """Give up the claim, because an engine knows a later one."""
        self._deps.events.record('orders_superseded', **self._event_fields())
        self._claims = self._make_claims()

    async def _append_claim(self) -> None:
        now = self._deps.clock.monotonic()
        if now - self._last_claim_at < CLAIM_INTERVAL_S:
            return
        self._last_claim_at = now
        if self._claims.is_superseded:
            self._claims = self._make_claims()
        # Reading the stream shows whether a claim whose reply was lost was
        # appended. If not, the claim is appended again under the same id; of
        # several copies the first one counts.
        reply = await self._deps.log.append(
            self._stream,
            [self._claims.own.encode()],
        )
        problem = reply.err()
        if problem and problem.kind is not ErrorKind.LOG_REPLY_LOST:
            self._deps.events.record('orders_unclaimed', **self._event_fields())

    async def _read_claims(self) -> bool:
        """Read the claims to the log's tail; return whether that succeeded."""
        previous = self._claims.fence, self._claims.is_superseded
        is_readable = await read_to_tail(
            self._deps.log,
            self._stream,
            self._claims,
            self._apply_record,
        )
        if (self._claims.fence, self._claims.is_superseded) != previous:
            self._record_claim_event()
        return is_readable

    def _record_claim_event(self) -> None:
        event = (
            'orders_claimed' if self._claims.is_holder else 'orders_superseded'
        )
        self._deps.events.record(
            event,
            fence=self._claims.fence,
            **self._event_fields(),
        )

    def _apply_record(self, record: LogRecord) -> None:
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
