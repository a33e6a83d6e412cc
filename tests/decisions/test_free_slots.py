"""Free slots of unlike engines beside requests that wait."""

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
from bramleybend.decisions.owner import ShardPolicy, make_shard_policy
from bramleybend.decisions.switches import Switches
from bramleybend.direct.owner import SWITCHES
from bramleybend.models import Ask, Service, ServiceKind, Tier
from tests.decisions.engine_play import (
    COMPLETION_COST,
    Burst,
    Kind,
    Play,
    Spread,
)

# For these, no kind needs to go short: the engines can do all but the burst.
KINDS: Final = (
    Kind(
        Tier.CRITICAL,
        per_s=43,
        prompt=Spread(6610, 1, 54_600),
        events=Spread(55, 1.3, 550),
        objective_s=1,
        deadline_s=15,
    ),
    Kind(
        Tier.HIGH,
        per_s=40,
        prompt=Spread(628, 0.8, 3310),
        events=Spread(42, 1.4, 420),
        objective_s=0.5,
        deadline_s=12,
    ),
    Kind(
        Tier.NORMAL,
        per_s=56,
        prompt=Spread(1800, 1, 6870),
        events=Spread(3, 1.1, 32),
        objective_s=0.5,
        deadline_s=3,
    ),
)
BURST: Final = Burst(2, 7, 1.8)
LENGTH_S: Final = 10.0
FLOOR: Final = 0.42  # share of its worth that each kind has to earn
SEEDS: Final = (1, 2, 3)
# As entry VMs decide, and as the owners of the product's own interface do.
BOTH: Final = (SWITCHES, replace(SWITCHES, holding=True))
NAMES: Final = ('raw path', 'holding')

SLOTS: Final = 4
WORKSPACES: Final = 16  # more than the runners, with a request each
HELD: Final = 8  # fewer than the runners, but more than are weighed at once
ENOUGH: Final = 7  # pairs of engines
RUNS: Final = 30  # of each engine, that taught its pace
NOW: Final = 1000.0


@pytest.fixture(scope='module', params=BOTH, ids=NAMES)
def plays(request: pytest.FixtureRequest) -> list[Play]:
    """Play the load with each seed."""
    played = [Play(seed, request.param) for seed in SEEDS]
    for play in played:
        play.run(KINDS, BURST, LENGTH_S)
    return played


def ask(name: str, tier: Tier, tokens: int = 400, answer: int = 100) -> Ask:
    """Return a request of a workspace of its own."""
    return Ask(
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


def run_once(
    policy: ShardPolicy, name: str, runner: str, begins: float, seconds: float
) -> None:
    """Let a runner work on one request."""
    policy.witness(ask(name, Tier.CRITICAL), runner, begins)
    policy.first_token(name, 400, 0, begins + seconds / 10)
    report = RunReport(
        'done', prompt_tokens=400, completion_tokens=100, seconds=seconds
    )
    policy.ended(name, report, begins + seconds)


def taught(switches: Switches, pairs: int = 1) -> ShardPolicy:
    """Return a policy that knows full fast engines and free slow ones."""
    service = Service('lm', ServiceKind.ENGINE, slots=1)
    policy = make_shard_policy(service, Random(1), switches=switches)
    paces = [(f'fast-{number}', 0.4) for number in range(pairs)]
    paces += [(f'slow-{number}', 0.9) for number in range(pairs)]
    infos = [RunnerInfo(name, slots=SLOTS, warm=True) for name, _ in paces]
    policy.runners(infos, 0)
    for number in range(RUNS):
        for position, (runner, seconds) in enumerate(paces):
            begins = float(number * len(paces) + position)
            run_once(policy, f'{runner}-{number}', runner, begins, seconds)
    for name, _ in paces[:pairs]:
        for number in range(SLOTS):
            running = ask(f'on-{name}-{number}', Tier.CRITICAL)
            policy.witness(running, name, NOW)
            policy.first_token(running.request_id, 400, 0, NOW)
    return policy


def granted(actions: list[Action]) -> list[str]:
    """Return what may start."""
    return [
        action.request_id for action in actions if isinstance(action, Grant)
    ]


@pytest.mark.parametrize('switches', BOTH, ids=NAMES)
def test_requests_of_many_workspaces_do_not_all_wait_for_one_slot(
    switches: Switches,
) -> None:
    policy = taught(switches)
    started: list[str] = []
    for number in range(WORKSPACES):
        started += granted(policy.ask(ask(f'w{number}', Tier.HIGH), NOW))
    assert len(started) == SLOTS


@pytest.mark.parametrize('switches', BOTH, ids=NAMES)
def test_held_requests_do_not_hide_a_lower_one_from_free_slots(
    switches: Switches,
) -> None:
    policy = taught(switches, ENOUGH)
    for number in range(HELD):
        policy.ask(ask(f'w{number}', Tier.HIGH), NOW)
    brief = ask('brief', Tier.NORMAL, tokens=50, answer=2)
    assert granted(policy.ask(brief, NOW)) == ['brief']


def test_no_kind_is_starved_while_engines_have_free_slots(
    plays: list[Play],
) -> None:
    worths = [
        min(tally.worth for tally in play.tallies.values()) for play in plays
    ]
    assert min(worths) >= FLOOR, worths


def test_nothing_is_refused_with_under_half_of_the_slots_taken(
    plays: list[Play],
) -> None:
    assert [play.refused_half_idle for play in plays] == [0 for _ in plays]
