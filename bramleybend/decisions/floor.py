"""The tier floor: no request is shed while a lower tier is being served.

Load: a pool without a free slot, asked by several gateways at once. Without a
floor a gateway sheds a booking because its owner is full, while another owner
starts a bulk draft. A request may therefore be shed only under a permit: every
owner of the pool has said that nothing lower runs there and starts nothing
lower until the permit has ended. While no permit can be had the request waits.

Thresholds: the floor must outlast the permit by clock rates alone. The permit
ends `HOLD_S` after the round was sent, less `MARGIN_S`; a floor ends `HOLD_S`
after it was received, which is later. The margin covers clocks that differ in
rate by up to 4 per cent over hold and grace; real ones by far less.
"""

from dataclasses import dataclass
from typing import Final

from bramleybend.models import Tier

HOLD_S: Final = 1.0
MARGIN_S: Final = 0.1
# A gateway whose view is older than FRESH_S neither uses an owner's grant nor
# sheds, so after that time nobody deals with the owner that was replaced.
FRESH_S: Final = 1.5


@dataclass(frozen=True)
class FloorTimes:
    """The times that owners and gateways of one deployment share."""

    hold_s: float = HOLD_S
    margin_s: float = MARGIN_S
    fresh_s: float = FRESH_S

    @property
    def grace_s(self) -> float:
        """Return how long anyone may act on what an owner before has said.

        For `fresh_s` a gateway may still ask the old owner, and the permit
        from that round lasts for less than `hold_s`.
        """
        return self.fresh_s + self.hold_s


DEFAULT_TIMES: Final = FloorTimes()


@dataclass
class Settling:
    """Whether an owner knows all that runs on its shard, by its own clock.

    `taken_over_at` is None for the owner that a new service starts with.
    `watches_load` is for shards whose runners report their load. What the
    owner may start is told by the floors of its `ShardPolicy`; a new owner,
    which doesn't know the floors that were set before, sets one of the
    highest tier for `grace_s`.
    """

    taken_over_at: float | None = None
    watches_load: bool = False
    times: FloorTimes = DEFAULT_TIMES
    _has_no_unknown_runs: bool = False
    _unsettled_until: float | None = None

    def note_load(self, surplus: int, taken_at: float) -> None:
        """Note how many runs the shard's runners report that are unknown.

        A gateway that is frozen registers nothing with a new owner, but its
        run is served. A report says something only if it was taken when no
        gateway could use a grant of the owner before; the oldest of the
        shard's reports gives `taken_at`. Take the surplus over the runs known
        then, not now: a run started since would hide an unknown one.
        """
        fence_s = self.times.fresh_s + self.times.margin_s
        if (
            self.taken_over_at is None
            or taken_at >= self.taken_over_at + fence_s
        ):
            self._has_no_unknown_runs = surplus <= 0

    def lose_run(self, now: float) -> None:
        """Note that a run's stream closed without its end being told.

        The gateway may have registered the run with a new owner already,
        while another gateway still asks this one and would hear that nothing
        runs. After the grace no round that asks this owner is open.
        """
        self._unsettled_until = now + self.times.grace_s

    def settled(self, now: float) -> bool:
        """Whether this owner knows all that runs on the shard."""
        if self._unsettled_until is not None and now < self._unsettled_until:
            return False
        if self.taken_over_at is None:
            return True
        if self.watches_load:
            return self._has_no_unknown_runs
        return now >= self.taken_over_at + self.times.grace_s


def grant_usable(
    *,
    granted_by: str,
    owner: str,
    view_age: float,
    times: FloorTimes = DEFAULT_TIMES,
) -> bool:
    """Whether a gateway may start a run under a grant it has just got.

    An owner that was replaced, frozen or not, still grants. Its grant is
    dropped by who knows the new owner, and by who may not have heard of it.
    """
    return granted_by == owner and view_age < times.fresh_s


@dataclass(frozen=True)
class Round:
    """One question to all owners of a service."""

    number: int
    service: str
    tier: Tier
    shards: frozenset[int]
    ends: float  # of the permit, should all owners agree


class ShedPermits:
    """A gateway's leave to shed, by service and tier."""

    def __init__(self, times: FloorTimes = DEFAULT_TIMES) -> None:
        """Start without a permit."""
        self._times = times
        self._number = 0
        self._pending_shards: dict[Round, set[int]] = {}
        self._permit_ends: dict[tuple[str, Tier], float] = {}

    def begin(
        self,
        service: str,
        tier: Tier,
        shards: frozenset[int],
        now: float,
        *,
        view_age: float,
    ) -> Round:
        """Open a round; take `now` before the first message is sent.

        Counted from a later moment the permit could outlive the floor of the
        owner that was reached first. From a stale view the round would ask an
        owner that has been replaced, so it is over as it begins.
        """
        self._number += 1
        permit_ends_at = now
        if view_age < self._times.fresh_s:
            permit_ends_at = now + self._times.hold_s - self._times.margin_s
        opened = Round(self._number, service, tier, shards, permit_ends_at)
        for pending in tuple(self._pending_shards):
            if now >= pending.ends:
                self.abandon(pending)
        self._pending_shards[opened] = set(shards)
        return opened

    def reply(
        self,
        opened: Round,
        shard: int,
        now: float,
        *,
        settled: bool,
        lower_running: int,
    ) -> None:
        """Take one owner's reply; one that can't agree ends the round."""
        waiting = self._pending_shards.get(opened)
        if waiting is None:
            return
        if not settled or lower_running or now >= opened.ends:
            self.abandon(opened)
            return
        waiting.discard(shard)
        if not waiting:
            self.abandon(opened)
            self._permit_ends[opened.service, opened.tier] = opened.ends

    def abandon(self, opened: Round) -> None:
        """Close a round without a permit, as when an owner doesn't answer."""
        self._pending_shards.pop(opened, None)

    def permit(self, service: str, tier: Tier, now: float) -> bool:
        """Whether a request may be shed now; ask right before shedding.

        A permit for a higher tier covers lower ones: what is lower than they
        are is lower than it, too.
        """
        return any(
            now < self._permit_ends.get((service, held), now)
            for held in Tier
            if held <= tier
        )
