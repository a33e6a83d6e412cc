"""Unit tests of the components of a shard's policy."""

from datetime import timedelta
from math import inf
from random import Random

import pytest

from bramleybend.decisions.cache_view import EVENT_LAG_S, CacheView
from bramleybend.decisions.concurrency_limit import ROUND_RUNS, ConcurrencyLimit
from bramleybend.decisions.drain_rate import DrainRate, retry_after
from bramleybend.decisions.preemption import preemptible_runs
from bramleybend.decisions.runner_pace import PaceEstimator
from bramleybend.decisions.runs import Run
from bramleybend.decisions.slow_start import RAMP_S, Ramp
from bramleybend.models import Tier
from tests.decisions.test_owner import make_ask


def finish_round(limit: ConcurrencyLimit, streams: int) -> None:
    for _ in range(ROUND_RUNS):
        limit.record_streams(streams, limit.value)
        limit.record_completion(limit.value)


def test_limit_falls_to_the_true_batch_size() -> None:
    limit = ConcurrencyLimit(16)
    for _ in range(20):
        finish_round(limit, min(4, limit.value))
    assert limit.value == 5


def test_limit_grows_while_all_runs_stream() -> None:
    limit = ConcurrencyLimit(4)
    for _ in range(8):
        finish_round(limit, limit.value)
    assert limit.value == 12


def test_limit_that_was_not_reached_stays() -> None:
    limit = ConcurrencyLimit(8)
    for _ in range(ROUND_RUNS * 3):
        limit.record_streams(1, 1)
        limit.record_completion(1)
    assert limit.value == 8


def test_refusals_lower_a_limit_to_one_at_least() -> None:
    limit = ConcurrencyLimit(4)
    for _ in range(50):
        limit.record_refusal()
    assert limit.value == 1


def test_late_eviction_does_not_remove_a_prefix_sent_since() -> None:
    """Guards against an eviction event that is older than a new send.

    An engine evicts a prefix, a new run caches it again, then the event
    arrives. If the event were applied, the next request would be sent to
    another runner, which would prefill the prefix again.
    """
    view = CacheView()
    view.record_sent(['p'], 100)
    view.handle_event('evicted', 'p', 101)
    assert view.cached_tokens(['p'], 1000) == 256
    view.handle_event('evicted', 'p', 100 + EVENT_LAG_S)
    assert view.cached_tokens(['p'], 1000) == 0


def test_cached_tokens_of_a_run_correct_missed_events() -> None:
    view = CacheView()
    view.record_sent(['p', 'q', 'r'], 0)
    view.reconcile(['p', 'q', 'r'], expected=1024, cached=0)
    assert view.cached_tokens(['p', 'q', 'r'], 2000) == 256


def test_unknown_event_kind_changes_nothing() -> None:
    view = CacheView()
    view.handle_event('moved', 'p', 0)
    assert not view.cached_tokens(['p'], 1000)


def test_ramp_opens_slowly_and_longer_after_each_crash() -> None:
    ramp = Ramp(0)
    assert ramp.share(0) < ramp.share(RAMP_S / 2) < ramp.share(RAMP_S) == 1
    ramp.record_crash(started=5, now=10)
    assert ramp.share(10.5) == 0
    assert ramp.share(11.1) > 0
    ramp.record_crash(started=11.2, now=11.5)
    assert ramp.share(13) == 0


def test_victim_is_the_lowest_tier_then_the_least_prefill() -> None:
    runs = [
        Run(make_ask('a', tier=Tier.NORMAL), 'e', 0, 10),
        Run(make_ask('b', tier=Tier.BULK), 'e', 0, 900),
        Run(make_ask('c', tier=Tier.BULK), 'e', 0, 100),
        Run(make_ask('d', tier=Tier.BULK, cancellable=False), 'e', 0, 1),
    ]
    assert preemptible_runs(runs, Tier.CRITICAL) == [runs[2], runs[1], runs[0]]
    assert not preemptible_runs(runs, Tier.BULK)


def test_retry_after_spreads_callers_refused_together() -> None:
    rng = Random(5)
    waits = [retry_after(40_000, 2000, rng) for _ in range(300)]
    assert max(waits) - min(waits) > timedelta(seconds=15)
    assert min(waits) >= timedelta(seconds=15)


def test_drain_rate_follows_finished_runs() -> None:
    drain = DrainRate()
    for second in range(60):
        drain.record_run(500, 1, second)
    rate = drain.cost_per_s(1, 60)
    assert rate is not None
    assert 400 < rate < 600


@pytest.mark.parametrize('seconds', [0, -1, -inf])
def test_pace_ignores_invalid_measurements(seconds: float) -> None:
    estimator = PaceEstimator()
    estimator.record_run(100, seconds)
    estimator.record_decode(-5, 1)
    assert estimator.pace is None
