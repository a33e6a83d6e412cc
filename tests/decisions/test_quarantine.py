"""Isolation of content that crashes runners, but not of other content."""

from bramleybend.decisions.quarantine import (
    CONDEMNED,
    MAX_RECORDS,
    CrashBook,
    Verdict,
)


def make_refusing_book() -> CrashBook:
    book = CrashBook()
    for number in range(CONDEMNED):
        book.crashed(f'engine-{number}', ['poison'], number)
    return book


def test_all_in_flight_at_a_crash_is_suspect() -> None:
    book = CrashBook()
    book.crashed('engine-1', ['a', 'b'], 0)
    assert book.verdict('a', 1) is Verdict.SUSPECT
    assert book.verdict('b', 1) is Verdict.SUSPECT
    assert book.verdict('c', 1) is Verdict.CLEAR


def test_finishing_clears_a_suspect() -> None:
    book = CrashBook()
    book.crashed('engine-1', ['a'], 0)
    book.finished('a', 1)
    assert book.verdict('a', 1) is Verdict.CLEAR


def test_crashes_on_enough_runners_refuse_for_good() -> None:
    """One request crashes runner after runner, as its caller sends it again.

    After the third runner it is refused, and a late report that a copy of it
    ended normally does not clear it.
    """
    book = make_refusing_book()
    assert book.verdict('poison', 10) is Verdict.REFUSED
    book.finished('poison', 11)
    assert book.verdict('poison', 10**9) is Verdict.REFUSED


def test_crashes_of_one_runner_refuse_nothing() -> None:
    book = CrashBook()
    for moment in range(10):
        book.crashed('engine-1', ['a'], moment)
    assert book.verdict('a', 10) is Verdict.SUSPECT


def test_records_merge_in_any_order() -> None:
    one, other = CrashBook(), CrashBook()
    one.crashed('engine-1', ['a', 'b'], 0)
    other.crashed('engine-2', ['a'], 0)
    other.crashed('engine-3', ['a'], 0)
    other.crashed('engine-1', ['b'], 0)
    other.finished('b', 1)
    first, second = CrashBook(), CrashBook()
    first.merge(one.export() + other.export(), 2)
    second.merge(other.export() + one.export(), 2)
    assert set(first.export()) == set(second.export())
    assert first.verdict('a', 2) is Verdict.REFUSED
    assert first.verdict('b', 2) is Verdict.CLEAR


def test_suspicion_expires() -> None:
    book = CrashBook()
    book.crashed('engine-1', ['a'], 0)
    assert book.verdict('a', 4000) is Verdict.CLEAR


def test_memory_is_bounded_and_keeps_what_is_refused() -> None:
    book = make_refusing_book()
    book.crashed('engine-9', [f'f{n}' for n in range(MAX_RECORDS + 50)], 5)
    assert len(book.export()) == MAX_RECORDS
    assert book.verdict('poison', 6) is Verdict.REFUSED
