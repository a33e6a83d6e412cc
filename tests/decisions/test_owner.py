"""Decisions of a shard's owner, through the whole interface of its policy."""

from dataclasses import replace
from math import inf, nan
from random import Random

import pytest

from bramleybend.decisions.actions import (
    Action,
    Grant,
    Preempt,
    Refuse,
    RunnerInfo,
    RunReport,
)
from bramleybend.decisions.shard_policy import ShardPolicy, make_shard_policy
from bramleybend.decisions.tier_floor import FLOOR_HOLD_S
from bramleybend.models import Service, ServiceKind, SlotRequest, Tier

SERVICE = Service('briefing-llm', ServiceKind.ENGINE, slots=2)
DONE = RunReport('done', prompt_tokens=100, completion_tokens=10, seconds=0.1)


def make_ask(request_id: str, **changes: object) -> SlotRequest:
    ask = SlotRequest(
        request_id=request_id,
        service='briefing-llm',
        tier=Tier.NORMAL,
        workspace='north',
        cost=200,
        prompt_tokens=100,
        prefixes=(),
        deadline=100,
        cancellable=True,
    )
    return replace(ask, **changes)  # type: ignore[arg-type]


def make_policy(*runners: str) -> ShardPolicy:
    policy = make_shard_policy(SERVICE, Random(1))
    # Listed long before the first slot request, so that slow start is over.
    policy.update_runners([RunnerInfo(name) for name in runners], -100)
    return policy


def granted_ids(actions: list[Action]) -> list[str]:
    return [act.request_id for act in actions if isinstance(act, Grant)]


def test_free_runner_starts_request_at_once() -> None:
    policy = make_policy('engine-1')
    assert policy.request_slot(make_ask('a'), 0) == [Grant('a', 'engine-1')]


def test_repeated_ask_gets_the_same_runner() -> None:
    policy = make_policy('engine-1', 'engine-2')
    first = policy.request_slot(make_ask('a'), 0)
    assert policy.request_slot(make_ask('a'), 1) == first
    assert policy.load().running == 1


def test_full_runner_starts_the_next_when_one_ends() -> None:
    policy = make_policy('engine-1')
    for name in ('a', 'b'):
        assert granted_ids(policy.request_slot(make_ask(name), 0)) == [name]
    assert not policy.request_slot(make_ask('c'), 0)
    assert granted_ids(policy.end_run('a', DONE, 1)) == ['c']


def test_higher_tier_starts_before_earlier_lower_tier() -> None:
    policy = make_policy('engine-1')
    for name in ('a', 'b', 'c'):
        policy.request_slot(make_ask(name), 0)
    policy.request_slot(make_ask('booking', tier=Tier.CRITICAL), 1)
    assert granted_ids(policy.end_run('a', DONE, 2)) == ['booking']


def test_withdrawn_request_frees_its_slot() -> None:
    policy = make_policy('engine-1')
    for name in ('a', 'b', 'c'):
        policy.request_slot(make_ask(name), 0)
    assert granted_ids(policy.withdraw('a', 1)) == ['c']


def test_leaving_runner_gets_nothing_new() -> None:
    policy = make_policy('engine-1', 'engine-2')
    policy.update_runners(
        [RunnerInfo('engine-1', True), RunnerInfo('engine-2')], 0
    )
    grants = [
        act
        for number in range(4)
        for act in policy.request_slot(make_ask(f'r{number}'), 1)
    ]
    assert grants == [Grant('r0', 'engine-2'), Grant('r1', 'engine-2')]


def test_excluded_runner_is_passed_over() -> None:
    policy = make_policy('engine-1', 'engine-2')
    ask = make_ask('a', excluded=frozenset({'engine-1'}))
    assert policy.request_slot(ask, 0) == [Grant('a', 'engine-2')]


def test_request_without_live_runner_is_shed_with_retry_after() -> None:
    policy = make_policy()
    action = policy.request_slot(make_ask('a'), 0)[0]
    assert isinstance(action, Refuse)
    assert action.shed
    assert action.retry_after.total_seconds() > 0


def test_past_deadline_is_refused_but_not_shed() -> None:
    policy = make_policy('engine-1')
    action = policy.request_slot(make_ask('a', deadline=-1), 0)[0]
    assert isinstance(action, Refuse)
    assert not action.shed


def test_queued_request_leaves_once_it_is_too_late() -> None:
    policy = make_policy('engine-1')
    for name in ('a', 'b'):
        policy.request_slot(make_ask(name), 0)
    policy.request_slot(make_ask('late', deadline=5), 0)
    wake = policy.next_wake(0)
    actions: list[Action] = []
    while not actions:
        assert wake is not None
        assert wake <= 5
        actions = policy.tick(wake)
        following = policy.next_wake(wake)
        # Each wake must lead to a later one, or the owner's task would spin.
        assert following is None or following > wake
        wake = following
    refused = actions[0]
    assert isinstance(refused, Refuse)
    assert refused.shed
    assert policy.load().waiting == 0


