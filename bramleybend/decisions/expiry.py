"""Which waiting requests leave because they can't be done in time.

Load pattern: a queue longer than the deadlines of what stands in it.
Without it: slots go to requests whose callers have given up, and their whole
prefill is wasted just when capacity is short. The ablation `expiry` switches
this off together with `places.Place.in_time`.

What is refused for want of capacity may only be shed once nothing lower runs
(`floor`). So nothing lower starts from the refusal on, for as long as the
gateway needs to ask for that; else the slot that comes free next goes to a
lower tier, and the refused request runs out of time without proof.
"""

from collections.abc import Sequence

from bramleybend.decisions.actions import Action, Refuse
from bramleybend.decisions.drain_rate import retry_after
from bramleybend.decisions.floor import HOLD_S
from bramleybend.decisions.shard import Shard
from bramleybend.decisions.tier_queue import WaitingEntry
from bramleybend.decisions.waiting_queue import WaitingQueue
from bramleybend.models import Ask, Tier


def expire(shard: Shard, now: float) -> list[Action]:
    """Refuse what can no longer end in time, or only at others' expense."""
    expired = _expired(shard.queue, now) + _expired(shard.suspects, now)
    actions = _refuse_all(shard, expired, 'deadline_unmet', now)
    overdue = shard.queue.overdue(now)
    actions.extend(_refuse_all(shard, overdue, 'queue_standing', now))
    return actions


def refuse(
    shard: Shard, ask: Ask, reason: str, now: float, *, shed: bool
) -> Refuse:
    """Turn a request away, with the time to come back."""
    if shed and shard.switches.floor_at_refusal:
        shard.raise_floor(ask.tier, now + HOLD_S)
    cost_ahead = shard.queue.cost_ahead(ask)
    retry_after_time = retry_after(
        cost_ahead, shard.drain_per_s(now), shard.rng
    )
    return Refuse(ask.request_id, reason, retry_after_time, shed)


def _refuse_all(
    shard: Shard, entries: Sequence[WaitingEntry], reason: str, now: float
) -> list[Action]:
    for entry in entries:
        shard.dequeue(entry.ask.request_id)
    return [refuse(shard, left.ask, reason, now, shed=True) for left in entries]


def _expired(queue: WaitingQueue, now: float) -> list[WaitingEntry]:
    expired: list[WaitingEntry] = []
    for tier in Tier:
        expired.extend(queue.expired(now, tier))
    return expired
