"""Who may order engines, and which loads may begin: the log's order decides.

Both are functions of a stream's records alone, so no VM asks another one.
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

# A permit that was not used by then is given back: whoever was paused with
# it would begin when others have stopped counting it.
PERMIT_USE_S: Final = 5.0


class IssuerClaims:
    """The claims on a service's engines, seen by one claimant of a shard."""

    def __init__(self, own: ClaimRecord) -> None:
        """Hold nothing before the own claim was read back."""
        self.own = own
        self.fence: int | None = None
        self.position = 0  # the next offset to apply
        self._seen: set[str] = set()
        self._superseded = False

    @property
    def holds(self) -> bool:
        """Whether the own claim is the last one, as far as was read."""
        return self.fence is not None and not self._superseded

    @property
    def superseded(self) -> bool:
        """Whether the claim is lost for good."""
        return self._superseded

    def see_first_offset(self, first_offset: int) -> None:
        """Note what the log has forgotten; call before `apply` of a batch."""
        if first_offset <= self.position:
            return
        # What was forgotten unread may be a later claim than the own one.
        self._superseded = self._superseded or self.fence is not None
        self.position = first_offset

    def apply(self, offset: int, text: str) -> Result[None, Problem]:
        """Apply one record, in the log's order."""
        if offset < self.position:
            return Ok(None)
        self.position = offset + 1
        match decode_claim(text):
            case Err(problem):
                return Err(problem)
            case Ok(claim):
                self._take(offset, claim)
        return Ok(None)

    def _take(self, offset: int, claim: ClaimRecord) -> None:
        # An append may land twice; a claim counts where it landed first, or
        # a late copy would take the right from its successor.
        if claim.claim_id in self._seen:
            return
        self._seen.add(claim.claim_id)
        if claim.claim_id == self.own.claim_id:
            self.fence = offset
        elif self.fence is not None and self._overlaps(claim):
            self._superseded = True

    def _overlaps(self, claim: ClaimRecord) -> bool:
        # Under another number of shards the same engine may be in any.
        return claim.shards != self.own.shards or claim.shard == self.own.shard


@dataclass(frozen=True)
class OpenLoad:
    """A load that was begun and whose end was not read."""

    load_id: str
    runner: str
    offset: int
    seen_at: float


class WeightLoads:
    """The loads under way over all VMs, as far as the stream was read."""

    def __init__(self) -> None:
        """Know of no load."""
        self.position = 0
        self._open: dict[str, OpenLoad] = {}
        self._ended: set[str] = set()

    def see_first_offset(self, first_offset: int) -> None:
        """Note what the log has forgotten; loads read before are kept."""
        self.position = max(self.position, first_offset)

    def apply(
        self,
        offset: int,
        text: str,
        now: float,
    ) -> Result[None, Problem]:
        """Apply one record that was read at `now`, in the log's order."""
        if offset < self.position:
            return Ok(None)
        self.position = offset + 1
        match decode_load(text):
            case Ok(LoadBegunRecord() as begun):
                self._begin(offset, begun, now)
            case Ok(LoadEndedRecord(load_id=load_id)):
                self._open.pop(load_id, None)
                self._ended.add(load_id)
            case Err(problem):
                return Err(problem)
        return Ok(None)

    def expire(self, now: float, timeout_s: float) -> list[OpenLoad]:
        """Forget, and return, loads whose holders must be lost.

        Time runs from the reading, never from another VM's clock. So a load
        is counted too long at worst: whoever reads it later waits longer.
        """
        old = [
            load
            for load in self._open.values()
            if now - load.seen_at >= timeout_s
        ]
        for load in old:
            self._open.pop(load.load_id)
            self._ended.add(load.load_id)
        return old

    def room(self, loads_at_once: int) -> int:
        """Return how many permits it is worth while to ask for."""
        return max(loads_at_once - len(self._open), 0)

    def is_permitted(self, load_id: str, loads_at_once: int) -> bool:
        """Whether fewer loads than the limit stand before this one.

        Two that ask at the same time read the same order, so no more than
        the limit find themselves permitted.
        """
        own = self._open.get(load_id)
        if own is None:
            return False
        before = sum(load.offset < own.offset for load in self._open.values())
        return before < loads_at_once

    def of_runner(self, runner: str) -> list[OpenLoad]:
        """Return a runner's loads, those of lost issuers too."""
        return [load for load in self._open.values() if load.runner == runner]

    def _begin(self, offset: int, begun: LoadBegunRecord, now: float) -> None:
        # A copy of an append must not open again what has ended.
        if begun.load_id in self._open or begun.load_id in self._ended:
            return
        self._open[begun.load_id] = OpenLoad(
            begun.load_id,
            begun.runner,
            offset,
            now,
        )