def test_urgent_request_preempts_the_lowest_cancellable_run() -> None:
    policy = make_policy('engine-1')
    policy.request_slot(
        make_ask('letter', tier=Tier.BULK, cancellable=False), 0
    )
    policy.request_slot(make_ask('draft', tier=Tier.HIGH), 0)
    policy.request_slot(make_ask('booking', tier=Tier.CRITICAL, deadline=1), 0)
    assert policy.tick(0.5) == []
    assert granted_ids(policy.withdraw('draft', 0.6)) == ['booking']


def test_preemption_is_ordered_once_per_urgent_request() -> None:
    policy = make_policy('engine-1')
    for name in ('a', 'b'):
        policy.request_slot(make_ask(name, tier=Tier.BULK), 0)
    urgent = make_ask('booking', tier=Tier.CRITICAL, deadline=0.9)
    ordered = policy.request_slot(urgent, 0) + policy.tick(0.1)
    assert len(ordered) == 1
    assert isinstance(ordered[0], Preempt)


def test_non_cancellable_run_is_never_preempted() -> None:
    policy = make_policy('engine-1')
    for name in ('a', 'b'):
        policy.request_slot(
            make_ask(name, tier=Tier.BULK, cancellable=False), 0
        )
    urgent = make_ask('booking', tier=Tier.CRITICAL, deadline=0.9)
    assert not policy.request_slot(urgent, 0)


def test_floor_starts_nothing_lower_and_preempts_for_what_waits() -> None:
    policy = make_policy('engine-1')
    for name in ('a', 'b', 'c'):
        policy.request_slot(make_ask(name), 0)
    policy.request_slot(
        make_ask('booking', tier=Tier.CRITICAL, deadline=2.2), 0
    )
    assert policy.set_floor(Tier.CRITICAL, 2, 1) == 2
    assert [type(act) for act in policy.tick(1)] == [Preempt]
    assert granted_ids(policy.end_run('a', DONE, 1.2)) == ['booking']
    assert not granted_ids(policy.end_run('b', DONE, 1.4))
    wake = policy.next_wake(1.5)
    assert wake is not None
    assert granted_ids(policy.tick(3.1)) == ['c']


def test_suspect_runs_alone_and_one_at_a_time() -> None:
    policy = make_policy('engine-1')
    policy.request_slot(make_ask('a'), 0)
    policy.request_slot(make_ask('s1', suspect=True), 0)
    policy.request_slot(make_ask('s2', suspect=True), 0)
    assert not policy.request_slot(make_ask('b'), 0)
    assert granted_ids(policy.end_run('a', DONE, 1)) == ['s1']
    assert granted_ids(policy.end_run('s1', DONE, 2)) == ['s2']
    assert granted_ids(policy.end_run('s2', DONE, 3)) == ['b']


def test_adopted_run_fills_its_slot() -> None:
    policy = make_policy('engine-1')
    for name in ('a', 'b'):
        assert not policy.adopt(make_ask(name), 'engine-1', 0)
    assert not policy.request_slot(make_ask('c'), 0)


def test_run_adopted_before_the_runner_list_takes_a_slot() -> None:
    policy = make_shard_policy(SERVICE, Random(1))
    for name in ('a', 'b'):
        policy.adopt(make_ask(name), 'engine-1', 0)
    policy.update_runners([RunnerInfo('engine-1')], 1)
    assert not policy.request_slot(make_ask('c'), 20)


@pytest.mark.parametrize('cost', [-5, 0, nan, inf])
def test_invalid_cost_is_replaced_by_the_prompt_length(cost: float) -> None:
    policy = make_policy('engine-1')
    assert granted_ids(policy.request_slot(make_ask('a', cost=cost), 0)) == [
        'a'
    ]


@pytest.mark.parametrize('tier', [-3, 0, 99])
def test_unknown_tier_is_clamped(tier: int) -> None:
    policy = make_policy('engine-1')
    assert granted_ids(policy.request_slot(make_ask('a', tier=tier), 0)) == [
        'a'
    ]


def test_clock_that_jumps_back_counts_as_standing_still() -> None:
    policy = make_policy('engine-1')
    policy.request_slot(make_ask('a'), 50)
    policy.request_slot(make_ask('b', deadline=60), -1000)
    assert policy.load().running == 2


