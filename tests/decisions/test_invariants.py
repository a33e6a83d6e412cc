"""What holds for a shard's owner whatever happens in whatever order."""

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
from bramleybend.decisions.owner import make_shard_policy
from bramleybend.models import Ask, Tier
from tests.decisions.test_owner import SERVICE, make_ask

STEPS = 600
NAMES = ('e0', 'e1', 'e2', 'e3')


class Play:
    """Random callers, runners and faults around one policy."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.policy = make_shard_policy(SERVICE, Random(seed))
        self.now = float(0)
        self.asks: dict[str, Ask] = {}
        self.running: dict[str, str] = {}
        self.over: set[str] = set()
        self.leaving: set[str] = set()
        self.floor: tuple[float, Tier] = (-1, Tier.BULK)
        infos = [RunnerInfo(name) for name in NAMES]
        self.take(self.policy.runners(infos, 0))

    def take(self, actions: list[Action]) -> None:
        for action in actions:
            ask = self.asks[action.request_id]
            if isinstance(action, Grant):
                self.granted(ask, action.runner)
            elif isinstance(action, Refuse):
                assert ask.request_id not in self.running
                assert action.retry_after.total_seconds() > 0
                self.over.add(ask.request_id)
            elif isinstance(action, Preempt):
                assert ask.cancellable
                assert ask.tier > action.for_tier
                assert ask.request_id in self.running

    def granted(self, ask: Ask, runner: str) -> None:
        if self.running.get(ask.request_id) == runner:
            return  # a repeated ask was answered again
        assert ask.request_id not in self.running
        assert ask.request_id not in self.over
        assert runner not in self.leaving | ask.excluded
        until, tier = self.floor
        assert self.now >= until or ask.tier <= tier
        company = [
            other for other, place in self.running.items() if place == runner
        ]
        if ask.suspect:
            assert not company
        assert not any(self.asks[other].suspect for other in company)
        self.running[ask.request_id] = runner

    def step(self) -> None:
        self.now += self.rng.expovariate(4)
        moves = (
            self.ask,
            self.ask,
            self.ask,
            self.end,
            self.end,
            self.first_token,
            self.repeat,
            self.withdraw,
            self.list_runners,
            self.set_floor,
            self.tick,
        )
        self.rng.choice(moves)()

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
            excluded=frozenset(rng.sample(NAMES, rng.randint(0, 1))),
        )
        self.asks[ask.request_id] = ask
        self.take(self.policy.ask(ask, self.now))

    def end(self) -> None:
        if self.running:
            name = self.rng.choice(list(self.running))
            self.running.pop(name)
            self.over.add(name)
            report = RunReport(
                self.rng.choice(('done', 'failed')),
                crashed=self.rng.random() < 0.05,
                refused=self.rng.random() < 0.05,
                prompt_tokens=self.rng.randint(-5, 9000),
                completion_tokens=self.rng.randint(-5, 500),
                seconds=self.rng.uniform(-1, 20),
            )
            self.take(self.policy.ended(name, report, self.now))

    def first_token(self) -> None:
        if self.running:
            name = self.rng.choice(list(self.running))
            self.take(self.policy.first_token(name, 900, 100, self.now))

    def repeat(self) -> None:
        if self.running:
            ask = self.asks[self.rng.choice(list(self.running))]
            self.take(self.policy.ask(ask, self.now))

    def withdraw(self) -> None:
        waiting = self.asks.keys() - self.running.keys() - self.over
        if waiting:
            name = min(waiting)
            self.over.add(name)
            self.take(self.policy.withdraw(name, self.now))

    def list_runners(self) -> None:
        self.leaving = set(self.rng.sample(NAMES, self.rng.randint(0, 2)))
        infos = [RunnerInfo(name, name in self.leaving) for name in NAMES]
        self.take(self.policy.runners(infos, self.now))

    def set_floor(self) -> None:
        if self.now >= self.floor[0]:
            tier = self.rng.choice(list(Tier))
            self.floor = (self.now + 0.5, tier)
            lower = self.policy.set_floor(tier, 0.5, self.now)
            assert lower == sum(
                self.asks[name].tier > tier for name in self.running
            )

    def tick(self) -> None:
        self.take(self.policy.tick(self.now))


@pytest.mark.parametrize('seed', range(12))
def test_owner_keeps_its_promises_in_any_order(seed: int) -> None:
    play = Play(seed)
    for _ in range(STEPS):
        play.step()
        assert play.policy.load().running == len(play.running)
    # Once all deadlines are past, each request was granted or refused.
    play.now += 60
    play.tick()
    assert play.policy.load().waiting == 0
    assert play.asks.keys() == play.over | play.running.keys()
