"""Rate limits that runners state, and their exchange between VMs."""

from random import Random

import pytest

from bramleybend.clock import ManualClock
from bramleybend.direct.heartbeat_messages import RunnerLimit
from bramleybend.direct.members import HEARTBEAT_INTERVAL_S
from bramleybend.direct.runner_limits import (
    END_SENT_S,
    MAX_LIMITS_PER_HEARTBEAT,
    MIN_PER_S,
    RunnerLimits,
)
from bramleybend.events import EventLog
from tests.utils.start_times import START


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that the test advances."""
    return ManualClock(START)


@pytest.fixture
def limits(clock: ManualClock) -> RunnerLimits:
    """Return the limits that a VM knows."""
    return RunnerLimits(clock, EventLog('vm', 'i', clock), Random(1))


def test_the_newest_limit_is_in_force(
    limits: RunnerLimits, clock: ManualClock
) -> None:
    """A runner may change its limit; each answer replaces the last limit."""
    limits.update_from_answer('r', '4', clock.monotonic())
    clock.advance(1)
    limits.update_from_answer('r', '1.5', clock.monotonic())
    assert limits.in_force() == {'r': 1.5}


def test_an_older_answer_does_not_end_a_limit(
    limits: RunnerLimits, clock: ManualClock
) -> None:
    """A request sent before the limit was known may be answered after it."""
    sent_at = clock.monotonic()
    clock.advance(1)
    limits.update_from_answer('r', '2', clock.monotonic())
    clock.advance(1)
    limits.update_from_answer('r', '', sent_at)
    assert limits.in_force() == {'r': 2}
    sent_at = clock.monotonic()
    clock.advance(1)
    limits.update_from_answer('r', '', sent_at)
    assert not limits.in_force()


@pytest.mark.parametrize('text', ['soon', '-1', 'nan', 'inf', '1,5'])
def test_a_value_that_is_no_rate_changes_nothing(
    limits: RunnerLimits, clock: ManualClock, text: str
) -> None:
    """If it counted as no limit, an overloaded runner would be flooded."""
    limits.update_from_answer('r', '3', clock.monotonic())
    clock.advance(1)
    limits.update_from_answer('r', text, clock.monotonic())
    assert limits.in_force() == {'r': 3}


def test_a_runner_that_takes_nothing_is_still_asked(
    limits: RunnerLimits, clock: ManualClock
) -> None:
    """Without any request it could never state a higher limit."""
    limits.update_from_answer('r', '0', clock.monotonic())
    assert limits.in_force() == {'r': MIN_PER_S}


def test_other_vms_learn_the_newest_limit(
    limits: RunnerLimits, clock: ManualClock
) -> None:
    """Delayed news doesn't replace a newer limit."""
    limits.update_from_answer('r', '3', clock.monotonic())
    news = [RunnerLimit('r', 1, 2.0), RunnerLimit('other', 5, 0.1)]
    limits.merge(news, clock.monotonic())
    assert limits.in_force() == {'r': 3, 'other': 5}
    clock.advance(1)
    limits.merge([RunnerLimit('r', None, 0.5)], clock.monotonic())
    assert limits.in_force() == {'other': 5}


def test_a_limit_that_waited_in_a_socket_replaces_no_newer_one(
    limits: RunnerLimits, clock: ManualClock
) -> None:
    """A VM that wakes reads old news after its runner's newest answer."""
    heard_at = clock.monotonic()
    clock.advance(5)
    limits.update_from_answer('r', '3', clock.monotonic())
    limits.merge([RunnerLimit('r', 9, 0.1)], heard_at)
    assert limits.in_force() == {'r': 3}


def test_the_end_of_a_limit_is_sent_for_a_while(
    limits: RunnerLimits, clock: ManualClock
) -> None:
    """A VM that missed the end would keep sending the runner too little."""
    limits.update_from_answer('r', '3', clock.monotonic())
    clock.advance(1)
    limits.update_from_answer('r', '', clock.monotonic())
    assert [one.per_s for one in limits.limits_to_send()] == [None]
    clock.advance(END_SENT_S)
    assert not limits.limits_to_send()


def test_a_limit_ends_with_its_runner(
    limits: RunnerLimits, clock: ManualClock
) -> None:
    """Its successor at the same address has stated no limit."""
    limits.update_from_answer('r', '3', clock.monotonic())
    limits.retain_only({'successor'})
    assert not limits.in_force()


def test_limits_of_many_runners_all_reach_another_vm(
    limits: RunnerLimits, clock: ManualClock
) -> None:
    """Limits that are not among the newest are sent, too."""
    other = RunnerLimits(clock, EventLog('other', 'i', clock), Random(2))
    for number in range(MAX_LIMITS_PER_HEARTBEAT + 8):
        clock.advance(0.01)
        limits.update_from_answer(f'runner-{number}', '2', 0)
    for _ in range(25):
        clock.advance(HEARTBEAT_INTERVAL_S)
        other.merge(limits.limits_to_send(), clock.monotonic())
    assert len(other.in_force()) == MAX_LIMITS_PER_HEARTBEAT + 8
