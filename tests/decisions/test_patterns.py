"""Results for callers under the load patterns, on simulated engines.

Each test simulates one pattern over 50 engines and 6 entry VMs in virtual time;
the seed makes the run deterministic.
"""

from functools import cache

import pytest

from bramleybend.decisions.switches import PolicySwitches
from bramleybend.models import Tier
from tests.benchmarks.measures import Scores
from tests.benchmarks.patterns import DEPLOYMENTS, SEEDS
from tests.benchmarks.simulation import PATTERNS_BY_NAME, simulate

SECONDS = 20.0


@cache
def scores_of(
    pattern: str, deployment: str = 'parwaz', disabled: str = ''
) -> Scores:
    switches = PolicySwitches(**({disabled: False} if disabled else {}))
    return simulate(
        'bramleybend',
        DEPLOYMENTS[deployment],
        PATTERNS_BY_NAME[pattern],
        SEEDS[0],
        switches,
        seconds=SECONDS,
    )


@pytest.mark.parametrize('deployment', list(DEPLOYMENTS))
def test_burst_affects_lower_tiers_only(deployment: str) -> None:
    """From second 10 to 18, requests arrive at three times the capacity.

    The top tier is not affected; requests of lower tiers that can't end in time
    are refused.
    """
    scores = scores_of('burst', deployment)
    assert scores.goodput(Tier.CRITICAL) >= 0.99
    assert scores.goodput(Tier.CRITICAL) >= scores.goodput(Tier.NORMAL)


def test_one_heavy_workspace_does_not_harm_the_others() -> None:
    """One workspace sends 80 % of a load of 1.3 times the capacity.

    The other four get their requests served up to an equal share.
    """
    assert scores_of('skew').fairness() >= 0.97


def test_long_prompts_do_not_block_bookings() -> None:
    """Every 25th request below the top tier has 30,000 tokens, at 1.3 load.

    Bookings wait behind one prompt at most, so they end within 4 seconds.
    """
    scores = scores_of('long among short')
    assert scores.goodput(Tier.CRITICAL) >= 0.99


def test_slow_upstream_affects_few_requests() -> None:
    """Six of 50 engines become ten times slower at second 10.

    Their runs are late; later requests go to other engines.
    """
    scores = scores_of('slow upstream')
    assert scores.goodput(Tier.CRITICAL) >= 0.98
    assert scores.total_goodput() >= 0.97


def test_crash_loses_only_what_ran_there() -> None:
    """13 of 50 engines crash at second 12; the VM list shows it 2 s later.

    Their runs in flight fail; new runs are not sent there repeatedly.
    """
    scores = scores_of('crash')
    assert scores.goodput(Tier.CRITICAL) >= 0.98
    assert scores.total_goodput() >= 0.96


def test_saturation_without_tiers_would_fail_bookings() -> None:
    with_tiers = scores_of('saturation').goodput(Tier.CRITICAL)
    without = scores_of('saturation', disabled='tiers').goodput(Tier.CRITICAL)
    assert with_tiers >= 0.99
    assert without < 0.99
