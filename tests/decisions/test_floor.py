"""The tier floor: permits to shed, settling of owners, usable grants."""

from bramleybend.decisions.floor import (
    FRESH_S,
    HOLD_S,
    MARGIN_S,
    Settling,
    ShedPermits,
    grant_usable,
)
from bramleybend.models import Tier
from bramleybend.state.terms_rules import RENEW_EVERY_S, RenewalTimer

POOL = 'bend-lm'
DURING_PERMIT = (HOLD_S - MARGIN_S) / 2


def permits_after(*replies: tuple[bool, int], view_age: float = 0) -> bool:
    permits = ShedPermits()
    opened = permits.begin(
        POOL, Tier.HIGH, frozenset(range(2)), 0, view_age=view_age
    )
    for shard, (settled, lower) in enumerate(replies):
        permits.reply(
            opened, shard, DURING_PERMIT, settled=settled, lower_running=lower
        )
    return permits.permit(POOL, Tier.HIGH, DURING_PERMIT)


def test_every_owner_must_agree() -> None:
    assert permits_after((True, 0), (True, 0))
    assert not permits_after((True, 0))
    assert not permits_after((True, 0), (True, 1))
    assert not permits_after((False, 0), (True, 0))
    assert not permits_after((True, 0), (True, 0), view_age=FRESH_S)


def test_permit_covers_lower_tiers_of_its_service_until_its_end() -> None:
    permits = ShedPermits()
    opened = permits.begin(POOL, Tier.HIGH, frozenset({0}), 0, view_age=0)
    permits.reply(opened, 0, DURING_PERMIT, settled=True, lower_running=0)

    assert permits.permit(POOL, Tier.BULK, DURING_PERMIT)
    assert not permits.permit(POOL, Tier.CRITICAL, DURING_PERMIT)
    assert not permits.permit('briefing-llm', Tier.BULK, DURING_PERMIT)
    assert not permits.permit(POOL, Tier.HIGH, HOLD_S - MARGIN_S)


def test_reply_after_the_end_of_its_round_gives_no_permit() -> None:
    permits = ShedPermits()
    opened = permits.begin(POOL, Tier.HIGH, frozenset({0}), 0, view_age=0)
    permits.reply(opened, 0, HOLD_S, settled=True, lower_running=0)

    assert not permits.permit(POOL, Tier.HIGH, HOLD_S)


def test_new_owner_settles_after_the_grace() -> None:
    owner = Settling(taken_over_at=5)

    assert not owner.settled(5 + owner.times.fresh_s)
    assert owner.settled(5 + owner.times.grace_s)


def test_owner_of_engines_settles_by_a_load_report_after_the_fence() -> None:
    owner = Settling(taken_over_at=0, watches_load=True)
    owner.note_load(0, FRESH_S)
    assert not owner.settled(100)
    owner.note_load(1, FRESH_S + MARGIN_S)
    assert not owner.settled(100)
    owner.note_load(0, FRESH_S + MARGIN_S)

    assert owner.settled(100)


def test_lost_run_unsettles_its_owner() -> None:
    owner = Settling()
    owner.lose_run(10)

    assert not owner.settled(10)
    assert owner.settled(10 + owner.times.grace_s)


def test_grant_is_used_only_from_the_owner_in_a_fresh_view() -> None:
    assert grant_usable(granted_by='a', owner='a', view_age=0)
    assert not grant_usable(granted_by='a', owner='b', view_age=0)
    assert not grant_usable(granted_by='a', owner='a', view_age=FRESH_S)


def test_renewal_is_due_until_one_is_seen() -> None:
    timer = RenewalTimer()
    assert timer.due(10)
    timer.saw_renewal(10)

    assert not timer.due(11)
    assert timer.due(10 + RENEW_EVERY_S)
