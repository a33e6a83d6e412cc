"""Start of a second run beside a slow first one."""

from bramleybend.decisions.hedging import (
    MAX_BUDGET,
    MIN_CALLS,
    WINDOW_CALLS,
    HedgeBudgets,
)

CALL = ('booking-app', 'availability')


def _trained(seconds: float) -> HedgeBudgets:
    hedging = HedgeBudgets()
    for _ in range(WINDOW_CALLS):
        hedging.record_finish(*CALL, seconds)
    return hedging


def test_nothing_is_hedged_before_enough_calls_are_known() -> None:
    """A quantile of a few calls has no meaning."""
    hedging = HedgeBudgets()
    for _ in range(MIN_CALLS - 1):
        hedging.record_finish(*CALL, 1)
    assert hedging.delay_s(*CALL) is None
    hedging.record_finish(*CALL, 1)
    assert hedging.delay_s(*CALL) == 1


def test_a_slow_pool_is_not_loaded_twice() -> None:
    """Guards against hedging that doubles the load when all runners stall.

    Every call exceeds the learned delay. The budget allows the first few second
    runs and then one in twenty; without it the pool would get each call twice.
    """
    hedging = _trained(0.02)
    allowed = 0
    for _ in range(1000):
        hedging.record_start(*CALL)
        allowed += hedging.try_spend(*CALL)
    assert allowed <= MAX_BUDGET + 50


def test_one_slow_profile_spends_its_own_budget_only() -> None:
    """Other profiles keep the budget for their second runs."""
    hedging = _trained(0.02)
    while hedging.try_spend(*CALL):
        hedging.record_finish(*CALL, 5)
    assert hedging.try_spend('booking-app', 'other')


def test_negative_duration_is_ignored() -> None:
    """A negative duration would shorten the delay to nothing."""
    hedging = _trained(0.02)
    hedging.record_finish(*CALL, -5)
    assert hedging.delay_s(*CALL) == 0.02
