"""Isolation of content that crashes runners, but not of other content."""

from bramleybend.decisions.quarantine import (
    CONDEMNED,
    MAX_RECORDS,
    CrashBook,
    Verdict,
)


def make_refusing_registry() -> CrashBook:
    registry = CrashBook()
    for number in range(CONDEMNED):
        registry.crashed(f'engine-{number}', ['poison'], number)
    return registry


def test_all_in_flight_at_a_crash_is_suspect() -> None:
    registry = CrashBook()
    registry.crashed('engine-1', ['a', 'b'], 0)
    assert registry.verdict('a', 1) is Verdict.SUSPECT
    assert registry.verdict('b', 1) is Verdict.SUSPECT
    assert registry.verdict('c', 1) is Verdict.CLEAR


def test_finishing_clears_a_suspect() -> None:
    registry = CrashBook()
    registry.crashed('engine-1', ['a'], 0)
    registry.finished('a', 1)
    assert registry.verdict('a', 1) is Verdict.CLEAR


def test_crashes_on_enough_runners_refuse_for_good() -> None:
    """One request crashes runner after runner, as its caller sends it again.

    After the third runner it is refused, and a late report that a copy of it
    ended normally does not clear it.
    """
    registry = make_refusing_registry()
    assert registry.verdict('poison', 10) is Verdict.REFUSED
    registry.finished('poison', 11)
    assert registry.verdict('poison', 10**9) is Verdict.REFUSED


def test_crashes_of_one_runner_refuse_nothing() -> None:
    registry = CrashBook()
    for moment in range(10):
        registry.crashed('engine-1', ['a'], moment)
    assert registry.verdict('a', 10) is Verdict.SUSPECT


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
    registry = CrashBook()
    registry.crashed('engine-1', ['a'], 0)
    assert registry.verdict('a', 4000) is Verdict.CLEAR


def test_memory_is_bounded_and_keeps_what_is_refused() -> None:
    registry = make_refusing_registry()
    registry.crashed('engine-9', [f'f{n}' for n in range(MAX_RECORDS + 50)], 5)
    assert len(registry.export()) == MAX_RECORDS
    assert registry.verdict('poison', 6) is Verdict.REFUSED
