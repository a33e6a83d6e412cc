"""The policy of one shard's owner, which combines all decisions.

A scheduler task reports events to it and carries out the actions that it
returns. The policy holds no socket and no clock; `now` is monotonic seconds,
and a `now` that is earlier than a previous one counts as the latest one seen.
"""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from math import inf
from random import Random

from bramleybend.decisions.actions import (
    Action,
    Backlog,
    Grant,
    RunnerInfo,
    RunReport,
    ShardLoad,
)
from bramleybend.decisions.admission import refusal_reason, sanitize_ask
from bramleybend.decisions.dispatch import dispatch_waiting, next_start_at
from bramleybend.decisions.drain_rate import DrainRate
from bramleybend.decisions.expiry import expire, refuse
from bramleybend.decisions.overload import UNBOUNDED, OverloadBounds
from bramleybend.decisions.pool import RunnerPool
from bramleybend.decisions.preemption import preempt
from bramleybend.decisions.run_feedback import apply_first_token, apply_report
from bramleybend.decisions.shard import Shard
from bramleybend.decisions.switches import PolicySwitches
from bramleybend.decisions.waiting_queue import WaitingQueue
from bramleybend.models import Service, ServiceKind, SlotRequest, Tier


class ShardPolicy:
    """Decides for one shard; the event methods return the actions to carry out.

    A batched policy only records events; `tick` decides for all of them at
    once.
    """

    def __init__(self, shard: Shard, *, batched: bool = False) -> None:
        """Take over an empty shard."""
        self._shard = shard
        self._batched = batched
        self._new_request_id: str | None = None
        self._now = -inf
        self._has_runner_list = False
        self.has_pending_events = (
            False  # events were recorded since the last `tick`
        )
        # Until this time no waiting request can start unless an event occurs.
        self._idle_until = -inf

    def request_slot(self, ask: SlotRequest, now: float) -> list[Action]:
        """Handle a request for a slot.

        A repeated request changes nothing but the runners that it excludes.
        """
        moment = self._advance_clock(now)
        run = self._shard.runs.get(ask.request_id)
        if run is not None:
            return [Grant(ask.request_id, run.runner)]
        queue = self._shard.queue_for(ask)
        if ask.request_id in queue:
            if not queue.update_excluded(ask):
                return []
            self._idle_until = -inf
            return self._decide_or_defer(moment)
        ask = sanitize_ask(ask)
        if min(ask.latest_answer_start, ask.deadline) <= moment:
            return [self._refuse(ask, 'deadline_past', shed=False)]
        reason = (
            self._refusal_reason(ask, moment) if self._has_runner_list else None
        )
        if reason is not None:
            return [self._refuse(ask, reason, shed=True)]
        min_time = self._shard.pool.min_run_time(ask)
        self._shard.queue_for(ask).add(ask, moment, min_time)
        return self._decide_or_defer(moment, new_request_id=ask.request_id)

    def adopt(self, ask: SlotRequest, runner: str, now: float) -> list[Action]:
        """Take over a run of a previous owner that was lost."""
        moment = self._advance_clock(now)
        if ask.request_id not in self._shard.runs:
            self._shard.adopt(sanitize_ask(ask), runner, moment)
        return self._decide_or_defer(moment)

    def record_run(
        self, ask: SlotRequest, name: str, now: float
    ) -> list[Action]:
        """Record a run that starts now under another owner's grant."""
        moment = self._advance_clock(now)
        runner = self._shard.pool.get(name)
        if runner is not None and ask.request_id not in self._shard.runs:
            self._shard.start(sanitize_ask(ask), runner, moment)
        return self._decide_or_defer(moment)

    def withdraw(self, request_id: str, now: float) -> list[Action]:
        """Drop a request whose caller or gateway is gone."""
        moment = self._advance_clock(now)
        self._shard.dequeue(request_id)
        self._shard.finish(request_id)
        return self._decide_or_defer(moment)

    def record_first_token(
        self,
        request_id: str,
        prompt_tokens: int,
        cached_tokens: int,
        now: float,
    ) -> list[Action]:
        """Update the estimates from a finished prefill.

        `cached_tokens` is negative while it is unknown: many engines report the
        cached tokens only with the last event.
        """
        moment = self._advance_clock(now)
        run = self._shard.runs.get(request_id)
        runner = self._shard.pool.get(run.runner) if run else None
        if run and runner:
            expected = run.ask.prompt_tokens - run.prefill_tokens
            if cached_tokens < 0:
                cached_tokens = expected
            else:
                runner.cache.reconcile(
                    run.ask.prefixes, expected, cached_tokens
                )
            prefill = max(prompt_tokens - cached_tokens, 0)
            apply_first_token(self._shard, run, prefill, moment)
        return self._decide_or_defer(moment)

    def end_run(
        self,
        request_id: str,
        report: RunReport,
        now: float,
    ) -> list[Action]:
        """Release the run's slot and update the estimates from its outcome."""
        moment = self._advance_clock(now)
        run = self._shard.runs.get(request_id)
        if run is not None:
            apply_report(self._shard, run, report, moment)
            self._shard.finish(request_id)
        return self._decide_or_defer(moment)

    def update_runners(
        self,
        infos: Sequence[RunnerInfo],
        now: float,
    ) -> list[Action]:
        """Replace the list of the shard's runners."""
        moment = self._advance_clock(now)
        self._has_runner_list = True
        self._shard.pool.update(infos, self._shard.runs.values(), moment)
        return self._decide_or_defer(moment)

    def update_start_rates(
        self, per_s: Mapping[str, float], now: float
    ) -> list[Action]:
        """Set the maximum start rates of runners, in requests per second.

        Runners that are not named have no maximum rate.
        """
        moment = self._advance_clock(now)
        changed = [
            runner.update_start_rate(per_s.get(runner.name), moment)
            for runner in self._shard.pool
        ]
        return self._decide_or_defer(moment) if any(changed) else []

    def handle_cache_event(
        self,
        runner_name: str,
        kind: str,
        prefix: str,
        now: float,
    ) -> list[Action]:
        """Handle a runner's cache event; events may be late or missing."""
        moment = self._advance_clock(now)
        runner = self._shard.pool.get(runner_name)
        if runner is not None:
            runner.cache.handle_event(kind, prefix, moment)
        return self._decide_or_defer(moment)

    def tick(self, now: float) -> list[Action]:
        """Decide on everything that has become due."""
        new_request_id = self._new_request_id
        self._new_request_id = None
        self.has_pending_events = False
        return self._decide(self._advance_clock(now), new_request_id)

    def next_wake(self, now: float) -> float | None:
        """Return when `tick` is due if no other event occurs, or None."""
        moment = self._advance_clock(now)
        shard = self._shard
        start = self._idle_until  # computed after the last event
        if start <= moment:
            start = next_start_at(shard, moment)
        times = [start]
        for queue in (shard.queue, shard.suspects):
            times.extend(queue.next_expiry(tier) for tier in Tier)
        earliest = min(times)
        return None if earliest == inf else max(earliest, moment)

    def set_floor(self, tier: Tier, hold_s: float, now: float) -> int:
        """Start nothing below a tier for `hold_s`; count the runs below it.

        The next `tick` preempts these runs for requests that wait in higher
        tiers.
        """
        moment = self._advance_clock(now)
        self._shard.raise_floor(tier, moment + max(hold_s, 0))
        self._idle_until = -inf
        return len(self._shard.runs_below(tier))

    def load(self) -> ShardLoad:
        """Return the load that gateways are told about this shard."""
        return ShardLoad(
            len(self._shard.runs),
            len(self._shard.queue) + len(self._shard.suspects),
            self._shard.pool.total_capacity(),
        )

    def backlog(self, now: float) -> Backlog | None:
        """Return the waiting requests in numbers, or None if none waits."""
        moment = self._advance_clock(now)
        shard = self._shard
        if not shard.queue:
            return None
        counts, oldest_arrival = shard.queue.summary()
        return Backlog(
            counts,
            moment - oldest_arrival,
            len(shard.runs),
            shard.pool.total_capacity(),
            len(shard.pool.free_runners(moment)),
        )

    def _refusal_reason(self, ask: SlotRequest, now: float) -> str | None:
        # New requests don't form a queue while a free slot may still take them.
        has_unassigned_slots = (
            self.has_pending_events and self._shard.pool.has_room(now)
        )
        return refusal_reason(
            self._shard, ask, now, has_unassigned_slots=has_unassigned_slots
        )

    def _refuse(self, ask: SlotRequest, reason: str, *, shed: bool) -> Action:
        return refuse(self._shard, ask, reason, self._now, shed=shed)

    def _advance_clock(self, now: float) -> float:
        self._now = max(self._now, now)
        return self._now

    def _decide_or_defer(
        self, now: float, new_request_id: str | None = None
    ) -> list[Action]:
        if not self._batched:
            return self._decide(now, new_request_id)
        self._new_request_id = (
            None if self.has_pending_events else new_request_id
        )
        self.has_pending_events = True
        return []

    def _decide(self, now: float, new_request_id: str | None) -> list[Action]:
        shard = self._shard
        actions = expire(shard, now)
        has_demoted = shard.switches.on_time_first and (
            shard.queue.demote_late(now)
        )
        # With as many entries as runners, entries are no longer held for a busy
        # runner.
        is_hold_over = len(shard.queue) == len(shard.pool)
        if actions or has_demoted or is_hold_over or now >= self._idle_until:
            new_request_id = None
        actions.extend(dispatch_waiting(shard, now, new_request_id))
        actions.extend(preempt(shard, now))
        self._idle_until = next_start_at(shard, now)
        return actions


def make_shard_policy(
    service: Service,
    rng: Random,
    weights: Mapping[str, float] | None = None,
    switches: PolicySwitches | None = None,
    *,
    batched: bool = False,
    overload: OverloadBounds = UNBOUNDED,
) -> ShardPolicy:
    """Create the policy of an empty shard; `weights` are by workspace."""
    switches = switches or PolicySwitches()
    if service.kind is ServiceKind.PLAIN:
        # A plain service reports no first tokens, so the end of a prefill is
        # unknown.
        switches = replace(switches, filling=False)
    workspace_weights: Mapping[str, float] = {} if weights is None else weights
    shard = Shard(
        pool=RunnerPool(service.slots, switches),
        queue=WaitingQueue(
            workspace_weights,
            tiers=switches.tiers,
            fair=switches.fair,
            short_first=switches.short_first,
            overload=overload,
        ),
        suspects=WaitingQueue(workspace_weights),
        drain_rate=DrainRate(),
        rng=rng,
        switches=switches,
        overload=overload,
    )
    return ShardPolicy(shard, batched=batched)
