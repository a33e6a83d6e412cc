"""Play one pattern under one scheduler."""

from functools import partial
from random import Random

from bramleybend.decisions.switches import PolicySwitches
from tests.benchmarks.baselines import (
    Baseline,
    LeastOutstanding,
    RandomOfTwo,
    RoundRobin,
    Rule,
)
from tests.benchmarks.fleet import Fleet, Player, Try
from tests.benchmarks.gateways import Bramleybend
from tests.benchmarks.measures import Scores
from tests.benchmarks.patterns import (
    PATTERNS,
    SECONDS,
    Kind,
    Pattern,
    make_jobs,
)
from tests.utils.queueing_fake import VirtualTime

END_S = 45.0


def play(
    scheduler: str,
    kinds: tuple[Kind, ...],
    pattern: Pattern,
    seed: int,
    switches: PolicySwitches | None = None,
    *,
    affinity: bool = True,
    seconds: float = SECONDS,
) -> Scores:
    """Play one pattern under one scheduler and count."""
    time = VirtualTime()
    fleet = Fleet(time, pattern)
    scores = Scores()
    player: Player
    if scheduler == 'bramleybend':
        on = switches or PolicySwitches()
        player = Bramleybend(fleet, scores, kinds, seed, on, affinity)
    else:
        player = _make_baseline(scheduler, fleet, scores, seed)
    for job in make_jobs(kinds, pattern, seed, seconds):
        scores.offer(job)
        attempt = Try(job)
        time.at(job.at, partial(player.submit, attempt))
        time.at(job.deadline, partial(_deadline, player, attempt))
    time.run(seconds + END_S)
    return scores


def _deadline(player: Player, attempt: Try) -> None:
    if not attempt.over:
        attempt.over = True
        player.give_up(attempt)


def _make_baseline(
    scheduler: str,
    fleet: Fleet,
    scores: Scores,
    seed: int,
) -> Baseline:
    rng = Random(seed)
    rules: dict[str, Rule] = {
        'FIFO + round robin': RoundRobin(),
        'least outstanding': LeastOutstanding(rng),
        'random of two': RandomOfTwo(rng, fleet),
    }
    return Baseline(rules[scheduler], fleet, scores)


SCHEDULERS = (
    'bramleybend',
    'FIFO + round robin',
    'least outstanding',
    'random of two',
)
PATTERN_BY_NAME = {pattern.name: pattern for pattern in PATTERNS}
