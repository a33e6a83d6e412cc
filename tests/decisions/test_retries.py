"""Retries stay a small share of the load and are spread over time."""

from random import Random

import pytest

from bramleybend.decisions.retries import (
    MAX_BACKOFF_S,
    MAX_TOKENS,
    RetryBudgets,
    backoff_delay,
)
from bramleybend.models import Repeat


@pytest.mark.parametrize(
    'repeat',
    [Repeat.NON_IDEMPOTENT, Repeat.AT_MOST_ONCE],
)
def test_work_that_may_run_once_is_never_retried(repeat: Repeat) -> None:
    assert not RetryBudgets().try_spend(repeat, 'north', 'lm', 0)


def test_outage_allows_a_bounded_number_of_retries() -> None:
    """All upstreams fail; a thousand callers retry at once.

    Ten may, and then only as tokens are refilled, so the load after the outage
    is not a multiple of the load before.
    """
    budgets = RetryBudgets()
    allowed = sum(
        budgets.try_spend(Repeat.IDEMPOTENT, 'north', 'lm', 0)
        for _ in range(1000)
    )
    assert allowed == MAX_TOKENS


def test_successes_earn_a_tenth_as_many_retries() -> None:
    budgets = RetryBudgets()
    for _ in range(MAX_TOKENS):
        assert budgets.try_spend(Repeat.IDEMPOTENT, 'north', 'lm', 0)
    for _ in range(51):
        budgets.record_success('north', 'lm', 0)
    allowed = sum(
        budgets.try_spend(Repeat.IDEMPOTENT, 'north', 'lm', 0)
        for _ in range(100)
    )
    assert allowed == 5


def test_service_without_budget_stops_all_workspaces() -> None:
    budgets = RetryBudgets()
    for number in range(MAX_TOKENS):
        assert budgets.try_spend(Repeat.IDEMPOTENT, f'w{number}', 'lm', 0)
    assert not budgets.try_spend(Repeat.IDEMPOTENT, 'other', 'lm', 0)
    assert budgets.try_spend(Repeat.IDEMPOTENT, 'other', 'booking-app', 0)


def test_clock_that_jumps_back_earns_nothing() -> None:
    budgets = RetryBudgets()
    for _ in range(MAX_TOKENS):
        assert budgets.try_spend(Repeat.IDEMPOTENT, 'north', 'lm', 100)
    assert not budgets.try_spend(Repeat.IDEMPOTENT, 'north', 'lm', -5000)
    assert not budgets.try_spend(Repeat.IDEMPOTENT, 'north', 'lm', 100)


def test_backoff_grows_and_is_spread() -> None:
    rng = Random(3)
    waits = [
        [backoff_delay(attempt, rng).total_seconds() for _ in range(200)]
        for attempt in (1, 4, 1000)
    ]
    assert [max(wait) for wait in waits] == sorted(max(w) for w in waits)
    assert max(waits[2]) <= MAX_BACKOFF_S
    assert len(set(waits[0])) > 190
