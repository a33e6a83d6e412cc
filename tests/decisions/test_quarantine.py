"""Isolation of content that crashes runners, but not of other content."""

from bramleybend.decisions.quarantine import (
    MAX_RECORDS,
    REFUSAL_CRASHES,
    ContentStatus,
    CrashRegistry,
)


def make_refusing_registry() -> CrashRegistry:
    registry = CrashRegistry()
    for number in range(REFUSAL_CRASHES):
        registry.record_crash(f'engine-{number}', ['poison'], number)
    return registry


def test_all_in_flight_at_a_crash_is_suspect() -> None:
    registry = CrashRegistry()
    registry.record_crash('engine-1', ['a', 'b'], 0)
    assert registry.status_of('a', 1) is ContentStatus.SUSPECT
    assert registry.status_of('b', 1) is ContentStatus.SUSPECT
    assert registry.status_of('c', 1) is ContentStatus.CLEAR


def test_finishing_clears_a_suspect() -> None:
    registry = CrashRegistry()
    registry.record_crash('engine-1', ['a'], 0)
    registry.record_finish('a', 1)
    assert registry.status_of('a', 1) is ContentStatus.CLEAR


def test_crashes_on_enough_runners_refuse_for_good() -> None:
    """One request crashes runner after runner, as its caller sends it again.

    After the third runner it is refused, and a late report that a copy of it
    ended normally does not clear it.
    """
    registry = make_refusing_registry()
    assert registry.status_of('poison', 10) is ContentStatus.REFUSED
    registry.record_finish('poison', 11)
    assert registry.status_of('poison', 10**9) is ContentStatus.REFUSED


def test_crashes_of_one_runner_refuse_nothing() -> None:
    registry = CrashRegistry()
    for moment in range(10):
        registry.record_crash('engine-1', ['a'], moment)
    assert registry.status_of('a', 10) is ContentStatus.SUSPECT


def test_records_merge_in_any_order() -> None:
    one, other = CrashRegistry(), CrashRegistry()
    one.record_crash('engine-1', ['a', 'b'], 0)
    other.record_crash('engine-2', ['a'], 0)
    other.record_crash('engine-3', ['a'], 0)
    other.record_crash('engine-1', ['b'], 0)
    other.record_finish('b', 1)
    first, second = CrashRegistry(), CrashRegistry()
    first.merge(one.all_records() + other.all_records(), 2)
    second.merge(other.all_records() + one.all_records(), 2)
    assert set(first.all_records()) == set(second.all_records())
    assert first.status_of('a', 2) is ContentStatus.REFUSED
    assert first.status_of('b', 2) is ContentStatus.CLEAR


def test_suspicion_expires() -> None:
    registry = CrashRegistry()
    registry.record_crash('engine-1', ['a'], 0)
    assert registry.status_of('a', 4000) is ContentStatus.CLEAR


def test_memory_is_bounded_and_keeps_what_is_refused() -> None:
    registry = make_refusing_registry()
    registry.record_crash(
        'engine-9', [f'f{n}' for n in range(MAX_RECORDS + 50)], 5
    )
    assert len(registry.all_records()) == MAX_RECORDS
    assert registry.status_of('poison', 6) is ContentStatus.REFUSED
