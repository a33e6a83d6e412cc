"""Wall time of one decision, by the number of shards and queued requests.

Run with `python -m pytest tests/benchmarks/test_growth.py -n 0
--benchmark-enable`. A service of 50 runners has 4 shards, one of 1,200 has
75; an owner sees the runners of its own shard, a gateway ranks all shards.
"""

from collections.abc import Callable
from itertools import count
from random import Random

import pytest
from pytest_benchmark.fixture import BenchmarkFixture

from bramleybend.decisions.actions import (
    Action,
    Grant,
    RunnerInfo,
    RunReport,
    ShardView,
)
from bramleybend.decisions.routing import rank_shards
from bramleybend.decisions.shard_policy import make_shard_policy
from bramleybend.models import Service, ServiceKind
from tests.decisions.test_owner import make_ask

RUNNER_COUNT = 16
DONE_REPORT = RunReport(
    'done', prompt_tokens=900, completion_tokens=9, seconds=1
)


def make_cycle(queued: int) -> Callable[[], int]:
    """Return a function that ends a run and submits a new request."""
    service = Service('briefing-llm', ServiceKind.ENGINE, slots=4)
    policy = make_shard_policy(service, Random(1))
    policy.update_runners(
        [RunnerInfo(f'e{n}') for n in range(RUNNER_COUNT)], -100
    )
    numbers = count()
    running: list[str] = []

    def apply_actions(actions: list[Action], now: float) -> None:
        for action in actions:
            if isinstance(action, Grant):
                running.append(action.request_id)
                apply_actions(
                    policy.record_first_token(action.request_id, 900, 0, now),
                    now,
                )

    def send_request(now: float) -> None:
        number = next(numbers)
        ask = make_ask(
            f'r{number}',
            workspace=f'w{number % 50}',
            prompt_tokens=900,
            cost=1000,
            prefixes=(f'p{number % 40}', f'q{number % 400}'),
            deadline=1e9,
        )
        apply_actions(policy.request_slot(ask, now), now)

    def run_cycle() -> int:
        now = 100 + next(numbers) / 1000
        apply_actions(policy.end_run(running.pop(0), DONE_REPORT, now), now)
        send_request(now)
        return len(running)

    while policy.load().waiting < queued:
        send_request(0)
    return run_cycle


@pytest.mark.parametrize('queued', [10, 100, 1000, 10_000 - 1])
def test_owner_decides_with_a_long_queue(
    benchmark: BenchmarkFixture,
    queued: int,
) -> None:
    run_cycle = make_cycle(queued)
    assert benchmark(run_cycle) > 0


@pytest.mark.parametrize('shards', [4, 75])
def test_gateway_ranks_many_shards(
    benchmark: BenchmarkFixture,
    shards: int,
) -> None:
    views = [
        ShardView('briefing-llm', shard, shard, 0, 100, 0)
        for shard in range(shards)
    ]
    ask = make_ask('a', prefixes=('x', 'y', 'z'))
    rng = Random(1)
    ranked = benchmark(lambda: rank_shards(ask, views, rng))
    assert len(ranked) == shards
