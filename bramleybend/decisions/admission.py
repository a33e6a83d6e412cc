"""Admission of requests to the queue.

Load pattern: a burst of more work than the deadlines leave room for.
Without it: every request of the burst waits until its deadline and is refused
only then, when its caller has no time left to try elsewhere; and bad input
(negative costs, unknown tiers) corrupts the order of the queue.

A request is refused at once if the estimated wait exceeds `MAX_WAIT_RATIO`
times the time that it has left. The drain rate is an estimate, and a wrong
refusal costs more than a late one: with a ratio of 1, a burst lost 7 of 696
critical requests. While runs of lower tiers are in progress, no request is
refused for its wait, since it gets each released slot before them. A workspace
waits for its own queued cost times the number of workspaces that share the
shard, not for everything that a large workspace has queued.
"""

from dataclasses import replace
from math import isfinite, isnan

from bramleybend.decisions.runs import Runner
from bramleybend.decisions.shard import Shard
from bramleybend.models import SlotRequest, Tier

MAX_WAIT_RATIO = 1.5  # maximum estimated wait, in times of the time left
MAX_QUEUED = 10_000


def sanitize_ask(ask: SlotRequest) -> SlotRequest:
    """Replace invalid values by the valid ones that harm other requests least."""
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
    shard: Shard,
    ask: SlotRequest,
    now: float,
    *,
    has_unassigned_slots: bool = False,
) -> str | None:
    """Return why a request can't be queued, or None if it can.

    `has_unassigned_slots` tells that the queued requests have not been assigned
    to the free slots yet.
    """
    if all(_is_unavailable(runner, ask) for runner in shard.pool):
        return 'no_live_runner'
    if len(shard.queue) >= MAX_QUEUED:
        return 'queue_full'
    if not has_unassigned_slots and _exceeds_deadline(shard, ask, now):
        return 'wait_exceeds_deadline'
    return None


def _is_unavailable(runner: Runner, ask: SlotRequest) -> bool:
    return (
        runner.leaving
        or runner.name in ask.excluded
        or (runner.start_rate is not None and not runner.start_rate.per_s)
    )


def _exceeds_deadline(shard: Shard, ask: SlotRequest, now: float) -> bool:
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
