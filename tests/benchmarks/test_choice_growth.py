"""Cost of one request at the owner of a queue, by the number of runners.

The test counts lookups in runners' caches instead of CPU time, as the counts
are the same on every machine. With a standing queue of 50, a request takes
2,544 lookups and 2.9 ms at 70 runners, and 11,422 and 11.6 ms at 300. The
owner's former algorithm took 11,737 lookups and 7.6 ms, and 54,152 and 34.5 ms
(300 requests, one run each, one after the other).
"""

from collections.abc import Callable
from typing import Any

import pytest

from bramleybend.decisions.cache_view import CacheView
from tests.benchmarks import capacity_control
from tests.benchmarks.capacity_control import measure_policy_ms

REQUESTS = 300
# The owner looks up each weighed request at each runner, so lookups may grow in
# proportion to the runners; 10 % allows for requests that start differently.
GROWTH_TOLERANCE = 1.1


@pytest.fixture
def count_lookups(monkeypatch: pytest.MonkeyPatch) -> Callable[[int], float]:
    """Return a function that counts lookups per request by runners."""
    lookup_count = 0
    original = CacheView.cached_tokens

    def counting_cached_tokens(view: CacheView, *args: Any) -> int:
        nonlocal lookup_count
        lookup_count += 1
        return original(view, *args)

    def measure(runners: int) -> float:
        nonlocal lookup_count
        lookup_count = 0
        measure_policy_ms(runners)
        return lookup_count / REQUESTS

    monkeypatch.setattr(CacheView, 'cached_tokens', counting_cached_tokens)
    monkeypatch.setattr(capacity_control, 'REQUESTS', REQUESTS)
    return measure


def test_lookups_grow_at_most_in_proportion_to_the_runners(
    count_lookups: Callable[[int], float],
) -> None:
    """300 runners cost about four times the lookups of 70, not more."""
    lookups_of_70, lookups_of_300 = count_lookups(70), count_lookups(300)
    assert lookups_of_300 / lookups_of_70 <= 300 / 70 * GROWTH_TOLERANCE
