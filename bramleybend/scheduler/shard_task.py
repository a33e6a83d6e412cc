"""The asyncio task that owns one shard's policy and handles its messages.

The policy (`decisions.shard_policy`) makes all decisions. This task passes
messages to the policy and executes the actions that the policy returns.
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
from bramleybend.decisions.quarantine import REFUSAL_CRASHES, CrashRegistry
from bramleybend.decisions.shard_policy import (
    ShardPolicy,
)
from bramleybend.decisions.tier_floor import DEFAULT_TIMES, TakeoverState
from bramleybend.events import EventLog
from bramleybend.metrics import Metric, Metrics
from bramleybend.models import RunnerState, Tier, Vm
from bramleybend.scheduler.crash_tracker import CrashTracker
from bramleybend.scheduler.reply_sender import ReplySender
from bramleybend.scheduler.shard_messages import (
    FirstTokenSeen,
    FloorRequested,
    HoldChannel,
    HoldLost,
    OwnershipMoved,
    RunAdopted,
    RunEnded,
    RunnersListed,
    ShardMessage,
    SlotRequested,
)

MAX_IDLE_S: Final = 0.5


@dataclass(frozen=True)
class ShardDeps:
    """Dependencies of a shard's task."""

    clock: Clock
    events: EventLog
    metrics: Metrics
    crashes: CrashRegistry


class ShardTask:
    """Handles messages one at a time, so the policy needs no locks."""

    def __init__(
        self,
        service: str,
        shard: int,
        policy: ShardPolicy,
        deps: ShardDeps,
    ) -> None:
        """Start without runners and with an empty queue."""
        self.service = service
        self.shard = shard
        self.policy = policy
        self.holds: dict[str, HoldChannel] = {}
        self._deps = deps
        self._inbox: asyncio.Queue[ShardMessage] = asyncio.Queue()
        self.runners: dict[str, Vm] = {}
        self.runner_by_hold: dict[str, str] = {}
        self._is_owner = False
        self._settling = TakeoverState()
        self._crash_tracker = CrashTracker(deps.crashes)
        self._replies = ReplySender(service, shard, deps.events, deps.metrics)

    def post(self, message: ShardMessage) -> None:
        """Queue a message; messages are handled in order."""
        self._inbox.put_nowait(message)

    def begin_ownership(self, now: float) -> None:
        """Become the owner, without knowing the previous owner's tier floors.

        Only the highest tier may start while such a floor may be in force.
        """
        self._is_owner = True
        self._settling.taken_over_at = now
        self.policy.set_floor(min(Tier), DEFAULT_TIMES.grace_s, now)

    def is_settled(self, now: float) -> bool:
        """Whether this task owns the shard and knows every run of it."""
        return self._is_owner and self._settling.is_settled(now)

    def list_waiting(self) -> list[HoldChannel]:
        """Return the holds that were not granted a runner yet."""
        return [
            hold
            for key, hold in self.holds.items()
            if key not in self.runner_by_hold
        ]

    async def run(self) -> None:
        """Handle messages until cancelled."""
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
                return self.policy.record_first_token(
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

    # ---- messages

    def _handle_slot_request(
        self, message: SlotRequested, now: float
    ) -> list[Action]:
        self._add_hold(message.hold)
        if not self._is_owner:
            # A gateway that can't reach the owner asks a fallback. If both
            # VMs started lower tiers, the owner's floor would be broken, so
            # the fallback starts only the highest tier, which no floor
            # excludes.
            grace_s = DEFAULT_TIMES.grace_s
            self.policy.set_floor(min(Tier), grace_s, now)
        ask = replace(
            message.ask,
            request_id=message.hold.key,
            excluded=message.ask.excluded
            | self._crash_tracker.get_excluded_runners(
                message.ask.fingerprint, self.runners
            ),
        )
        if message.urgent:
            # The gateway will shed this request unless a lower tier makes
            # room, so no lower tier may start before it.
            self.policy.set_floor(ask.tier, 1, now)
        return self.policy.request_slot(ask, now)

    def _add_hold(self, hold: HoldChannel) -> None:
        self.holds[hold.key] = hold
        self._replies.send_queued(hold)

    def _handle_run_ended(self, message: RunEnded, now: float) -> list[Action]:
        hold = message.hold
        if self.holds.pop(hold.key, None) is None:
            return []
        runner = self.runner_by_hold.pop(hold.key, '')
        hold.outbox.put_nowait(None)
        if message.report.crashed:
            concurrent = [
                other.fingerprint
                for key, other in self.holds.items()
                if self.runner_by_hold.get(key) == runner
            ]
            has_few_runners = len(self.runners) < REFUSAL_CRASHES
            self._crash_tracker.record_crash(
                runner, [hold.fingerprint, *concurrent], has_few_runners, now
            )
            self._replies.record_event('runner_crashed', hold, runner=runner)
            self._deps.metrics.count(
                Metric.RUNNER_CRASHES,
                service=self.service,
            )
        elif message.report.outcome == Outcome.DONE:
            self._crash_tracker.record_finish(hold.fingerprint, now)
        return self.policy.end_run(hold.key, message.report, now)

    def _handle_hold_lost(self, hold: HoldChannel, now: float) -> list[Action]:
        if self.holds.pop(hold.key, None) is None:
            return []
        if self.runner_by_hold.pop(hold.key, None) is not None:
            self._settling.record_lost_run(now)
        return self.policy.withdraw(hold.key, now)

    def _handle_runners_listed(
        self, runners: tuple[Vm, ...], now: float
    ) -> list[Action]:
        self.runners = {vm.name: vm for vm in runners}
        return self.policy.update_runners(
            [
                RunnerInfo(vm.name, vm.state is RunnerState.LEAVING)
                for vm in runners
            ],
            now,
        )

    def _handle_floor_request(
        self, message: FloorRequested, now: float
    ) -> list[Action]:
        lower_running = self.policy.set_floor(message.tier, message.hold_s, now)
        if not message.reply.done():
            message.reply.set_result(lower_running)
        return []

    def _handle_ownership_moved(self, now: float) -> list[Action]:
        """Close every stream, so that the gateways go to the new owner."""
        # The runs go on. A gateway registers its run with the new owner only
        # once this stream is closed; until then the new owner might report
        # that no lower tier is being served.
        self._is_owner = False
        actions: list[Action] = []
        for hold in tuple(self.holds.values()):
            hold.outbox.put_nowait(None)
            actions += self._handle_hold_lost(hold, now)
        return actions

    # ---- actions

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
