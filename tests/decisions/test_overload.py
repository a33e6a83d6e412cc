"""Overload that lasts longer than callers wait."""

from functools import cache
from random import Random
from types import MappingProxyType
from typing import Final

import pytest

from bramleybend.decisions.actions import (
    Action,
    Grant,
    Refuse,
    RunnerInfo,
    RunReport,
)
from bramleybend.decisions.drain_rate import (
    MIN_RETRY_AFTER_S,
    RETRY_AFTER_SPREAD,
)
from bramleybend.decisions.overload import MAX_OWED_STARTS, OverloadBounds
from bramleybend.decisions.shard_policy import make_shard_policy
from bramleybend.direct.service_queue import SWITCHES
from bramleybend.entry_settings import MIN_TIER_SHARE, STANDING_QUEUE_S
from bramleybend.models import Service, ServiceKind, SlotRequest, Tier

RUN_S: Final = 0.1
STEP_S: Final = 0.01
DURATION_S: Final = 20.0
# The longest patience, and the time that tells an overload from a burst.
SETTLED_S: Final = 6.0
OBJECTIVE_S: Final = 0.5
PATIENCE_S: Final = 4.0
SEEDS: Final = (1, 2, 3)
OVERLOAD: Final = OverloadBounds(MIN_TIER_SHARE, STANDING_QUEUE_S)
# The runner serves ten per second: the higher tier alone exceeds its capacity.
ARRIVALS_PER_S: Final = {Tier.HIGH: 11.0, Tier.NORMAL: 8.0}
# With a later refusal, the shortest Retry-After exceeds the caller's patience.
MAX_REFUSAL_WAIT_S: Final = (
    PATIENCE_S - MIN_RETRY_AFTER_S * RETRY_AFTER_SPREAD[1]
)

# Work for 1.3 s in every 1.8 s, arriving at two moments.
BURST_STEPS: Final = 180
BURSTS: Final = MappingProxyType({0: 10, 40: 3})


class OverloadSimulation:
    """Waits of the requests of each tier under a constant overload."""

    def __init__(self, seed: int) -> None:
        """Simulate the load in virtual time."""
        self.sent = dict.fromkeys(ARRIVALS_PER_S, 0)
        self.start_waits: dict[Tier, list[float]] = {
            tier: [] for tier in ARRIVALS_PER_S
        }
        self.refusal_waits: dict[Tier, list[float]] = {
            tier: [] for tier in ARRIVALS_PER_S
        }
        self._asks: dict[str, tuple[Tier, float]] = {}
        self._ends: dict[str, float] = {}
        self._policy = make_shard_policy(
            Service('lm', ServiceKind.ENGINE, slots=1),
            Random(seed),
            switches=SWITCHES,
            overload=OVERLOAD,
        )
        self._run(Random(seed))

    def _run(self, rng: Random) -> None:
        info = RunnerInfo('r1', slots=1, warm=True)
        self._handle_actions(self._policy.update_runners([info], 0), 0)
        for step in range(int(DURATION_S / STEP_S)):
            now = step * STEP_S
            due = tuple(name for name, at in self._ends.items() if at <= now)
            for name in due:
                self._ends.pop(name)
                report = RunReport('done', prompt_tokens=10, seconds=RUN_S)
                self._handle_actions(
                    self._policy.end_run(name, report, now), now
                )
            for tier, per_s in ARRIVALS_PER_S.items():
                if rng.random() < per_s * STEP_S:
                    name = f'{tier.name}-{step}'
                    self._asks[name] = (tier, now)
                    self.sent[tier] += now >= SETTLED_S
                    self._handle_actions(
                        self._policy.request_slot(
                            _make_ask(name, tier, now), now
                        ),
                        now,
                    )
            self._handle_actions(self._policy.tick(now), now)

    def _handle_actions(self, actions: list[Action], now: float) -> None:
        for action in actions:
            if not isinstance(action, Grant | Refuse):
                continue
            tier, at = self._asks[action.request_id]
            if isinstance(action, Grant):
                self._ends[action.request_id] = now + RUN_S
            if at >= SETTLED_S:
                is_grant = isinstance(action, Grant)
                waits = self.start_waits if is_grant else self.refusal_waits
                waits[tier].append(now - at)


