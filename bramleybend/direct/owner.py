"""The queue of one service, as this VM would order it.

Every VM keeps one for each service, fed with its own runs and with those that
the others tell of. So whoever becomes the owner knows at once what runs
where, and a VM that reaches no owner orders its own requests by the same
rules.
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
from bramleybend.decisions.overload import UNBOUNDED, Overload
from bramleybend.decisions.owner import ShardPolicy, make_shard_policy
from bramleybend.decisions.switches import Switches
from bramleybend.direct.beat_messages import RunNews
from bramleybend.direct.models import RunnerEntry, RunnerState
from bramleybend.models import Ask, Service, ServiceKind, Tier

Reply: TypeAlias = Callable[[Grant | Refuse], None]
Acknowledge: TypeAlias = Callable[[], None]

# A run that its VM's heartbeats don't tell of this long after the grant has
# ended, and the message that said so was lost. VMs tell owners of their runs
# in each third heartbeat (0.6 s) at least; one of them may be lost.
UNCONFIRMED_S: Final = 1.3
# A VM that tells us of its runs no longer takes us for an owner. Kept as
# taken, they would fill our runners on the day that we become the owner.
RUNS_LAPSE_S: Final = 2.0
# An ask that is not said again is withdrawn: its VM is gone.
ASK_LAPSE_S: Final = 1.0
# Of a service's slots. Heartbeats tell of the other VMs' runs within 0.2 s;
# what starts in that time takes some of the rest.
IDLE_PART: Final = 0.75
SHORTEST_TIMER_S: Final = 0.001  # a timer that fires early would spin
# Engines are not preempted: a stream that is cut after its head was sent
# can't be answered any more. Nothing is held for a better runner: callers of
# the raw path tell no prefixes, so it would save no work.
SWITCHES: Final = Switches(
    preemption=False, limits=False, floor_at_refusal=False, holding=False
)
# Every VM orders a plain service for itself.
PLAIN_SWITCHES: Final = replace(SWITCHES, spreading=True)


class ServiceQueue:
    """Orders one service's requests; carries out what the policy decides."""

    def __init__(
        self, service: Service, clock: Clock, rng: Random, overload: Overload
    ) -> None:
        """Start empty."""
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
        self._replies: dict[str, Reply] = {}
        self._asked_at: dict[str, float] = {}
        self._granted_at: dict[str, float] = {}
        self._told: dict[str, frozenset[str]] = {}  # by VM, its runs here
        self._told_at: dict[str, float] = {}  # by VM
        self._timer: asyncio.TimerHandle | None = None
        self._turn: asyncio.Handle | None = None
        self._unacknowledged: dict[str, Acknowledge] = {}
        self.counts: Counter[str] = Counter()  # what was asked and decided

    def ask(
        self, ask: Ask, reply: Reply, acknowledge: Acknowledge | None = None
    ) -> None:
        """Queue a request; said again, it only stays.

        `acknowledge` is called unless `reply` is called in the same turn of
        the event loop.
        """
        now = self._clock.monotonic()
        is_repeat = ask.request_id in self._replies
        self.counts['repeated' if is_repeat else 'asked'] += 1
        self._replies[ask.request_id] = reply
        self._asked_at[ask.request_id] = now
        if acknowledge is not None:
            self._unacknowledged[ask.request_id] = acknowledge
        self._act(self._policy.ask(ask, now))
        if self._turn is None:
            self._acknowledge()

    def is_idle(self) -> bool:
        """Tell whether nothing waits, and the slots are far from full."""
        if self._policy.is_undecided:
            self._decide()
        load = self._policy.load()
        return not load.waiting and load.running < load.limit * IDLE_PART

    def backlog(self) -> Backlog | None:
        """Return what waits here, unless nothing does."""
        if self._policy.is_undecided:
            self._decide()
        return self._policy.backlog(self._clock.monotonic())

    def withdraw(self, request_id: str) -> None:
        """Forget a request, waiting or running."""
        self._replies.pop(request_id, None)
        self._forget(request_id)
        self._act(self._policy.withdraw(request_id, self._clock.monotonic()))

    def witness(self, ask: Ask, runner: str) -> None:
        """Note a run of our own that another VM granted."""
        now = self._clock.monotonic()
        self._act(self._policy.witness(ask, runner, now))

    def began(self, request_id: str) -> None:
        """Note that our own request took its grant.

        No heartbeat tells of it; unconfirmed, its slot would be given away
        while it runs, and the runner would queue what we should order.
        """
        self._granted_at.pop(request_id, None)

    def filled(self, request_id: str, prompt_tokens: int) -> None:
        """Note a run's first token."""
        now = self._clock.monotonic()
        self._act(self._policy.first_token(request_id, prompt_tokens, 0, now))

    def ended(self, request_id: str, report: RunReport) -> None:
        """Free the run's slot."""
        self._forget(request_id)
        now = self._clock.monotonic()
        self._act(self._policy.ended(request_id, report, now))

    def take_runners(
        self, entries: Sequence[RunnerEntry], *, warm: bool
    ) -> None:
        """Take in the service's runners."""
        infos = [
            RunnerInfo(
                entry.incarnation,
                entry.state is RunnerState.LEAVING,
                entry.slots,
                warm,
            )
            for entry in entries
        ]
        # Of runners that look alike the first is taken. In the same order at
        # all VMs, those that reach no owner would all start at the same one.
        self._rng.shuffle(infos)
        self._act(self._policy.runners(infos, self._clock.monotonic()))

    def take_rates(self, per_s: Mapping[str, float]) -> None:
        """Take in the limits of runners; those not named have none."""
        self._act(self._policy.start_rates(per_s, self._clock.monotonic()))

    def heard_runs(self, vm: str, runs: Iterable[RunNews]) -> None:
        """Take in what a VM says it has running here."""
        now = self._clock.monotonic()
        current = {run.request_id: run for run in runs}
        before = self._told.get(vm, frozenset())
        for request_id in before - current.keys():
            self._forget(request_id)
            self._act(self._policy.withdraw(request_id, now))
        for request_id, run in current.items():
            # An ask of a run that is read late would lapse, and end the run.
            self._replies.pop(request_id, None)
            self._forget(request_id)
            if request_id not in before:
                self._act(self._policy.adopt(ask_of(run, now), run.runner, now))
        self._told[vm] = frozenset(current)
        self._told_at[vm] = now

    def sweep(self) -> None:
        """Drop asks and grants whose VM said nothing more of them."""
        now = self._clock.monotonic()
        silent = [
            request_id
            for request_id, at in self._asked_at.items()
            if now - at > ASK_LAPSE_S
        ]
        silent.extend(
            request_id
            for request_id, at in self._granted_at.items()
            if now - at > UNCONFIRMED_S
        )
        for request_id in silent:
            self.withdraw(request_id)
        for vm, at in tuple(self._told_at.items()):
            if now - at > RUNS_LAPSE_S and self._told[vm]:
                self.heard_runs(vm, ())

    def _forget(self, request_id: str) -> None:
        self._asked_at.pop(request_id, None)
        self._granted_at.pop(request_id, None)

    def _act(self, actions: Sequence[Action]) -> None:
        self._answer_all(actions)
        if self._policy.is_undecided and self._turn is None:
            loop = asyncio.get_running_loop()
            self._turn = loop.call_soon(self._decide)

    def _decide(self) -> None:
        """Decide once for all that came in this turn of the event loop."""
        if self._turn is not None:
            self._turn.cancel()
            self._turn = None
        self._answer_all(self._policy.tick(self._clock.monotonic()))
        self._acknowledge()
        self._set_timer()

    def _answer_all(self, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, Grant | Refuse):
                self._answer(action)

    def _acknowledge(self) -> None:
        for request_id, acknowledge in self._unacknowledged.items():
            if request_id in self._replies:
                acknowledge()
        self._unacknowledged.clear()

    def _answer(self, action: Grant | Refuse) -> None:
        request_id = action.request_id
        self._asked_at.pop(request_id, None)
        reply = self._replies.pop(request_id, None)
        if isinstance(action, Grant):
            self._granted_at[request_id] = self._clock.monotonic()
            self.counts['granted'] += 1
        else:
            self.counts['refused'] += 1
        if reply is not None:
            reply(action)

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._clock.monotonic()
        due = self._policy.next_wake(now)
        if due is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                max(due - now, SHORTEST_TIMER_S), self._decide
            )


def ask_of(run: RunNews, now: float) -> Ask:
    """Tell what is known of a run that another VM has."""
    return Ask(
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
    overload: Overload = UNBOUNDED,
) -> ServiceQueue:
    """Make the queue of a service whose runners declare their slots."""
    kind = ServiceKind.ENGINE if is_engine else ServiceKind.PLAIN
    return ServiceQueue(Service(name, kind, slots=1), clock, rng, overload)


def without(ask: Ask, runner: str) -> Ask:
    """Ask again for any other runner."""
    return replace(ask, excluded=ask.excluded | {runner})
