"""The start rate of a runner that reports a rate limit."""

import pytest

from bramleybend.decisions.actions import RunReport
from bramleybend.decisions.start_rate import StartRate
from tests.decisions.test_owner import granted_ids, make_ask, make_policy


@pytest.mark.parametrize('per_s', [0.25, 1, 1.4, 20])
def test_starts_keep_to_the_rate_over_time(per_s: float) -> None:
    """Ten seconds of constant demand get ten seconds' requests."""
    rate = StartRate(per_s, 0)
    starts = 0
    for step in range(10_000):
        if not rate.wait_s(step / 1000):
            rate.record_start(step / 1000)
            starts += 1
    assert per_s * 10 - 1 <= starts <= per_s * 10


def test_starts_by_another_owner_count() -> None:
    """A new owner doesn't begin with the requests of a full second."""
    rate = StartRate(2, 0)
    for _ in range(2):
        rate.record_start(1)
    assert rate.wait_s(1) == pytest.approx(0.5)


def test_start_rate_applies_while_slots_are_free() -> None:
    """Short runs release their slots at once, so slots don't bound the rate."""
    policy = make_policy('engine-1')
    policy.update_start_rates({'engine-1': 1}, 0)
    started = []
    for number in range(40):
        now = number / 10
        names = granted_ids(policy.request_slot(make_ask(f'a{number:02}'), now))
        for name in names:
            policy.end_run(name, RunReport('done', seconds=0.01), now + 0.01)
        started.extend(names)
        due = policy.next_wake(now)
        assert due is not None
    assert 3 <= len(started) <= 4


def test_removed_rate_limit_starts_waiting_requests() -> None:
    """No request waits for a rate that is no longer in force."""
    policy = make_policy('engine-1')
    policy.update_start_rates({'engine-1': 0.25}, 0)
    assert not granted_ids(policy.request_slot(make_ask('a'), 0))
    assert granted_ids(policy.update_start_rates({}, 0.1)) == ['a']


def test_request_is_refused_when_all_rates_are_zero() -> None:
    """Another VM has the runner's whole limit; the request would wait in vain."""
    policy = make_policy('engine-1')
    policy.update_start_rates({'engine-1': 0}, 0)
    (refused,) = policy.request_slot(make_ask('a'), 0)
    assert refused.reason == 'no_live_runner'  # type: ignore[union-attr]
