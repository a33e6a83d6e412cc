"""Evaluating only new requests gives the same actions as evaluating all."""

from dataclasses import replace
from math import inf
from random import Random

import pytest

from bramleybend.decisions.actions import (
    Action,
    Grant,
    Refuse,
    RunnerInfo,
    RunReport,
)
from bramleybend.decisions.shard_policy import ShardPolicy, make_shard_policy
from bramleybend.decisions.switches import PolicySwitches
from bramleybend.models import Service, ServiceKind, SlotRequest, Tier

SERVICE = Service('lm', ServiceKind.ENGINE, slots=1)
EVENT_COUNT = 1500
RUNNER_COUNT = 4


def make_policy() -> ShardPolicy:
    """Create the policy of four engines with three slots each."""
    switches = PolicySwitches(preemption=False, limits=False)
    policy = make_shard_policy(SERVICE, Random(1), switches=switches)
    infos = [
        RunnerInfo(f'r{number}', leaving=False, slots=3, warm=True)
        for number in range(RUNNER_COUNT)
    ]
    policy.update_runners(infos, -100)
    return policy


def random_ask(rng: Random, number: int, now: float) -> SlotRequest:
    """Return a request of random size and patience."""
    prompt = rng.choice([40, 500, 3000, 12_000])
    return SlotRequest(
        request_id=f'req-{number}',
        service='lm',
        tier=Tier(rng.randint(1, 3)),
        workspace=f'workspace-{rng.randint(0, 4)}',
        cost=prompt + rng.choice([80, 800, 9000]),
        prompt_tokens=prompt,
        prefixes=(),
        deadline=now + rng.choice([1, 4, 12]),
        cancellable=False,
        on_time_until=now + rng.choice([0.2, 0.5, inf]),
        begin_by=now + rng.choice([0.5, 2, inf]),
    )


class PolicyPair:
    """A normal policy, and one that evaluates all requests each time."""

    def __init__(self, rng: Random) -> None:
        """Start both policies in the same state."""
        self._rng = rng
        self._policy, self._exhaustive = make_policy(), make_policy()
        self._running: dict[str, tuple[SlotRequest, str, float]] = {}
        self._asks: dict[str, SlotRequest] = {}
        self.started = 0

    def step(self, number: int, now: float) -> None:
        """Apply one random event to both policies."""
        kind = self._rng.random()
        if kind < 0.5:
            ask = random_ask(self._rng, number, now)
            self._asks[ask.request_id] = ask
            self._apply_to_both('request_slot', ask, now)
        elif kind < 0.6 or not self._running:
            self._apply_to_both('tick', now)
        else:
            self._advance_run(now)

    def _advance_run(self, now: float) -> None:
        name = self._rng.choice(sorted(self._running))
        ask, _, since = self._running[name]
        if self._rng.random() < 0.4:
            self._apply_to_both(
                'record_first_token', name, ask.prompt_tokens, 0, now
            )
            return
        self._running.pop(name)
        report = RunReport('done', prompt_tokens=ask.prompt_tokens)
        report = replace(report, completion_tokens=20, seconds=now - since)
        self._apply_to_both('end_run', name, report, now)

    def _apply_to_both(self, event: str, *facts: object) -> None:
        now = facts[-1]
        assert isinstance(now, float)
        self._exhaustive._idle_until = -inf
        expected = getattr(self._exhaustive, event)(*facts)
        actions: list[Action] = getattr(self._policy, event)(*facts)
        assert _comparable(actions) == _comparable(expected)
        for action in actions:
            if isinstance(action, Grant):
                self.started += 1
                name = action.request_id
                self._running[name] = (self._asks[name], action.runner, now)


def _comparable(actions: list[Action]) -> list[object]:
    return [
        replace(action, retry_after=None)  # type: ignore[arg-type]
        if isinstance(action, Refuse)
        else action
        for action in actions
    ]


@pytest.mark.parametrize('seed', range(8))
def test_evaluating_only_new_requests_gives_the_same_actions(
    seed: int,
) -> None:
    """Guards against a startable request that waits for the next event."""
    rng = Random(seed)
    pair = PolicyPair(rng)
    now = float(0)
    for number in range(EVENT_COUNT):
        now += rng.expovariate(40)
        pair.step(number, now)
    assert pair.started > EVENT_COUNT / 10
