"""Regression bounds on virtual time and counts; one seed, short runs.

The bounds stand a little below what `python -m tests.benchmarks` measures, so
that a change which costs goodput, prefill or fairness fails here first.
"""

from functools import cache

import pytest

from bramleybend.models import Tier
from tests.benchmarks.measures import Scores
from tests.benchmarks.patterns import DEPLOYMENTS, SEEDS
from tests.benchmarks.players import PATTERN_BY_NAME, SCHEDULERS, play

SECONDS = 20.0
CASES = [
    (deployment, pattern)
    for deployment in DEPLOYMENTS
    for pattern in ('steady', 'skew', 'saturation')
]


@cache
def scores_of(scheduler: str, deployment: str, pattern: str) -> Scores:
    return play(
        scheduler,
        DEPLOYMENTS[deployment],
        PATTERN_BY_NAME[pattern],
        SEEDS[0],
        seconds=SECONDS,
    )


@pytest.mark.parametrize(('deployment', 'pattern'), CASES)
def test_decisions_stay_within_bounds(deployment: str, pattern: str) -> None:
    ours = scores_of('bramleybend', deployment, pattern)
    baselines = [
        scores_of(name, deployment, pattern) for name in SCHEDULERS[1:]
    ]
    least = scores_of('least outstanding', deployment, pattern)
    assert ours.goodput(Tier.CRITICAL) >= 0.99
    assert ours.wasted <= least.wasted / 3
    assert ours.total() >= max(one.total() for one in baselines)
    assert ours.fairness() >= 0.95


def test_same_seed_gives_the_same_run() -> None:
    kinds = DEPLOYMENTS['parwaz']
    steady = PATTERN_BY_NAME['steady']
    runs = [play('bramleybend', kinds, steady, 11, seconds=4) for _ in range(2)]
    assert runs[0] == runs[1]
