"""The queue of one service: admits slot requests and grants runner slots.

Every VM keeps a queue for each service and updates it with its own runs and
the runs that other VMs report. So a VM that becomes the owner of a service
already knows the runs at each runner, and a VM that reaches no owner can
dispatch its own requests by the same rules.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace
from random import Random
from typing import Final, TypeAlias

from bramleybend.clock import Clock
from bramleybend.decisions.actions import (
    Action,
    Backlog,
    Grant,
    Refuse,
    RunnerInfo,
    RunReport,
)
from bramleybend.decisions.overload import UNBOUNDED, OverloadBounds
from bramleybend.decisions.shard_policy import ShardPolicy, make_shard_policy
from bramleybend.decisions.switches import PolicySwitches
from bramleybend.direct.heartbeat_messages import ReportedRun
from bramleybend.direct.models import RunnerEntry, RunnerState
from bramleybend.models import Service, ServiceKind, SlotRequest, Tier

OnDecision: TypeAlias = Callable[[Grant | Refuse], None]
OnQueued: TypeAlias = Callable[[], None]

# A granted run that no heartbeat of its VM has reported after this time has
# ended, and the message about its end was lost. VMs report their runs to
# owners at least in every third heartbeat (0.6 s); one of these may be lost.
UNCONFIRMED_RUN_TTL_S: Final = 1.3
# A VM stops reporting its runs to this VM when it no longer regards this VM
# as an owner or the successor of one. If its last report stayed in force,
# runs that ended long ago would occupy slots once this VM becomes the owner.
REPORTED_RUNS_TTL_S: Final = 2.0
# VMs repeat their pending slot requests. A request that is no longer repeated
# is withdrawn, because its VM is gone.
REQUEST_TTL_S: Final = 1.0
# A service is idle below this part of its slots. Heartbeats report the runs of
# other VMs within 0.2 s; runs that start in that time use up some of the
# remaining slots.
IDLE_MAX_LOAD: Final = 0.75
# A timer that fires just before its time would be set again in a busy loop.
MIN_TIMER_S: Final = 0.001
# Runs at engines are not preempted: once the response head is sent, the caller
# of a stopped stream can't be given another answer. Requests are not held back
# for a better runner: raw HTTP requests name no prompt prefixes, so waiting
# for a runner that has the prefix cached would save no work.
SWITCHES: Final = PolicySwitches(
    preemption=False, limits=False, floor_at_refusal=False, holding=False
)
# A plain service has no owner: every VM dispatches its own requests to it.
PLAIN_SWITCHES: Final = replace(SWITCHES, spreading=True)


class ServiceQueue:
    """Feeds events to one service's policy and reports its decisions."""

    def __init__(
        self,
        service: Service,
        clock: Clock,
        rng: Random,
        overload: OverloadBounds,
    ) -> None:
        """Start without requests, runs and runners."""
        self._clock = clock
        self._rng = rng
        is_plain = service.kind is ServiceKind.PLAIN
        self._policy: ShardPolicy = make_shard_policy(
            service,
            rng,
            switches=PLAIN_SWITCHES if is_plain else SWITCHES,
            batched=True,
            overload=overload,
        )
        # These three are keyed by request ID.
        self._on_decision: dict[str, OnDecision] = {}
        self._requested_at: dict[str, float] = {}  # when last repeated
        self._granted_at: dict[str, float] = {}  # of unconfirmed grants
        # These two are keyed by VM. The first holds the request IDs of the
        # runs that the VM reported for this service.
        self._reported_runs: dict[str, frozenset[str]] = {}
        self._reported_at: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._decide_handle: asyncio.Handle | None = None
        self._on_queued: dict[str, OnQueued] = {}  # by request ID
        # Slot requests and decisions; `QueueLog` clears them every second.
        self.counts: Counter[str] = Counter()

    def request_slot(
        self,
        ask: SlotRequest,
        on_decision: OnDecision,
        on_queued: OnQueued | None = None,
    ) -> None:
        """Queue a request, or keep a queued one from expiring.

        `on_queued` is called unless `on_decision` is called in the same
        iteration of the event loop.
        """
        now = self._clock.monotonic()
        is_repeat = ask.request_id in self._on_decision
        self.counts['repeated' if is_repeat else 'asked'] += 1
        self._on_decision[ask.request_id] = on_decision
        self._requested_at[ask.request_id] = now
        if on_queued is not None:
            self._on_queued[ask.request_id] = on_queued
        self._apply(self._policy.request_slot(ask, now))
        if self._decide_handle is None:
            self._report_queued()

    def is_idle(self) -> bool:
        """Tell whether no request waits and load is below `IDLE_MAX_LOAD`."""
        if self._policy.has_pending_events:
            self._decide()
        load = self._policy.load()
        return not load.waiting and load.running < load.limit * IDLE_MAX_LOAD

    def backlog(self) -> Backlog | None:
        """Return the backlog, or `None` if no request waits."""
        if self._policy.has_pending_events:
            self._decide()
        return self._policy.backlog(self._clock.monotonic())

    def withdraw(self, request_id: str) -> None:
        """Remove a waiting or running request."""
        self._on_decision.pop(request_id, None)
        self._clear_times(request_id)
        self._apply(self._policy.withdraw(request_id, self._clock.monotonic()))

    def note_remote_grant(self, ask: SlotRequest, runner: str) -> None:
        """Add a run of this VM that another VM's queue granted."""
        now = self._clock.monotonic()
        self._apply(self._policy.record_run(ask, runner, now))

    def confirm_started(self, request_id: str) -> None:
        """Confirm that a request of this VM uses its grant.

        VMs send no heartbeats to themselves, so nothing else confirms the
        run. Its grant would expire while it runs, and the slot would be
        granted again to a request that then waits at the runner.
        """
        self._granted_at.pop(request_id, None)

    def note_first_token(self, request_id: str, prompt_tokens: int) -> None:
        """Tell the policy that a run has returned its first token."""
        now = self._clock.monotonic()
        self._apply(
            self._policy.record_first_token(request_id, prompt_tokens, 0, now)
        )

    def release(self, request_id: str, report: RunReport) -> None:
        """Free the run's slot."""
        self._clear_times(request_id)
        now = self._clock.monotonic()
        self._apply(self._policy.end_run(request_id, report, now))

    def update_runners(
        self, entries: Sequence[RunnerEntry], *, warm: bool
    ) -> None:
        """Replace the list of the service's runners.

        The slots of `warm` runners are used at once, without a slow start.
        """
        infos = [
            RunnerInfo(
                entry.incarnation,
                entry.state is RunnerState.LEAVING,
                entry.slots,
                warm,
            )
            for entry in entries
        ]
        # The policy takes the first of equally good runners. If all VMs had
        # the same order, those that reach no owner would all start with the
        # same runner.
        self._rng.shuffle(infos)
        self._apply(self._policy.update_runners(infos, self._clock.monotonic()))

    def update_rate_limits(self, per_s: Mapping[str, float]) -> None:
        """Replace the limits, by runner; a runner not named has none."""
        self._apply(
            self._policy.update_start_rates(per_s, self._clock.monotonic())
        )

    def update_reported_runs(
        self, vm: str, runs: Iterable[ReportedRun], heard_at: float
    ) -> None:
        """Replace the runs that a VM reported at a time for this service."""
        now = self._clock.monotonic()
        current = {run.request_id: run for run in runs}
        before = self._reported_runs.get(vm, frozenset())
        for request_id in before - current.keys():
            self._clear_times(request_id)
            self._apply(self._policy.withdraw(request_id, now))
        for request_id, run in current.items():
            # A repeated slot request that arrives after its grant would
            # otherwise expire here and remove the run.
            self._on_decision.pop(request_id, None)
            self._clear_times(request_id)
            if request_id not in before:
                self._apply(
                    self._policy.adopt(
                        slot_request_of(run, now), run.runner, now
                    )
                )
        self._reported_runs[vm] = frozenset(current)
        self._reported_at[vm] = heard_at

    def drop_expired(self) -> None:
        """Drop requests, grants and runs that their VM stopped confirming."""
        now = self._clock.monotonic()
        expired = [
            request_id
            for request_id, at in self._requested_at.items()
            if now - at > REQUEST_TTL_S
        ]
        expired.extend(
            request_id
            for request_id, at in self._granted_at.items()
            if now - at > UNCONFIRMED_RUN_TTL_S
        )
        for request_id in expired:
            self.withdraw(request_id)
        for vm, at in tuple(self._reported_at.items()):
            if now - at > REPORTED_RUNS_TTL_S and self._reported_runs[vm]:
                self.update_reported_runs(vm, (), now)

    def _clear_times(self, request_id: str) -> None:
        self._requested_at.pop(request_id, None)
        self._granted_at.pop(request_id, None)

    def _apply(self, actions: Sequence[Action]) -> None:
        self._report_decisions(actions)
        if self._policy.has_pending_events and self._decide_handle is None:
            loop = asyncio.get_running_loop()
            self._decide_handle = loop.call_soon(self._decide)

    def _decide(self) -> None:
        """Decide once on all events of this iteration of the event loop."""
        if self._decide_handle is not None:
            self._decide_handle.cancel()
            self._decide_handle = None
        self._report_decisions(self._policy.tick(self._clock.monotonic()))
        self._report_queued()
        self._set_timer()

    def _report_decisions(self, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, Grant | Refuse):
                self._report_decision(action)

    def _report_queued(self) -> None:
        for request_id, on_queued in self._on_queued.items():
            if request_id in self._on_decision:
                on_queued()
        self._on_queued.clear()

    def _report_decision(self, action: Grant | Refuse) -> None:
        request_id = action.request_id
        self._requested_at.pop(request_id, None)
        on_decision = self._on_decision.pop(request_id, None)
        if isinstance(action, Grant):
            self._granted_at[request_id] = self._clock.monotonic()
            self.counts['granted'] += 1
        else:
            self.counts['refused'] += 1
        if on_decision is not None:
            on_decision(action)

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._clock.monotonic()
        due = self._policy.next_wake(now)
        if due is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                max(due - now, MIN_TIMER_S), self._decide
            )


def slot_request_of(run: ReportedRun, now: float) -> SlotRequest:
    """Rebuild the slot request of a run that another VM reported."""
    return SlotRequest(
        run.request_id,
        run.service,
        Tier(run.tier),
        run.workspace,
        run.cost,
        run.prompt_tokens,
        (),
        now,
        cancellable=False,
    )


def make_queue(
    name: str,
    *,
    is_engine: bool,
    clock: Clock,
    rng: Random,
    overload: OverloadBounds = UNBOUNDED,
) -> ServiceQueue:
    """Make the queue of a service whose runners declare their slots."""
    kind = ServiceKind.ENGINE if is_engine else ServiceKind.PLAIN
    return ServiceQueue(Service(name, kind, slots=1), clock, rng, overload)


def exclude_runner(ask: SlotRequest, runner: str) -> SlotRequest:
    """Return a copy of a slot request that this runner can't be granted."""
    return replace(ask, excluded=ask.excluded | {runner})
