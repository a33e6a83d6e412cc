"""Tests of tickets, journal records and the rules of the journal."""

import pytest

from bramleybend.answers import Outcome
from bramleybend.clients.log_service import LogRecord
from bramleybend.errors import ErrorKind
from bramleybend.models import JournalMode
from bramleybend.state.journal_records import (
    MAX_BODY_BYTES,
    OutcomeRecord,
    decode_journal_record,
    encode_intent,
    encode_outcome,
    encode_seal,
)
from bramleybend.state.journal_rules import (
    RETAINED_EPOCHS,
    Ended,
    HomeJournal,
    JournalView,
    NotRun,
    Unknown,
    fate,
)
from bramleybend.state.tickets import (
    RequestId,
    dispatch_mode,
    parse_request_id,
    parse_ticket,
)


def parse_id(text: str = '10.0.0.1:8080:a1:0i/slot-7') -> RequestId:
    return parse_request_id(text).unwrap()


def make_records(*texts: str) -> list[LogRecord]:
    return [LogRecord(offset, text) for offset, text in enumerate(texts)]


@pytest.mark.parametrize(
    'text',
    ['10.0.0.1:8080:a1:0', '10.0.0.1:8080:a1:7i', '::1:8080:00ff:12'],
)
def test_ticket_reads_back_as_written(text: str) -> None:
    assert str(parse_ticket(text).unwrap()) == text


@pytest.mark.parametrize(
    'text',
    [
        '',
        '10.0.0.1:8080:a1',
        '10.0.0.1:08080:a1:0',
        '10.0.0.1:8080:a1:00',
        '10.0.0.1:0:a1:0',
        '10.0.0.1:65536:a1:0',
        '10.0.0.300:8080:a1:0',
        '0:0:0:0:0:0:0:1:8080:a1:0',
        '10.0.0.1:8080:A1:0',
        '10.0.0.1:8080:a1:٣',
        '10.0.0.1:8080:a1:0\n',
        'fe80::1%eth0:8080:a1:0',
    ],
)
def test_other_spellings_are_no_tickets(text: str) -> None:
    assert parse_ticket(text).unwrap_err().kind is ErrorKind.BAD_REQUEST


@pytest.mark.parametrize('own', ['', 'a/b', 'a b', 'ä', 'a\n', 'a' * 129])
def test_bad_own_part_is_refused(own: str) -> None:
    parsed = parse_request_id(f'10.0.0.1:8080:a1:0/{own}')

    assert parsed.unwrap_err().kind is ErrorKind.BAD_REQUEST


def test_mark_outlasts_a_change_of_terms() -> None:
    plain = parse_id('10.0.0.1:8080:a1:0/slot-7')

    assert dispatch_mode(plain, JournalMode.BEHIND) is JournalMode.BEHIND
    assert (
        dispatch_mode(parse_id(), JournalMode.BEHIND)
        is JournalMode.BEFORE_DISPATCH
    )


def test_small_answer_is_kept_whole_and_large_one_left_out() -> None:
    small = encode_outcome(parse_id(), Outcome.DONE, 200, 'text/plain', b'\xff')
    large = encode_outcome(
        parse_id(), Outcome.DONE, body=b'x' * (MAX_BODY_BYTES + 1)
    )

    ended = fate(make_records(small), parse_id())
    assert isinstance(ended, Ended)
    assert (ended.record.status, ended.record.answer) == (200, b'\xff')
    lost = decode_journal_record(large).unwrap()
    assert isinstance(lost, OutcomeRecord)
    assert lost.answer is None


@pytest.mark.parametrize(
    'text',
    [
        '',
        '[]',
        '{"v":1,"kind":"intent","req":"no id"}',
        encode_seal('a').replace('"v":1', '"v":2'),
        encode_seal('a').replace('"by"', '"buy"'),
        encode_outcome(parse_id(), Outcome.DONE, body=b'ok').replace(
            '"b2s="',
            '"b2s"',
        ),
    ],
)
def test_bad_record_is_a_problem_and_counted(text: str) -> None:
    assert decode_journal_record(text).unwrap_err().kind is ErrorKind.BAD_RECORD
    home, view = HomeJournal(), JournalView()
    home.read(make_records(text))
    view.add(make_records(text))

    assert (home.bad_record_count, view.bad_record_count) == (1, 1)
    assert not view.is_gapless_to_seal


def test_corrupt_record_does_not_stop_the_home() -> None:
    rights = HomeJournal().read(make_records('{', encode_intent(parse_id())))

    assert rights == {str(parse_id())}


@pytest.mark.parametrize(
    'read',
    [
        make_records(encode_seal('b2'), encode_intent(parse_id())),
        make_records('{"v":2,"kind":"seal"}', encode_intent(parse_id())),
        make_records('', encode_intent(parse_id()))[1:],
    ],
)
def test_intent_behind_what_may_be_a_seal_gives_no_right(
    read: list[LogRecord],
) -> None:
    home = HomeJournal()

    assert home.read(read) == frozenset()
    assert home.sealed


def test_seal_without_intent_proves_not_run() -> None:
    late = make_records(encode_seal('b2'), encode_intent(parse_id()))

    assert fate(late, parse_id()) == NotRun()
    assert fate(make_records(encode_seal('b2')), parse_id()) == NotRun()


@pytest.mark.parametrize(
    ('read', 'text'),
    [
        ([], '10.0.0.1:8080:a1:0i/slot-7'),
        (make_records(encode_seal('b2')), '10.0.0.1:8080:a1:0/slot-7'),
        (make_records('{', encode_seal('b2')), '10.0.0.1:8080:a1:0i/slot-7'),
        (make_records('', encode_seal('b2'))[1:], '10.0.0.1:8080:a1:0i/slot-7'),
    ],
    ids=['no seal', 'no mark', 'corrupt', 'forgotten'],
)
def test_missing_intent_alone_proves_nothing(
    read: list[LogRecord],
    text: str,
) -> None:
    assert isinstance(fate(read, parse_id(text)), Unknown)


def test_ids_of_old_epochs_are_dropped_and_unknown() -> None:
    newer = parse_id(f'10.0.0.1:8080:a1:{RETAINED_EPOCHS}i/slot-8')
    read = make_records(
        encode_outcome(parse_id(), Outcome.DONE),
        encode_intent(newer),
        encode_seal('b2'),
    )

    assert isinstance(fate(read, parse_id()), Unknown)


def test_outcome_not_run_is_told_as_such() -> None:
    read = make_records(encode_outcome(parse_id(), Outcome.NOT_RUN))

    assert fate(read, parse_id()) == NotRun()
