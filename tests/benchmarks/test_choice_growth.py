"""What one request costs the owner of a queue, as its runners grow.

Looks into runners' caches stand for processor time, as they are the same on
every machine. Under a standing queue of 50 at 70 runners a request took 11,737
looks and 7.6 ms; it takes 2,544 and 2.9 ms. At 300 runners 54,152 and 34.5 ms;
now 11,422 and 11.6 (300 requests, one run each, one after the other).
"""

from collections.abc import Callable
from typing import Any

import pytest

from bramleybend.decisions.cache_view import CacheView
from tests.benchmarks import capacity_control
from tests.benchmarks.capacity_control import policy_cost

REQUESTS = 300
# One look for each waiting request that is weighed and each runner: no more
# than in step with the runners, and a tenth for what starts differently.
IN_STEP = 1.1


@pytest.fixture
def looks_at(monkeypatch: pytest.MonkeyPatch) -> Callable[[int], float]:
    """Count the looks of a request at so many runners."""
    looks = 0
    look = CacheView.cached_tokens

    def counted(view: CacheView, *asked: Any) -> int:
        nonlocal looks
        looks += 1
        return look(view, *asked)

    def measure(runners: int) -> float:
        nonlocal looks
        looks = 0
        policy_cost(runners)
        return looks / REQUESTS

    monkeypatch.setattr(CacheView, 'cached_tokens', counted)
    monkeypatch.setattr(capacity_control, 'REQUESTS', REQUESTS)
    return measure


def test_a_request_costs_no_more_than_in_step_with_the_runners(
    looks_at: Callable[[int], float],
) -> None:
    """The owner of 300 runners pays four times that of 70, not more."""
    few, many = looks_at(70), looks_at(300)
    assert many / few <= 300 / 70 * IN_STEP
