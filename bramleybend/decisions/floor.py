"""The tier floor: no request is shed while a lower tier is being served.

Load: a pool without a free slot, asked by several gateways at once. Without a
floor a gateway sheds a booking because its owner is full, while another owner
starts a bulk draft. A request may therefore be shed only under a permit: every
owner of the pool has said that nothing lower runs there and starts nothing
lower until the permit has ended. While no permit can be had the request waits.

Thresholds: the floor must outlast the permit by clock rates alone. The permit
ends `HOLD_S` after the round was sent, less `MARGIN_S`; a floor ends `HOLD_S`
after it was received, which is later. The margin covers clocks that differ in
rate by up to 10 per cent; real ones differ by less than 0.1 per cent.
"""

from dataclasses import dataclass, field
from typing import Final

from bramleybend.models import Tier

HOLD_S: Final = 1.0
MARGIN_S: Final = 0.1
# A gateway whose view is older than FRESH_S neither uses an owner's grant nor
# sheds, so after that time nobody deals with the owner that was replaced.
FRESH_S: Final = 1.5
ADOPTION_GRACE_S: Final = FRESH_S + HOLD_S


@dataclass
class OwnerFloor:
    """An owner's promises about one shard, on its own monotonic clock.

    `taken_over_at` is None for the owner that a new service starts with.
    """

    taken_over_at: float | None = None
    unaccounted: int = 0
    _until: dict[Tier, float] = field(default_factory=dict)

    def set_floor(self, tier: Tier, hold_s: float, now: float) -> None:
        """Start nothing below `tier` until `hold_s` from receipt."""
        until = now + min(hold_s, HOLD_S)
        self._until[tier] = max(until, self._until.get(tier, until))

    def note_load(self, reported: int, known: int) -> None:
        """Compare a runner's report with the runs that this owner knows.

        A gateway that is frozen registers nothing, but its run still takes a
        slot; the surplus keeps the owner from saying that nothing runs.
        """
        self.unaccounted = max(0, reported - known)

    def blocks(self, tier: Tier, now: float) -> bool:
        """Whether a request of `tier` may not be started now.

        A new owner doesn't know the floors that its predecessor set, so it
        starts nothing but the highest tier until all of them have run out.
        """
        if self._is_new(now):
            return tier > min(Tier)
        return any(
            floor < tier and now < until for floor, until in self._until.items()
        )

    def settled(self, now: float) -> bool:
        """Whether this owner knows all that runs on the shard."""
        return not self._is_new(now) and not self.unaccounted

    def _is_new(self, now: float) -> bool:
        return (
            self.taken_over_at is not None
            and now < self.taken_over_at + ADOPTION_GRACE_S
        )


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

    def __init__(self, hold_s: float = HOLD_S) -> None:
        """Start without a permit."""
        self._hold_s = hold_s
        self._number = 0
        self._waiting: dict[int, set[int]] = {}
        self._permits: dict[tuple[str, Tier], float] = {}

    def begin(
        self,
        service: str,
        tier: Tier,
        shards: frozenset[int],
        now: float,
    ) -> Round:
        """Open a round; take `now` before the first message is sent.

        Counted from a later moment the permit could outlive the floor of the
        owner that was reached first.
        """
        self._number += 1
        opened = Round(
            self._number,
            service,
            tier,
            shards,
            now + self._hold_s - MARGIN_S,
        )
        self._waiting[opened.number] = set(shards)
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
        waiting = self._waiting.get(opened.number)
        if waiting is None:
            return
        if not settled or lower_running or now >= opened.ends:
            self.abandon(opened)
            return
        waiting.discard(shard)
        if not waiting:
            self.abandon(opened)
            self._permits[opened.service, opened.tier] = opened.ends

    def abandon(self, opened: Round) -> None:
        """Close a round without a permit, as when an owner doesn't answer."""
        self._waiting.pop(opened.number, None)

    def permit(self, service: str, tier: Tier, now: float) -> bool:
        """Whether a request may be shed now; ask right before shedding.

        A permit for a higher tier covers lower ones: what is lower than they
        are is lower than it, too.
        """
        return any(
            now < self._permits.get((service, held), now)
            for held in Tier
            if held <= tier
        )
