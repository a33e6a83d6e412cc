"""One shard's queue: a task that owns its policy and speaks by messages.

All decisions are the policy's (`decisions.owner`); this task only feeds it
what happened and carries out what it decided.
"""

import asyncio
from dataclasses import dataclass, replace
from typing import Final, assert_never

from bramleybend.answers import Outcome
from bramleybend.clock import Clock
from bramleybend.decisions.actions import (
    Action,
    Grant,
    Preempt,
    Refuse,
    RunnerInfo,
)
from bramleybend.decisions.floor import DEFAULT_TIMES, Settling
from bramleybend.decisions.owner import (
    ShardPolicy,
)
from bramleybend.decisions.quarantine import CONDEMNED, CrashBook
from bramleybend.events import EventLog
from bramleybend.metrics import Metric, Metrics
from bramleybend.models import RunnerState, Tier, Vm
from bramleybend.scheduler.crash_tracker import CrashTracker
from bramleybend.scheduler.shard_messages import (
    RunAdopted,
    SlotRequested,
    FirstTokenSeen,
    FloorRequested,
    HoldChannel,
    HoldLost,
    OwnershipMoved,
    RunEnded,
    RunnersListed,
    ShardMessage,
)
from bramleybend.scheduler.reply_sender import ReplySender

MAX_IDLE_S: Final = 0.5


@dataclass(frozen=True)
class ShardDeps:
    """What a shard's task works with."""

    clock: Clock
    events: EventLog
    metrics: Metrics
    crashes: CrashBook