def test_report_longer_than_the_elapsed_time_is_ignored() -> None:
    policy = make_policy('engine-1')
    policy.request_slot(make_ask('a'), 0)
    report = replace(DONE, seconds=10_000)
    policy.end_run('a', report, 1)
    assert granted_ids(policy.request_slot(make_ask('b', deadline=20), 2)) == [
        'b'
    ]


def test_crashed_runner_gets_no_starts_and_then_ramps_up() -> None:
    """Guards against starts on a crashed runner that the VM list still has.

    A runner crashes with two runs, and both gateways report it. New runs there
    would fail, too; so none starts for a second, then one, then more.
    """
    policy = make_policy('engine-1')
    for name in ('a', 'b', 'c', 'd'):
        policy.request_slot(make_ask(name), 0)
    crash = RunReport('failed', crashed=True)
    assert not policy.end_run('a', crash, 1)
    assert not policy.end_run('b', crash, 1.1)
    assert granted_ids(policy.tick(2.0)) == ['c']
    assert granted_ids(policy.tick(7.0)) == ['d']


def test_runner_once_slow_is_tried_again_when_idle() -> None:
    """Guards against a runner that is avoided permanently after a slow run.

    A runner took 50 s for a short run, then recovered. By the estimate no run
    ends there in time. Runs must still start while it is idle, or all callers
    would be refused permanently.
    """
    policy = make_policy('engine-1')
    policy.request_slot(make_ask('slow', deadline=90), 0)
    policy.record_first_token('slow', 100, 0, 49)
    policy.end_run('slow', replace(DONE, seconds=50), 50)
    assert granted_ids(
        policy.request_slot(make_ask('next', deadline=55), 51)
    ) == ['next']


def test_plain_service_without_first_tokens_uses_all_its_slots() -> None:
    service = replace(SERVICE, kind=ServiceKind.PLAIN)
    policy = make_shard_policy(service, Random(1))
    policy.update_runners([RunnerInfo('desk-1')], -100)
    for name in ('a', 'b'):
        ask = make_ask(name, prompt_tokens=9000, cost=9000)
        assert granted_ids(policy.request_slot(ask, 0)) == [name]


def test_request_that_every_runner_failed_is_shed_at_once() -> None:
    policy = make_policy('engine-1')
    ask = make_ask('a', excluded=frozenset({'engine-1'}))
    action = policy.request_slot(ask, 0)[0]
    assert isinstance(action, Refuse)
    assert action.shed


def test_adopted_runs_do_not_close_their_runner_to_long_prompts() -> None:
    """Guards against an adopted run that blocks long prompts until its end.

    The previous owner was lost while the run streams. Its first token won't be
    reported again.
    """
    policy = make_policy('engine-1')
    policy.adopt(make_ask('a', prompt_tokens=9000, cost=9000), 'engine-1', 0)
    ask = make_ask('b', prompt_tokens=9000, cost=9000)
    assert granted_ids(policy.request_slot(ask, 0)) == ['b']


def test_new_owner_starts_slowly() -> None:
    """A new owner knows neither caches nor paces, and a full queue waits.

    It uses a quarter of the slots at once and the rest over five seconds.
    """
    service = replace(SERVICE, slots=8)
    policy = make_shard_policy(service, Random(1))
    policy.update_runners([RunnerInfo('engine-1')], 0)
    for number in range(8):
        policy.request_slot(make_ask(f'r{number}'), 0)
    assert policy.load().running == 2
    policy.tick(2.5)
    assert 2 < policy.load().running < 8
    policy.tick(5)
    assert policy.load().running == 8


def test_adopted_suspect_keeps_its_runner_to_itself() -> None:
    policy = make_shard_policy(SERVICE, Random(1))
    policy.adopt(make_ask('s', suspect=True), 'engine-1', 0)
    policy.update_runners([RunnerInfo('engine-1')], 1)
    assert not policy.request_slot(make_ask('a'), 20)


def test_freed_slot_starts_nothing_below_a_refused_tier() -> None:
    """Otherwise no shed permit can be had for the refused request."""
    policy = make_policy('engine-1')
    for name in ('a', 'b'):
        policy.request_slot(make_ask(name, cancellable=False), 0)
    policy.request_slot(make_ask('high', tier=Tier.HIGH, deadline=2), 0)
    policy.request_slot(make_ask('bulk', tier=Tier.BULK), 0)
    refused = policy.tick(2)
    assert [act.request_id for act in refused if isinstance(act, Refuse)] == [
        'high'
    ]
    assert not granted_ids(policy.end_run('a', DONE, 2.1))
    assert granted_ids(policy.tick(2 + FLOOR_HOLD_S)) == ['bulk']
