"""Tests that the log's order grants engine claims and load permits."""

from bramleybend.state.order_records import (
    ClaimRecord,
    LoadBegunRecord,
    LoadEndedRecord,
)
from bramleybend.state.order_rules import IssuerClaims, WeightLoads

TIMEOUT_S = 60


def make_claim(claim_id: str, shard: int = 0, shards: int = 2) -> ClaimRecord:
    return ClaimRecord(claim_id=claim_id, shard=shard, shards=shards, by='vm')


def read_claims(*records: ClaimRecord | str, own: str = 'own') -> IssuerClaims:
    """Return the claims as the claimant `own` sees them after these records."""
    rules = IssuerClaims(make_claim(own))
    for offset, record in enumerate(records):
        text = record if isinstance(record, str) else record.encode()
        rules.apply(offset, text)
    return rules


def read_loads(*records: LoadBegunRecord | LoadEndedRecord) -> WeightLoads:
    rules = WeightLoads()
    for offset, record in enumerate(records):
        rules.apply(offset, record.encode(), now=0)
    return rules


def make_begun(load_id: str, runner: str = 'engine') -> LoadBegunRecord:
    return LoadBegunRecord(load_id=load_id, runner=runner)


def make_ended(load_id: str) -> LoadEndedRecord:
    return LoadEndedRecord(load_id=load_id)


def test_a_claim_gives_its_offset_as_the_fence() -> None:
    rules = read_claims(make_claim('other'), make_claim('own'))

    assert rules.is_holder
    assert rules.fence == 1


def test_a_claim_that_was_not_read_back_gives_no_right() -> None:
    assert not read_claims(make_claim('other')).is_holder


def test_a_later_claim_ends_the_right_for_good() -> None:
    rules = read_claims(
        make_claim('own'), make_claim('other'), make_claim('own')
    )

    assert rules.is_superseded
    assert not rules.is_holder


def test_a_copy_of_an_earlier_claim_supersedes_nothing() -> None:
    rules = read_claims(
        make_claim('other'), make_claim('own'), make_claim('other')
    )

    assert rules.is_holder


def test_a_claim_on_another_shard_does_not_supersede() -> None:
    assert read_claims(
        make_claim('own'), make_claim('other', shard=1)
    ).is_holder


def test_a_claim_under_another_number_of_shards_supersedes() -> None:
    assert not read_claims(
        make_claim('own'), make_claim('other', 1, shards=3)
    ).is_holder


def test_records_forgotten_unread_may_hold_a_later_claim() -> None:
    rules = read_claims(make_claim('own'))
    rules.advance_first_offset(5)

    assert not rules.is_holder


def test_a_record_that_cannot_be_read_is_told_and_passed_over() -> None:
    rules = read_claims(make_claim('own'))

    assert rules.apply(1, '{"v":2,"kind":"claim"}').is_err()
    assert rules.is_holder


def test_the_first_loads_in_the_log_are_permitted() -> None:
    rules = read_loads(make_begun('a'), make_begun('b'), make_begun('c'))

    assert [rules.is_permitted(each, 2) for each in 'abcd'] == [
        True,
        True,
        False,
        False,
    ]


def test_an_ended_load_makes_room() -> None:
    rules = read_loads(make_begun('a'), make_begun('b'), make_ended('a'))

    assert rules.is_permitted('b', 1)
    assert rules.free_permits(1) == 0


def test_a_copy_of_a_begun_load_does_not_open_it_again() -> None:
    rules = read_loads(make_begun('a'), make_ended('a'), make_begun('a'))

    assert rules.free_permits(1) == 1


def test_an_end_that_lands_before_its_begin_counts() -> None:
    assert read_loads(make_ended('a'), make_begun('a')).free_permits(1) == 1


def test_a_lost_holder_is_waited_for_until_the_timeout() -> None:
    rules = read_loads(make_begun('a'), make_begun('b'))

    assert not rules.expire(TIMEOUT_S - 1, TIMEOUT_S)
    assert not rules.is_permitted('b', 1)
    expired = rules.expire(TIMEOUT_S, TIMEOUT_S)
    assert [load.load_id for load in expired] == ['a', 'b']
    assert rules.free_permits(1) == 1


def test_a_runners_loads_are_found_whoever_began_them() -> None:
    rules = read_loads(
        make_begun('a', 'one'), make_begun('b', 'two'), make_begun('c', 'one')
    )

    assert [load.load_id for load in rules.loads_of_runner('one')] == ['a', 'c']
