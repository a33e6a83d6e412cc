"""Regression bounds on virtual time and counts; one seed, short runs.

The bounds are slightly looser than the results of `python -m tests.benchmarks`,
so that a regression in goodput, prefill or fairness fails here first.
"""

from functools import cache

import pytest

from bramleybend.models import Tier
from tests.benchmarks.measures import Scores
from tests.benchmarks.patterns import DEPLOYMENTS, SEEDS
from tests.benchmarks.simulation import PATTERNS_BY_NAME, SCHEDULERS, simulate

SECONDS = 20.0
CASES = [
    (deployment, pattern)
    for deployment in DEPLOYMENTS
    for pattern in ('steady', 'skew', 'saturation')
]


@cache
def scores_of(scheduler: str, deployment: str, pattern: str) -> Scores:
    return simulate(
        scheduler,
        DEPLOYMENTS[deployment],
        PATTERNS_BY_NAME[pattern],
        SEEDS[0],
        seconds=SECONDS,
    )


@pytest.mark.parametrize(('deployment', 'pattern'), CASES)
def test_decisions_stay_within_bounds(deployment: str, pattern: str) -> None:
    ours = scores_of('bramleybend', deployment, pattern)
    baselines = [
        scores_of(name, deployment, pattern) for name in SCHEDULERS[1:]
    ]
    least_outstanding = scores_of('least outstanding', deployment, pattern)
    assert ours.goodput(Tier.CRITICAL) >= 0.99
    assert ours.wasted_prefill <= least_outstanding.wasted_prefill / 3
    assert ours.total_goodput() >= max(
        baseline.total_goodput() for baseline in baselines
    )
    assert ours.fairness() >= 0.95


def test_same_seed_gives_the_same_run() -> None:
    profiles = DEPLOYMENTS['parwaz']
    steady = PATTERNS_BY_NAME['steady']
    runs = [
        simulate('bramleybend', profiles, steady, 11, seconds=4)
        for _ in range(2)
    ]
    assert runs[0] == runs[1]
