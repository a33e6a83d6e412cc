"""What is let into the queue.

Load pattern: a burst of more work than the deadlines leave room for.
Without it: every request of the burst waits until its deadline and is refused
then, when its caller has no time left to do anything else; and bad input
(negative costs, unknown tiers) upsets the order of the queue.

A request is refused at once if the cost ahead of it takes longer than it can
wait by `SURE_WAIT`: the rate is an estimate, and a wrong refusal costs more
than a late one. Taken at its word, a burst lost 7 of 696 critical requests.
While lower work runs here nothing is refused for that reason, as it
goes first to each slot that comes free. A workspace waits behind its own cost
times the workspaces it shares the shard with, not behind all that a large one
has queued.
"""

from dataclasses import replace
from math import isfinite, isnan

from bramleybend.decisions.runs import Runner
from bramleybend.decisions.shard import Shard
from bramleybend.models import Ask, Tier

MAX_WAIT_RATIO = 1.5  # times the time left
MAX_QUEUED = 10_000


def sanitize_ask(ask: Ask) -> Ask:
    """Give bad values a defined meaning, the one that harms others least."""
    tokens = max(ask.prompt_tokens, 0)
    cost = ask.cost
    if not isfinite(cost) or cost <= 0:
        cost = float(max(tokens, 1))
    tier = min(max(ask.tier, Tier.CRITICAL), Tier.BULK)
    return replace(
        ask,
        cost=cost,
        prompt_tokens=tokens,
        tier=Tier(tier),
        deadline=ask.deadline if isfinite(ask.deadline) else 0,
        begin_by=0 if isnan(ask.begin_by) else ask.begin_by,
    )


def refusal_reason(
    shard: Shard, ask: Ask, now: float, *, has_unassigned_slots: bool = False
) -> str | None:
    """Return why a request can't be queued, `None` if it can.

    `has_unassigned_slots`: what is queued has not been weighed for the free slots yet.
    """
    if all(_is_unavailable(runner, ask) for runner in shard.pool):
        return 'no_live_runner'
    if len(shard.queue) >= MAX_QUEUED:
        return 'queue_full'
    if not has_unassigned_slots and _exceeds_deadline(shard, ask, now):
        return 'wait_exceeds_deadline'
    return None


def _is_unavailable(runner: Runner, ask: Ask) -> bool:
    return (
        runner.leaving
        or runner.name in ask.excluded
        or (runner.start_rate is not None and not runner.start_rate.per_s)
    )


def _exceeds_deadline(shard: Shard, ask: Ask, now: float) -> bool:
    if not shard.switches.admission or shard.has_run_below(ask.tier):
        return False
    rate = shard.drain_per_s(now)
    if rate is None:
        return False
    wait = shard.queue.cost_ahead(ask) / rate
    min_starts_per_s = shard.min_starts_per_s(now)
    if min_starts_per_s:
        wait = min(wait, shard.queue.count_ahead(ask) / min_starts_per_s)
    time_left_s = min(ask.begin_by, ask.deadline) - now
    return wait > time_left_s * MAX_WAIT_RATIO