def _make_ask(name: str, tier: Tier, now: float) -> SlotRequest:
    return SlotRequest(
        name,
        'lm',
        tier,
        'w',
        18,
        10,
        (),
        now + 3 * PATIENCE_S,
        cancellable=False,
        begin_by=now + PATIENCE_S,
        on_time_until=now + OBJECTIVE_S,
    )


simulate = cache(OverloadSimulation)


@pytest.mark.parametrize('seed', SEEDS)
def test_lower_tier_gets_its_share_of_starts(
    seed: int,
) -> None:
    """With strict priority, the lower tier would not be served at all."""
    simulation = simulate(seed)
    starts = sum(map(len, simulation.start_waits.values()))
    lower = len(simulation.start_waits[Tier.NORMAL])
    assert abs(lower - MIN_TIER_SHARE * starts) <= MAX_OWED_STARTS


@pytest.mark.parametrize('seed', SEEDS)
def test_refusals_in_a_standing_queue_are_early(
    seed: int,
) -> None:
    """A caller refused at the end of its patience can't retry."""
    refused = simulate(seed).refusal_waits[Tier.HIGH]
    assert refused
    assert max(refused) <= MAX_REFUSAL_WAIT_S


@pytest.mark.parametrize('seed', SEEDS)
def test_requests_served_in_a_standing_queue_are_on_time(
    seed: int,
) -> None:
    """A queue that takes longer than the objective makes every request late."""
    waits = simulate(seed).start_waits[Tier.HIGH]
    on_time = [wait for wait in waits if wait <= OBJECTIVE_S]
    assert len(on_time) >= 0.75 * len(waits)


@pytest.mark.parametrize('seed', SEEDS)
def test_burst_shorter_than_patience_is_served_late(
    seed: int,
) -> None:
    """Only a lasting overload is refused, not a short burst."""
    policy = make_shard_policy(
        Service('lm', ServiceKind.ENGINE, slots=1),
        Random(seed),
        switches=SWITCHES,
        overload=OVERLOAD,
    )
    policy.update_runners([RunnerInfo('r1', slots=1, warm=True)], 0)
    started: list[str] = []
    ends_at = float(0)
    for number in range(int(STANDING_QUEUE_S / RUN_S)):
        policy.request_slot(_make_ask(f'a{number}', Tier.HIGH, 0), 0)
    for step in range(int(PATIENCE_S / STEP_S)):
        now = step * STEP_S
        if started and now >= ends_at:
            report = RunReport('done', prompt_tokens=10, seconds=RUN_S)
            actions = policy.end_run(started[-1], report, now)
        else:
            actions = policy.tick(now)
        for action in actions:
            assert isinstance(action, Grant)
            started.append(action.request_id)
            ends_at = now + RUN_S
        if not started:
            started.append('a0')
            ends_at = RUN_S
    assert len(started) == int(STANDING_QUEUE_S / RUN_S)


def test_queue_that_becomes_empty_is_not_standing() -> None:
    """Short bursts that are served completely are not an overload."""
    policy = make_shard_policy(
        Service('lm', ServiceKind.ENGINE, slots=1),
        Random(1),
        switches=SWITCHES,
        overload=OVERLOAD,
    )
    policy.update_runners([RunnerInfo('r1', slots=1, warm=True)], 0)
    refused: list[str] = []
    running = ''
    ends_at = float(0)
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        actions: list[Action] = []
        if running and now >= ends_at:
            report = RunReport('done', prompt_tokens=10, seconds=RUN_S)
            actions.extend(policy.end_run(running, report, now))
            running = ''
        for number in range(BURSTS.get(step % BURST_STEPS, 0)):
            ask = _make_ask(f'a{step}-{number}', Tier.HIGH, now)
            actions.extend(policy.request_slot(ask, now))
        actions.extend(policy.tick(now))
        for action in actions:
            if isinstance(action, Grant):
                running = action.request_id
                ends_at = now + RUN_S
            elif isinstance(action, Refuse):
                refused.append(action.request_id)
    assert not refused
