"""The tier floor: no request is shed while a lower tier is being served.

Load pattern: a pool without a free slot, asked by several gateways at once.
Without it: a gateway sheds a booking because its owner is full, while another
owner starts a bulk draft.

A request may therefore be shed only under a permit: every owner of the pool has
replied that it runs nothing of a lower tier and starts nothing lower until the
permit has ended. A request that gets no permit keeps waiting.

The floor must outlast the permit whatever the clock rates. The permit ends
`FLOOR_HOLD_S` after the round was sent, less `MARGIN_S`; a floor ends
`FLOOR_HOLD_S` after it was received, which is later. The margin covers clocks
that differ in rate by up to 4 per cent over hold and grace; real clocks differ
far less.
"""

from dataclasses import dataclass
from typing import Final

from bramleybend.models import Tier

FLOOR_HOLD_S: Final = 1.0
MARGIN_S: Final = 0.1
# A gateway whose view is older than MAX_VIEW_AGE_S neither uses an owner's
# grant nor sheds, so after that time no gateway relies on an owner that was
# replaced.
MAX_VIEW_AGE_S: Final = 1.5


@dataclass(frozen=True)
class FloorTimes:
    """The times that owners and gateways of one deployment share."""

    hold_s: float = FLOOR_HOLD_S
    margin_s: float = MARGIN_S
    max_view_age_s: float = MAX_VIEW_AGE_S

    @property
    def grace_s(self) -> float:
        """Return how long a replaced owner's replies may still have an effect.

        A gateway may still ask the old owner for `max_view_age_s`, and the
        permit from that round lasts for less than `hold_s`.
        """
        return self.max_view_age_s + self.hold_s


DEFAULT_TIMES: Final = FloorTimes()


@dataclass
class TakeoverState:
    """Whether an owner knows all runs on its shard, by its own clock.

    `taken_over_at` is None for the first owner of a new service.
    `has_load_reports` is for shards whose runners report their load. The floors
    of the `ShardPolicy` decide what the owner may start; a new owner, which
    doesn't know the floors that were set before, sets one of the highest tier
    for `grace_s`.
    """

    taken_over_at: float | None = None
    has_load_reports: bool = False
    times: FloorTimes = DEFAULT_TIMES
    _has_no_unknown_runs: bool = False
    _unsettled_until: float | None = None

    def record_load_report(self, surplus: int, taken_at: float) -> None:
        """Record how many unknown runs the shard's runners report.

        A frozen gateway registers no runs with a new owner, but its runs
        continue. A report counts only if it was taken when no gateway could use
        a grant of the previous owner any more; `taken_at` is the time of the
        shard's oldest report. Compute the surplus over the runs known at that
        time, not now: a run started since would hide an unknown one.
        """
        fence_s = self.times.max_view_age_s + self.times.margin_s
        if (
            self.taken_over_at is None
            or taken_at >= self.taken_over_at + fence_s
        ):
            self._has_no_unknown_runs = surplus <= 0

    def record_lost_run(self, now: float) -> None:
        """Record that a run's stream closed without a reported end.

        The gateway may have registered the run with a new owner already, while
        another gateway still asks this owner and would learn that nothing runs.
        After the grace time no round that asks this owner is open.
        """
        self._unsettled_until = now + self.times.grace_s

    def is_settled(self, now: float) -> bool:
        """Tell whether this owner knows all runs on the shard."""
        if self._unsettled_until is not None and now < self._unsettled_until:
            return False
        if self.taken_over_at is None:
            return True
        if self.has_load_reports:
            return self._has_no_unknown_runs
        return now >= self.taken_over_at + self.times.grace_s


def is_grant_usable(
    *,
    granted_by: str,
    owner: str,
    view_age: float,
    times: FloorTimes = DEFAULT_TIMES,
) -> bool:
    """Tell whether a gateway may start a run under a grant it just received.

    An owner that was replaced, frozen or not, still grants. Its grant is
    dropped by gateways that know the new owner, and by those that may not know
    it yet.
    """
    return granted_by == owner and view_age < times.max_view_age_s


@dataclass(frozen=True)
class FloorRound:
    """One request to all owners of a service to agree to shedding."""

    number: int
    service: str
    tier: Tier
    shards: frozenset[int]
    permit_ends_at: float  # end of the permit, if all owners agree


class ShedPermits:
    """A gateway's permits to shed, by service and tier."""

    def __init__(self, times: FloorTimes = DEFAULT_TIMES) -> None:
        """Start without a permit."""
        self._times = times
        self._last_number = 0
        self._pending_shards: dict[FloorRound, set[int]] = {}
        self._permit_ends: dict[tuple[str, Tier], float] = {}

    def open_round(
        self,
        service: str,
        tier: Tier,
        shards: frozenset[int],
        now: float,
        *,
        view_age: float,
    ) -> FloorRound:
        """Open a round; take `now` before the first message is sent.

        With a later `now` the permit could outlive the floor of the owner that
        was reached first. From a stale view the round would ask an owner that
        has been replaced, so such a round ends as it begins.
        """
        self._last_number += 1
        permit_ends_at = now
        if view_age < self._times.max_view_age_s:
            permit_ends_at = now + self._times.hold_s - self._times.margin_s
        floor_round = FloorRound(
            self._last_number, service, tier, shards, permit_ends_at
        )
        for pending in tuple(self._pending_shards):
            if now >= pending.permit_ends_at:
                self.close_round(pending)
        self._pending_shards[floor_round] = set(shards)
        return floor_round

    def handle_reply(
        self,
        floor_round: FloorRound,
        shard: int,
        now: float,
        *,
        settled: bool,
        lower_running: int,
    ) -> None:
        """Handle one owner's reply; an owner that can't agree ends the round."""
        pending_shards = self._pending_shards.get(floor_round)
        if pending_shards is None:
            return
        if not settled or lower_running or now >= floor_round.permit_ends_at:
            self.close_round(floor_round)
            return
        pending_shards.discard(shard)
        if not pending_shards:
            self.close_round(floor_round)
            self._permit_ends[floor_round.service, floor_round.tier] = (
                floor_round.permit_ends_at
            )

    def close_round(self, floor_round: FloorRound) -> None:
        """Close a round without a permit, as when an owner doesn't reply."""
        self._pending_shards.pop(floor_round, None)

    def has_permit(self, service: str, tier: Tier, now: float) -> bool:
        """Tell whether a request may be shed now; call right before shedding.

        A permit for a higher tier covers lower tiers: whatever is below them is
        below the higher tier, too.
        """
        return any(
            now < self._permit_ends.get((service, held), now)
            for held in Tier
            if held <= tier
        )
