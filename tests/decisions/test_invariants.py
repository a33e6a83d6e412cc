"""Invariants of a shard's owner under random events."""

from random import Random

import pytest

from bramleybend.decisions.actions import (
    Action,
    Grant,
    Preempt,
    Refuse,
    RunnerInfo,
    RunReport,
)
from bramleybend.decisions.shard_policy import make_shard_policy
from bramleybend.models import SlotRequest, Tier
from tests.decisions.test_owner import SERVICE, make_ask

STEPS = 600
RUNNER_NAMES = ('e0', 'e1', 'e2', 'e3')


class RandomEvents:
    """Random callers, runners and faults around one policy."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.policy = make_shard_policy(SERVICE, Random(seed))
        self.now = float(0)
        self.asks: dict[str, SlotRequest] = {}
        self.running: dict[str, str] = {}
        self.finished: set[str] = set()
        self.leaving: set[str] = set()
        self.floor: tuple[float, Tier] = (-1, Tier.BULK)
        infos = [RunnerInfo(name) for name in RUNNER_NAMES]
        self.handle_actions(self.policy.update_runners(infos, 0))

    def handle_actions(self, actions: list[Action]) -> None:
        for action in actions:
            ask = self.asks[action.request_id]
            if isinstance(action, Grant):
                self.handle_grant(ask, action.runner)
            elif isinstance(action, Refuse):
                assert ask.request_id not in self.running
                assert action.retry_after.total_seconds() > 0
                self.finished.add(ask.request_id)
            elif isinstance(action, Preempt):
                assert ask.cancellable
                assert ask.tier > action.for_tier
                assert ask.request_id in self.running

    def handle_grant(self, ask: SlotRequest, runner: str) -> None:
        if self.running.get(ask.request_id) == runner:
            return  # a repeated slot request gets the same grant
        assert ask.request_id not in self.running
        assert ask.request_id not in self.finished
        assert runner not in self.leaving | ask.excluded
        until, tier = self.floor
        assert self.now >= until or ask.tier <= tier
        other_runs = [
            other for other, name in self.running.items() if name == runner
        ]
        if ask.suspect:
            assert not other_runs
        assert not any(self.asks[other].suspect for other in other_runs)
        self.running[ask.request_id] = runner

    def step(self) -> None:
        self.now += self.rng.expovariate(4)
        events = (
            self.ask,
            self.ask,
            self.ask,
            self.end,
            self.end,
            self.first_token,
            self.repeat_ask,
            self.withdraw,
            self.list_runners,
            self.set_floor,
            self.tick,
        )
        self.rng.choice(events)()

    def ask(self) -> None:
        rng = self.rng
        ask = make_ask(
            f'r{len(self.asks)}',
            tier=rng.choice(list(Tier)),
            workspace=rng.choice('abc'),
            cost=rng.uniform(-10, 9000),
            prompt_tokens=rng.randint(-5, 8000),
            prefixes=tuple(rng.choices('pqrs', k=rng.randint(0, 3))),
            deadline=self.now + rng.uniform(-1, 30),
            cancellable=rng.random() < 0.7,
            suspect=rng.random() < 0.05,
            excluded=frozenset(rng.sample(RUNNER_NAMES, rng.randint(0, 1))),
        )
        self.asks[ask.request_id] = ask
        self.handle_actions(self.policy.request_slot(ask, self.now))

    def end(self) -> None:
        if self.running:
            name = self.rng.choice(list(self.running))
            self.running.pop(name)
            self.finished.add(name)
            report = RunReport(
                self.rng.choice(('done', 'failed')),
                crashed=self.rng.random() < 0.05,
                refused=self.rng.random() < 0.05,
                prompt_tokens=self.rng.randint(-5, 9000),
                completion_tokens=self.rng.randint(-5, 500),
                seconds=self.rng.uniform(-1, 20),
            )
            self.handle_actions(self.policy.end_run(name, report, self.now))

    def first_token(self) -> None:
        if self.running:
            name = self.rng.choice(list(self.running))
            self.handle_actions(
                self.policy.record_first_token(name, 900, 100, self.now)
            )

    def repeat_ask(self) -> None:
        if self.running:
            ask = self.asks[self.rng.choice(list(self.running))]
            self.handle_actions(self.policy.request_slot(ask, self.now))

    def withdraw(self) -> None:
        waiting = self.asks.keys() - self.running.keys() - self.finished
        if waiting:
            name = min(waiting)
            self.finished.add(name)
            self.handle_actions(self.policy.withdraw(name, self.now))

    def list_runners(self) -> None:
        self.leaving = set(
            self.rng.sample(RUNNER_NAMES, self.rng.randint(0, 2))
        )
        infos = [
            RunnerInfo(name, name in self.leaving) for name in RUNNER_NAMES
        ]
        self.handle_actions(self.policy.update_runners(infos, self.now))

    def set_floor(self) -> None:
        if self.now >= self.floor[0]:
            tier = self.rng.choice(list(Tier))
            self.floor = (self.now + 0.5, tier)
            lower = self.policy.set_floor(tier, 0.5, self.now)
            assert lower == sum(
                self.asks[name].tier > tier for name in self.running
            )

    def tick(self) -> None:
        self.handle_actions(self.policy.tick(self.now))


@pytest.mark.parametrize('seed', range(12))
def test_invariants_hold_for_any_event_order(seed: int) -> None:
    events = RandomEvents(seed)
    for _ in range(STEPS):
        events.step()
        assert events.policy.load().running == len(events.running)
    # After all deadlines, each request has been granted or refused.
    events.now += 60
    events.tick()
    assert events.policy.load().waiting == 0
    assert events.asks.keys() == events.finished | events.running.keys()