class ShardTask:
    """Takes messages one by one, so the policy needs no locks."""

    def __init__(
        self,
        service: str,
        shard: int,
        policy: ShardPolicy,
        deps: ShardDeps,
    ) -> None:
        """Start with no runners and an empty queue."""
        self.service = service
        self.shard = shard
        self.policy = policy
        self.holds: dict[str, HoldChannel] = {}
        self._deps = deps
        self._inbox: asyncio.Queue[ShardMessage] = asyncio.Queue()
        self.runners: dict[str, Vm] = {}
        self.runner_by_hold: dict[str, str] = {}
        self._is_owner = False
        self._settling = Settling()
        self._crash_tracker = CrashTracker(deps.crashes)
        self._replies = ReplySender(service, shard, deps.events, deps.metrics)

    def post(self, message: ShardMessage) -> None:
        """Hand a message over; it is taken in order."""
        self._inbox.put_nowait(message)

    def begin_ownership(self, now: float) -> None:
        """Begin as owner, with nothing known of the floors before.

        For as long as they may stand, nothing but the highest tier starts.
        """
        self._is_owner = True
        self._settling.taken_over_at = now
        self.policy.set_floor(min(Tier), DEFAULT_TIMES.grace_s, now)

    def is_settled(self, now: float) -> bool:
        """Whether every run of the shard must be known here by now."""
        return self._is_owner and self._settling.settled(now)

    def list_waiting(self) -> list[HoldChannel]:
        """Return the holds that have no runner yet."""
        return [
            hold
            for key, hold in self.holds.items()
            if key not in self.runner_by_hold
        ]

    async def run(self) -> None:
        """Take messages until cancelled."""
        while True:
            message = await self._next_message()
            now = self._deps.clock.monotonic()
            if message is not None:
                self._apply_actions(self._handle_message(message, now))
            self._apply_actions(self.policy.tick(now))

    async def _next_message(self) -> ShardMessage | None:
        now = self._deps.clock.monotonic()
        wake = self.policy.next_wake(now)
        wait_s = MAX_IDLE_S if wake is None else max(wake - now, 0)
        try:
            async with asyncio.timeout(min(wait_s, MAX_IDLE_S)):
                return await self._inbox.get()
        except TimeoutError:
            return None

    def _handle_message(
        self, message: ShardMessage, now: float
    ) -> list[Action]:
        match message:
            case SlotRequested():
                return self._handle_slot_request(message, now)
            case RunAdopted(hold, ask, runner):
                self._add_hold(hold)
                self.runner_by_hold[hold.key] = runner
                return self.policy.adopt(
                    replace(ask, request_id=hold.key),
                    runner,
                    now,
                )
            case FirstTokenSeen(hold, prompt_tokens, cached_tokens):
                return self.policy.first_token(
                    hold.key,
                    prompt_tokens,
                    cached_tokens,
                    now,
                )
            case RunEnded():
                return self._handle_run_ended(message, now)
            case HoldLost(hold):
                return self._handle_hold_lost(hold, now)
            case RunnersListed(runners):
                return self._handle_runners_listed(runners, now)
        return self._handle_ownership(message, now)

    def _handle_ownership(
        self,
        message: OwnershipMoved | FloorRequested,
        now: float,
    ) -> list[Action]:
        match message:
            case OwnershipMoved():
                return self._handle_ownership_moved(now)
            case FloorRequested():
                return self._handle_floor_request(message, now)
        assert_never(message)

    # What happened

    def _handle_slot_request(
        self, asked: SlotRequested, now: float
    ) -> list[Action]:
        self._add_hold(asked.hold)
        if not self._is_owner:
            # Some gateway can't reach the owner. Two VMs that both start
            # lower work would break the owner's floor, so this one starts
            # only the highest tier, which is below no floor.
            grace_s = DEFAULT_TIMES.grace_s
            self.policy.set_floor(min(Tier), grace_s, now)
        ask = replace(
            asked.ask,
            request_id=asked.hold.key,
            excluded=asked.ask.excluded
            | self._crash_tracker.get_excluded_runners(
                asked.ask.fingerprint, self.runners
            ),
        )
        if asked.urgent:
            # The gateway will shed this request unless something lower
            # makes room, so nothing lower may start before it.
            self.policy.set_floor(ask.tier, 1, now)
        return self.policy.ask(ask, now)

    def _add_hold(self, hold: HoldChannel) -> None:
        self.holds[hold.key] = hold
        self._replies.send_queued(hold)

    def _handle_run_ended(self, ended: RunEnded, now: float) -> list[Action]:
        hold = ended.hold
        if self.holds.pop(hold.key, None) is None:
            return []
        runner = self.runner_by_hold.pop(hold.key, '')
        hold.outbox.put_nowait(None)
        if ended.report.crashed:
            company = [
                other.fingerprint
                for key, other in self.holds.items()
                if self.runner_by_hold.get(key) == runner
            ]
            few = len(self.runners) < CONDEMNED
            self._crash_tracker.record_crash(
                runner, [hold.fingerprint, *company], few, now
            )
            self._replies.record_event('runner_crashed', hold, runner=runner)
            self._deps.metrics.count(
                Metric.RUNNER_CRASHES,
                service=self.service,
            )
        elif ended.report.outcome == Outcome.DONE:
            self._crash_tracker.record_finish(hold.fingerprint, now)
        return self.policy.ended(hold.key, ended.report, now)

    def _handle_hold_lost(self, hold: HoldChannel, now: float) -> list[Action]:
        if self.holds.pop(hold.key, None) is None:
            return []
        if self.runner_by_hold.pop(hold.key, None) is not None:
            self._settling.lose_run(now)
        return self.policy.withdraw(hold.key, now)

    def _handle_runners_listed(
        self, runners: tuple[Vm, ...], now: float
    ) -> list[Action]:
        self.runners = {vm.name: vm for vm in runners}
        return self.policy.runners(
            [
                RunnerInfo(vm.name, vm.state is RunnerState.LEAVING)
                for vm in runners
            ],
            now,
        )

    def _handle_floor_request(
        self, asked: FloorRequested, now: float
    ) -> list[Action]:
        lower = self.policy.set_floor(asked.tier, asked.hold_s, now)
        if not asked.reply.done():
            asked.reply.set_result(lower)
        return []

    def _handle_ownership_moved(self, now: float) -> list[Action]:
        """Close every stream; the gateways go to the new owner."""
        # Runs go on meanwhile. Kept here, they would be unknown to the new
        # owner, which then might say that nothing lower is being served.
        self._is_owner = False
        actions: list[Action] = []
        for hold in tuple(self.holds.values()):
            hold.outbox.put_nowait(None)
            actions += self._handle_hold_lost(hold, now)
        return actions

    # What was decided

    def _apply_actions(self, actions: list[Action]) -> None:
        for action in actions:
            hold = self.holds.get(action.request_id)
            if hold is not None:
                self._apply_action(action, hold)

    def _apply_action(self, action: Action, hold: HoldChannel) -> None:
        match action:
            case Grant(_, runner):
                self.runner_by_hold[hold.key] = runner
                self._replies.send_grant(hold, self.runners[runner])
            case Refuse():
                self.holds.pop(hold.key, None)
                self._replies.send_refusal(hold, action)
            case Preempt(_, for_tier):
                self._replies.send_preemption(hold, for_tier)
