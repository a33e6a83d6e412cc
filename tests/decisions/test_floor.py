"""The tier floor: permits to shed, settling of owners, usable grants."""

from bramleybend.decisions.tier_floor import (
    FLOOR_HOLD_S,
    MARGIN_S,
    MAX_VIEW_AGE_S,
    ShedPermits,
    TakeoverState,
    is_grant_usable,
)
from bramleybend.models import Tier
from bramleybend.state.terms_rules import RENEW_EVERY_S, RenewalTimer

POOL = 'bend-lm'
DURING_PERMIT = (FLOOR_HOLD_S - MARGIN_S) / 2


def permits_after(*replies: tuple[bool, int], view_age: float = 0) -> bool:
    permits = ShedPermits()
    opened = permits.open_round(
        POOL, Tier.HIGH, frozenset(range(2)), 0, view_age=view_age
    )
    for shard, (settled, lower) in enumerate(replies):
        permits.handle_reply(
            opened, shard, DURING_PERMIT, settled=settled, lower_running=lower
        )
    return permits.has_permit(POOL, Tier.HIGH, DURING_PERMIT)


def test_every_owner_must_agree() -> None:
    assert permits_after((True, 0), (True, 0))
    assert not permits_after((True, 0))
    assert not permits_after((True, 0), (True, 1))
    assert not permits_after((False, 0), (True, 0))
    assert not permits_after((True, 0), (True, 0), view_age=MAX_VIEW_AGE_S)


def test_permit_covers_lower_tiers_of_its_service_until_its_end() -> None:
    permits = ShedPermits()
    opened = permits.open_round(POOL, Tier.HIGH, frozenset({0}), 0, view_age=0)
    permits.handle_reply(
        opened, 0, DURING_PERMIT, settled=True, lower_running=0
    )

    assert permits.has_permit(POOL, Tier.BULK, DURING_PERMIT)
    assert not permits.has_permit(POOL, Tier.CRITICAL, DURING_PERMIT)
    assert not permits.has_permit('briefing-llm', Tier.BULK, DURING_PERMIT)
    assert not permits.has_permit(POOL, Tier.HIGH, FLOOR_HOLD_S - MARGIN_S)


def test_reply_after_the_end_of_its_round_gives_no_permit() -> None:
    permits = ShedPermits()
    opened = permits.open_round(POOL, Tier.HIGH, frozenset({0}), 0, view_age=0)
    permits.handle_reply(opened, 0, FLOOR_HOLD_S, settled=True, lower_running=0)

    assert not permits.has_permit(POOL, Tier.HIGH, FLOOR_HOLD_S)


def test_new_owner_settles_after_the_grace() -> None:
    owner = TakeoverState(taken_over_at=5)

    assert not owner.is_settled(5 + owner.times.max_view_age_s)
    assert owner.is_settled(5 + owner.times.grace_s)


def test_owner_of_engines_settles_by_a_load_report_after_the_fence() -> None:
    owner = TakeoverState(taken_over_at=0, has_load_reports=True)
    owner.record_load_report(0, MAX_VIEW_AGE_S)
    assert not owner.is_settled(100)
    owner.record_load_report(1, MAX_VIEW_AGE_S + MARGIN_S)
    assert not owner.is_settled(100)
    owner.record_load_report(0, MAX_VIEW_AGE_S + MARGIN_S)

    assert owner.is_settled(100)


def test_lost_run_unsettles_its_owner() -> None:
    owner = TakeoverState()
    owner.record_lost_run(10)

    assert not owner.is_settled(10)
    assert owner.is_settled(10 + owner.times.grace_s)


def test_grant_is_used_only_from_the_owner_in_a_fresh_view() -> None:
    assert is_grant_usable(granted_by='a', owner='a', view_age=0)
    assert not is_grant_usable(granted_by='a', owner='b', view_age=0)
    assert not is_grant_usable(
        granted_by='a', owner='a', view_age=MAX_VIEW_AGE_S
    )


def test_renewal_is_due_until_one_is_seen() -> None:
    timer = RenewalTimer()
    assert timer.due(10)
    timer.saw_renewal(10)

    assert not timer.due(11)
    assert timer.due(10 + RENEW_EVERY_S)
