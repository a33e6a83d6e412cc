"""Refusal of waiting requests that can't end in time.

Load pattern: a queue longer than the deadlines of its entries.
Without it: slots go to requests whose callers have given up, and their whole
prefill is wasted while capacity is short. The ablation `expiry` also turns off
the check of the time left in `dispatch`.

A request refused for lack of capacity may be shed only once nothing of a lower
tier runs (`floor`). So nothing lower starts from the refusal until the gateway
has had time to request a shed permit. Otherwise the next released slot would go
to a lower tier, and the refused request would reach its deadline without a
permit.
"""

from collections.abc import Sequence

from bramleybend.decisions.actions import Action, Refuse
from bramleybend.decisions.drain_rate import retry_after
from bramleybend.decisions.shard import Shard
from bramleybend.decisions.tier_floor import FLOOR_HOLD_S
from bramleybend.decisions.tier_queue import WaitingEntry
from bramleybend.decisions.waiting_queue import WaitingQueue
from bramleybend.models import SlotRequest, Tier


def expire(shard: Shard, now: float) -> list[Action]:
    """Refuse entries that can't end in time, and late ones in standing queues."""
    expired = _expired(shard.queue, now) + _expired(shard.suspects, now)
    actions = _refuse_all(shard, expired, 'deadline_unmet', now)
    overdue = shard.queue.overdue(now)
    actions.extend(_refuse_all(shard, overdue, 'queue_standing', now))
    return actions


def refuse(
    shard: Shard, ask: SlotRequest, reason: str, now: float, *, shed: bool
) -> Refuse:
    """Refuse a request and tell its caller when to retry."""
    if shed and shard.switches.floor_at_refusal:
        shard.raise_floor(ask.tier, now + FLOOR_HOLD_S)
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
