"""Simulation of one load pattern under one scheduler."""

from functools import partial
from random import Random

from bramleybend.decisions.switches import PolicySwitches
from tests.benchmarks.baselines import (
    Baseline,
    LeastOutstanding,
    PlacementRule,
    RandomOfTwo,
    RoundRobin,
)
from tests.benchmarks.fleet import Fleet, RequestState, SchedulerUnderTest
from tests.benchmarks.gateways import Bramleybend
from tests.benchmarks.measures import Scores
from tests.benchmarks.patterns import (
    ARRIVAL_PERIOD_S,
    PATTERNS,
    LoadPattern,
    RequestProfile,
    make_jobs,
)
from tests.utils.queueing_fake import VirtualTime

DRAIN_S = 45.0


def simulate(
    scheduler: str,
    profiles: tuple[RequestProfile, ...],
    pattern: LoadPattern,
    seed: int,
    switches: PolicySwitches | None = None,
    *,
    affinity: bool = True,
    seconds: float = ARRIVAL_PERIOD_S,
) -> Scores:
    """Simulate one load pattern under one scheduler; return the scores."""
    time = VirtualTime()
    fleet = Fleet(time, pattern)
    scores = Scores()
    scheduler_under_test: SchedulerUnderTest
    if scheduler == 'bramleybend':
        enabled = switches or PolicySwitches()
        scheduler_under_test = Bramleybend(
            fleet, scores, profiles, seed, enabled, affinity
        )
    else:
        scheduler_under_test = _make_baseline(scheduler, fleet, scores, seed)
    for job in make_jobs(profiles, pattern, seed, seconds):
        scores.record_offered(job)
        request = RequestState(job)
        time.at(job.at, partial(scheduler_under_test.submit, request))
        time.at(
            job.deadline, partial(_on_deadline, scheduler_under_test, request)
        )
    time.run(seconds + DRAIN_S)
    return scores


def _on_deadline(
    scheduler_under_test: SchedulerUnderTest, request: RequestState
) -> None:
    if not request.is_finished:
        request.is_finished = True
        scheduler_under_test.on_caller_gone(request)


def _make_baseline(
    scheduler: str,
    fleet: Fleet,
    scores: Scores,
    seed: int,
) -> Baseline:
    rng = Random(seed)
    placement_rules: dict[str, PlacementRule] = {
        'FIFO + round robin': RoundRobin(),
        'least outstanding': LeastOutstanding(rng),
        'random of two': RandomOfTwo(rng, fleet),
    }
    return Baseline(placement_rules[scheduler], fleet, scores)


SCHEDULERS = (
    'bramleybend',
    'FIFO + round robin',
    'least outstanding',
    'random of two',
)
PATTERNS_BY_NAME = {pattern.name: pattern for pattern in PATTERNS}
