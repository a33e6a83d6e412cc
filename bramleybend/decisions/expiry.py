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
from bramleybend.decisions.floor import HOLD_S
from bramleybend.decisions.queueing import WaitingQueue
from bramleybend.decisions.shard import Shard
from bramleybend.decisions.tier_queue import Waiting
from bramleybend.decisions.turnaway import retry_after
from bramleybend.models import Ask, Tier


def expire(shard: Shard, now: float) -> list[Action]:
    """Refuse what can no longer end in time, or only at others' expense."""
    late = _late(shard.queue, now) + _late(shard.suspects, now)
    actions = _refuse_all(shard, late, 'deadline_unmet', now)
    overdue = shard.queue.overdue(now)
    actions.extend(_refuse_all(shard, overdue, 'queue_standing', now))
    return actions


def refuse(
    shard: Shard, ask: Ask, reason: str, now: float, *, shed: bool
) -> Refuse:
    """Turn a request away, with the time to come back."""
    if shed and shard.switches.floor_at_refusal:
        shard.hold_floor(ask.tier, now + HOLD_S)
    ahead = shard.queue.cost_ahead(ask)
    wait = retry_after(ahead, shard.drained_per_second(now), shard.rng)
    return Refuse(ask.request_id, reason, wait, shed)


def _refuse_all(
    shard: Shard, entries: Sequence[Waiting], reason: str, now: float
) -> list[Action]:
    for entry in entries:
        shard.leave_queue(entry.ask.request_id)
    return [refuse(shard, left.ask, reason, now, shed=True) for left in entries]


def _late(line: WaitingQueue, now: float) -> list[Waiting]:
    late: list[Waiting] = []
    for tier in Tier:
        late.extend(line.due(now, tier))
    return late
