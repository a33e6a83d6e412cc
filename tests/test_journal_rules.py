"""Tickets, journal records and what a journal proves."""

import pytest

from bramleybend.answers import Outcome
from bramleybend.clients.log_service import LogRecord
from bramleybend.errors import ErrorKind
from bramleybend.models import JournalMode
from bramleybend.state.journal_records import (
    MAX_BODY,
    OutcomeRecord,
    decode,
    encode_intent,
    encode_outcome,
    encode_seal,
)
from bramleybend.state.journal_rules import (
    KEPT_EPOCHS,
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


def request(text: str = '10.0.0.1:8080:a1:0i/slot-7') -> RequestId:
    return parse_request_id(text).unwrap()


def stream(*texts: str) -> list[LogRecord]:
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
    plain = request('10.0.0.1:8080:a1:0/slot-7')

    assert dispatch_mode(plain, JournalMode.BEHIND) is JournalMode.BEHIND
    assert (
        dispatch_mode(request(), JournalMode.BEHIND)
        is JournalMode.BEFORE_DISPATCH
    )


def test_small_answer_is_kept_whole_and_large_one_left_out() -> None:
    small = encode_outcome(request(), Outcome.DONE, 200, 'text/plain', b'\xff')
    large = encode_outcome(request(), Outcome.DONE, body=b'x' * (MAX_BODY + 1))

    ended = fate(stream(small), request())
    assert isinstance(ended, Ended)
    assert (ended.record.status, ended.record.answer) == (200, b'\xff')
    lost = decode(large).unwrap()
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
        encode_outcome(request(), Outcome.DONE, body=b'ok').replace(
            '"b2s="',
            '"b2s"',
        ),
    ],
)
def test_bad_record_is_a_problem_and_counted(text: str) -> None:
    assert decode(text).unwrap_err().kind is ErrorKind.BAD_RECORD
    home, view = HomeJournal(), JournalView()
    home.read(stream(text))
    view.add(stream(text))

    assert (home.bad_records, view.bad_records) == (1, 1)
    assert not view.whole


def test_corrupt_record_does_not_stop_the_home() -> None:
    rights = HomeJournal().read(stream('{', encode_intent(request())))

    assert rights == {str(request())}


@pytest.mark.parametrize(
    'read',
    [
        stream(encode_seal('b2'), encode_intent(request())),
        stream('{"v":2,"kind":"seal"}', encode_intent(request())),
        stream('', encode_intent(request()))[1:],
    ],
)
def test_intent_behind_what_may_be_a_seal_gives_no_right(
    read: list[LogRecord],
) -> None:
    home = HomeJournal()

    assert home.read(read) == frozenset()
    assert home.sealed


def test_seal_without_intent_proves_not_run() -> None:
    late = stream(encode_seal('b2'), encode_intent(request()))

    assert fate(late, request()) == NotRun()
    assert fate(stream(encode_seal('b2')), request()) == NotRun()


@pytest.mark.parametrize(
    ('read', 'text'),
    [
        ([], '10.0.0.1:8080:a1:0i/slot-7'),
        (stream(encode_seal('b2')), '10.0.0.1:8080:a1:0/slot-7'),
        (stream('{', encode_seal('b2')), '10.0.0.1:8080:a1:0i/slot-7'),
        (stream('', encode_seal('b2'))[1:], '10.0.0.1:8080:a1:0i/slot-7'),
    ],
    ids=['no seal', 'no mark', 'corrupt', 'forgotten'],
)
def test_missing_intent_alone_proves_nothing(
    read: list[LogRecord],
    text: str,
) -> None:
    assert isinstance(fate(read, request(text)), Unknown)


def test_ids_of_old_epochs_are_dropped_and_unknown() -> None:
    newer = request(f'10.0.0.1:8080:a1:{KEPT_EPOCHS}i/slot-8')
    read = stream(
        encode_outcome(request(), Outcome.DONE),
        encode_intent(newer),
        encode_seal('b2'),
    )

    assert isinstance(fate(read, request()), Unknown)


def test_outcome_not_run_is_told_as_such() -> None:
    read = stream(encode_outcome(request(), Outcome.NOT_RUN))

    assert fate(read, request()) == NotRun()
