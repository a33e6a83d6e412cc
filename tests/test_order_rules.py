"""Who may order engines and load weights is what the log's order says."""

from bramleybend.state.order_records import (
    ClaimRecord,
    LoadBegunRecord,
    LoadEndedRecord,
)
from bramleybend.state.order_rules import IssuerClaims, WeightLoads

TIMEOUT_S = 60


def claim(claim_id: str, shard: int = 0, shards: int = 2) -> ClaimRecord:
    return ClaimRecord(claim_id=claim_id, shard=shard, shards=shards, by='vm')


def claims(*records: ClaimRecord | str, own: str = 'own') -> IssuerClaims:
    """Return the claims of `own` after reading these records."""
    rules = IssuerClaims(claim(own))
    for offset, record in enumerate(records):
        text = record if isinstance(record, str) else record.encode()
        rules.apply(offset, text)
    return rules


def loads(*records: LoadBegunRecord | LoadEndedRecord) -> WeightLoads:
    rules = WeightLoads()
    for offset, record in enumerate(records):
        rules.apply(offset, record.encode(), now=0)
    return rules


def begun(load_id: str, runner: str = 'engine') -> LoadBegunRecord:
    return LoadBegunRecord(load_id=load_id, runner=runner)


def ended(load_id: str) -> LoadEndedRecord:
    return LoadEndedRecord(load_id=load_id)


def test_a_claim_gives_its_offset_as_the_fence() -> None:
    rules = claims(claim('other'), claim('own'))

    assert rules.holds
    assert rules.fence == 1


def test_a_claim_that_was_not_read_back_gives_no_right() -> None:
    assert not claims(claim('other')).holds


def test_a_later_claim_ends_the_right_for_good() -> None:
    rules = claims(claim('own'), claim('other'), claim('own'))

    assert rules.superseded
    assert not rules.holds


def test_a_copy_of_an_earlier_claim_takes_nothing_back() -> None:
    rules = claims(claim('other'), claim('own'), claim('other'))

    assert rules.holds


def test_the_claim_on_another_shard_is_no_concern() -> None:
    assert claims(claim('own'), claim('other', shard=1)).holds


def test_a_claim_under_another_number_of_shards_is() -> None:
    assert not claims(claim('own'), claim('other', 1, shards=3)).holds


def test_records_forgotten_unread_may_hold_a_later_claim() -> None:
    rules = claims(claim('own'))
    rules.see_first_offset(5)

    assert not rules.holds


def test_a_record_that_cannot_be_read_is_told_and_passed_over() -> None:
    rules = claims(claim('own'))

    assert rules.apply(1, '{"v":2,"kind":"claim"}').is_err()
    assert rules.holds


def test_the_first_loads_in_the_log_are_permitted() -> None:
    rules = loads(begun('a'), begun('b'), begun('c'))

    assert [rules.is_permitted(each, 2) for each in 'abcd'] == [
        True,
        True,
        False,
        False,
    ]


def test_an_ended_load_makes_room() -> None:
    rules = loads(begun('a'), begun('b'), ended('a'))

    assert rules.is_permitted('b', 1)
    assert rules.room(1) == 0


def test_a_copy_of_a_begun_load_does_not_open_it_again() -> None:
    rules = loads(begun('a'), ended('a'), begun('a'))

    assert rules.room(1) == 1


def test_an_end_that_lands_before_its_begin_counts() -> None:
    assert loads(ended('a'), begun('a')).room(1) == 1


def test_a_lost_holder_is_waited_for_until_the_timeout() -> None:
    rules = loads(begun('a'), begun('b'))

    assert not rules.expire(TIMEOUT_S - 1, TIMEOUT_S)
    assert not rules.is_permitted('b', 1)
    expired = rules.expire(TIMEOUT_S, TIMEOUT_S)
    assert [load.load_id for load in expired] == ['a', 'b']
    assert rules.room(1) == 1


def test_a_runners_loads_are_found_whoever_began_them() -> None:
    rules = loads(begun('a', 'one'), begun('b', 'two'), begun('c', 'one'))

    assert [load.load_id for load in rules.of_runner('one')] == ['a', 'c']
