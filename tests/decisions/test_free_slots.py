"""Use of free slots of different engines while requests wait."""

from dataclasses import replace
from random import Random
from typing import Final

import pytest

from bramleybend.decisions.actions import (
    Action,
    Grant,
    RunnerInfo,
    RunReport,
)
from bramleybend.decisions.shard_policy import ShardPolicy, make_shard_policy
from bramleybend.decisions.switches import PolicySwitches
from bramleybend.direct.service_queue import SWITCHES
from bramleybend.models import Service, ServiceKind, SlotRequest, Tier
from tests.decisions.engine_simulation import (
    COMPLETION_COST,
    EngineSimulation,
    LoadBurst,
    RequestKind,
    SizeDistribution,
)

# The engines can serve this load, except in the burst, so no kind needs to
# starve.
KINDS: Final = (
    RequestKind(
        Tier.CRITICAL,
        per_s=43,
        prompt=SizeDistribution(6610, 1, 54_600),
        events=SizeDistribution(55, 1.3, 550),
        objective_s=1,
        deadline_s=15,
    ),
    RequestKind(
        Tier.HIGH,
        per_s=40,
        prompt=SizeDistribution(628, 0.8, 3310),
        events=SizeDistribution(42, 1.4, 420),
        objective_s=0.5,
        deadline_s=12,
    ),
    RequestKind(
        Tier.NORMAL,
        per_s=56,
        prompt=SizeDistribution(1800, 1, 6870),
        events=SizeDistribution(3, 1.1, 32),
        objective_s=0.5,
        deadline_s=3,
    ),
)
BURST: Final = LoadBurst(2, 7, 1.8)
DURATION_S: Final = 10.0
MIN_VALUE: Final = 0.42  # share of its value that each kind has to reach
SEEDS: Final = (1, 2, 3)
# The switches of entry VMs, and those of the owners of the native interface.
SWITCH_SETS: Final = (SWITCHES, replace(SWITCHES, holding=True))
SWITCH_IDS: Final = ('raw path', 'holding')

SLOTS: Final = 4
WORKSPACE_COUNT: Final = 16  # more than the runners; each has one request
# Fewer than the runners, but more than are evaluated at once.
HELD_COUNT: Final = 8
PAIR_COUNT: Final = 7  # pairs of engines
RUNS_PER_ENGINE: Final = 30  # of each engine, from which its pace is measured
NOW: Final = 1000.0


@pytest.fixture(scope='module', params=SWITCH_SETS, ids=SWITCH_IDS)
def simulations(request: pytest.FixtureRequest) -> list[EngineSimulation]:
    """Simulate the load with each seed."""
    simulations = [EngineSimulation(seed, request.param) for seed in SEEDS]
    for simulation in simulations:
        simulation.run(KINDS, BURST, DURATION_S)
    return simulations


def make_ask(
    name: str, tier: Tier, tokens: int = 400, answer: int = 100
) -> SlotRequest:
    """Return a request of a workspace of its own."""
    return SlotRequest(
        request_id=name,
        service='lm',
        tier=tier,
        workspace=f'workspace of {name}',
        cost=tokens + answer * COMPLETION_COST,
        prompt_tokens=tokens,
        prefixes=(),
        deadline=NOW + 20,
        cancellable=False,
        on_time_until=NOW + 10,
        begin_by=NOW + 10,
    )


def record_run(
    policy: ShardPolicy, name: str, runner: str, begins: float, seconds: float
) -> None:
    """Report one complete run on a runner to the policy."""
    policy.record_run(make_ask(name, Tier.CRITICAL), runner, begins)
    policy.record_first_token(name, 400, 0, begins + seconds / 10)
    report = RunReport(
        'done', prompt_tokens=400, completion_tokens=100, seconds=seconds
    )
    policy.end_run(name, report, begins + seconds)


def make_trained_policy(
    switches: PolicySwitches, pairs: int = 1
) -> ShardPolicy:
    """Return a policy with measured paces, full fast and free slow engines."""
    service = Service('lm', ServiceKind.ENGINE, slots=1)
    policy = make_shard_policy(service, Random(1), switches=switches)
    paces = [(f'fast-{number}', 0.4) for number in range(pairs)]
    paces += [(f'slow-{number}', 0.9) for number in range(pairs)]
    infos = [RunnerInfo(name, slots=SLOTS, warm=True) for name, _ in paces]
    policy.update_runners(infos, 0)
    for number in range(RUNS_PER_ENGINE):
        for position, (runner, seconds) in enumerate(paces):
            begins = float(number * len(paces) + position)
            record_run(policy, f'{runner}-{number}', runner, begins, seconds)
    for name, _ in paces[:pairs]:
        for number in range(SLOTS):
            running = make_ask(f'on-{name}-{number}', Tier.CRITICAL)
            policy.record_run(running, name, NOW)
            policy.record_first_token(running.request_id, 400, 0, NOW)
    return policy


def granted_ids(actions: list[Action]) -> list[str]:
    """Return the IDs of the granted requests."""
    return [
        action.request_id for action in actions if isinstance(action, Grant)
    ]


@pytest.mark.parametrize('switches', SWITCH_SETS, ids=SWITCH_IDS)
def test_requests_of_many_workspaces_use_all_free_slots(
    switches: PolicySwitches,
) -> None:
    policy = make_trained_policy(switches)
    started: list[str] = []
    for number in range(WORKSPACE_COUNT):
        started += granted_ids(
            policy.request_slot(make_ask(f'w{number}', Tier.HIGH), NOW)
        )
    assert len(started) == SLOTS


@pytest.mark.parametrize('switches', SWITCH_SETS, ids=SWITCH_IDS)
def test_held_requests_do_not_hide_a_lower_one_from_free_slots(
    switches: PolicySwitches,
) -> None:
    policy = make_trained_policy(switches, PAIR_COUNT)
    for number in range(HELD_COUNT):
        policy.request_slot(make_ask(f'w{number}', Tier.HIGH), NOW)
    brief = make_ask('brief', Tier.NORMAL, tokens=50, answer=2)
    assert granted_ids(policy.request_slot(brief, NOW)) == ['brief']


def test_no_kind_is_starved_while_engines_have_free_slots(
    simulations: list[EngineSimulation],
) -> None:
    min_values = [
        min(tally.value for tally in simulation.tallies.values())
        for simulation in simulations
    ]
    assert min(min_values) >= MIN_VALUE, min_values


def test_nothing_is_refused_with_under_half_of_the_slots_taken(
    simulations: list[EngineSimulation],
) -> None:
    assert [
        simulation.refusals_below_half_load for simulation in simulations
    ] == [0 for _ in simulations]
