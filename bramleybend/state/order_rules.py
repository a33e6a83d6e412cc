"""Rules by which the log's records grant engine claims and load permits.

A claim allows a scheduler to send orders to engines; a permit allows a load
from the weight store to begin. Both follow from the order of a stream's
records alone, so no VM has to ask another one.
"""

from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from bramleybend.errors import Problem
from bramleybend.state.order_records import (
    ClaimRecord,
    LoadBegunRecord,
    LoadEndedRecord,
    decode_claim,
    decode_load,
)

# An issuer returns a permit that it hasn't used by then: after a longer pause
# it would begin a load that other VMs have stopped counting.
PERMIT_VALIDITY_S: Final = 5.0


class IssuerClaims:
    """The claims on a service's engines, as one claimant has read them."""

    def __init__(self, own: ClaimRecord) -> None:
        """Hold no claim until the own one is read back."""
        self.own = own
        self.fence: int | None = None
        self.next_offset = 0  # the next offset to apply
        self._seen_claim_ids: set[str] = set()
        self._superseded = False

    @property
    def is_holder(self) -> bool:
        """Whether the own claim is the last one among the records read."""
        return self.fence is not None and not self._superseded

    @property
    def is_superseded(self) -> bool:
        """Whether a later claim has permanently replaced the own one."""
        return self._superseded

    def advance_first_offset(self, first_offset: int) -> None:
        """Set the log's first offset; call it before `apply` for each batch."""
        if first_offset <= self.next_offset:
            return
        # The records that the log dropped unread may hold a later claim.
        self._superseded = self._superseded or self.fence is not None
        self.next_offset = first_offset

    def apply(self, offset: int, text: str) -> Result[None, Problem]:
        """Apply one record, in the log's order."""
        if offset < self.next_offset:
            return Ok(None)
        self.next_offset = offset + 1
        match decode_claim(text):
            case Err(problem):
                return Err(problem)
            case Ok(claim):
                self._apply_claim(offset, claim)
        return Ok(None)

    def _apply_claim(self, offset: int, claim: ClaimRecord) -> None:
        # An append may land twice. Only its first copy counts; otherwise a
        # late copy would supersede the successor's claim.
        if claim.claim_id in self._seen_claim_ids:
            return
        self._seen_claim_ids.add(claim.claim_id)
        if claim.claim_id == self.own.claim_id:
            self.fence = offset
        elif self.fence is not None and self._may_share_engines(claim):
            self._superseded = True

    def _may_share_engines(self, claim: ClaimRecord) -> bool:
        # With another number of shards, any shard may hold the same engines.
        return claim.shards != self.own.shards or claim.shard == self.own.shard


@dataclass(frozen=True)
class OpenLoad:
    """A load whose begin was read and whose end was not."""

    load_id: str
    runner: str
    offset: int
    read_at: float


class WeightLoads:
    """The open loads of all VMs, by the records read so far."""

    def __init__(self) -> None:
        """Start without loads."""
        self.next_offset = 0
        self._open: dict[str, OpenLoad] = {}
        self._ended_ids: set[str] = set()

    def advance_first_offset(self, first_offset: int) -> None:
        """Skip records that the log dropped; keep the loads already read."""
        self.next_offset = max(self.next_offset, first_offset)

    def apply(
        self,
        offset: int,
        text: str,
        now: float,
    ) -> Result[None, Problem]:
        """Apply one record that was read at `now`, in the log's order."""
        if offset < self.next_offset:
            return Ok(None)
        self.next_offset = offset + 1
        match decode_load(text):
            case Ok(LoadBegunRecord() as begun):
                self._open_load(offset, begun, now)
            case Ok(LoadEndedRecord(load_id=load_id)):
                self._open.pop(load_id, None)
                self._ended_ids.add(load_id)
            case Err(problem):
                return Err(problem)
        return Ok(None)

    def expire(self, now: float, timeout_s: float) -> list[OpenLoad]:
        """Remove and return the loads whose issuers count as lost.

        The timeout runs from the time at which this VM read the record, never
        from another VM's clock. A VM that reads a record late therefore counts
        the load for too long, but never for too short a time.
        """
        expired = [
            load
            for load in self._open.values()
            if now - load.read_at >= timeout_s
        ]
        for load in expired:
            self._open.pop(load.load_id)
            self._ended_ids.add(load.load_id)
        return expired

    def free_permits(self, loads_at_once: int) -> int:
        """Return how many permits are free."""
        return max(loads_at_once - len(self._open), 0)

    def is_permitted(self, load_id: str, loads_at_once: int) -> bool:
        """Whether fewer open loads than the limit precede this one.

        Issuers that ask at the same time read the same order of records, so
        no more loads than the limit are permitted.
        """
        own = self._open.get(load_id)
        if own is None:
            return False
        earlier_count = sum(
            load.offset < own.offset for load in self._open.values()
        )
        return earlier_count < loads_at_once

    def loads_of_runner(self, runner: str) -> list[OpenLoad]:
        """Return a runner's open loads, including those of lost issuers."""
        return [load for load in self._open.values() if load.runner == runner]

    def _open_load(
        self, offset: int, begun: LoadBegunRecord, now: float
    ) -> None:
        # A second copy of an append must not reopen a load that has ended.
        if begun.load_id in self._open or begun.load_id in self._ended_ids:
            return
        self._open[begun.load_id] = OpenLoad(
            begun.load_id,
            begun.runner,
            offset,
            now,
        )
