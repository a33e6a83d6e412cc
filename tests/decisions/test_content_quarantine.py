"""Parts of prompts that crash runners, told from the sound ones beside them."""

from itertools import count

from bramleybend.decisions.content_quarantine import (
    SOUND_S,
    ContentQuarantine,
)
from bramleybend.decisions.quarantine import MAX_RECORDS, REFUSAL_CRASHES

SHARED, CRASHING = 'shared', 'crashing'
REFUSAL_TTL_S = 600.0


def crash(
    quarantine: ContentQuarantine, part: str, times: int, now: float
) -> None:
    """Record crashes of different runners under a part."""
    for number in range(times):
        quarantine.record_crash(f'{part}-{number}', (SHARED, part), now)


def exchange(
    one: ContentQuarantine, other: ContentQuarantine, now: float
) -> None:
    """Let two processes exchange their recent records."""
    sent = one.changed_records(now - 5), other.changed_records(now - 5)
    other.merge(sent[0], now)
    one.merge(sent[1], now)


def test_a_part_that_crashes_enough_runners_is_refused() -> None:
    """The requests have nothing else in common."""
    quarantine = ContentQuarantine(REFUSAL_TTL_S)
    quarantine.record_completion((SHARED,), 0)
    crash(quarantine, CRASHING, REFUSAL_CRASHES, 1)
    assert quarantine.is_refused(CRASHING, 2)
    assert not quarantine.is_refused(SHARED, 2)
    assert not quarantine.runners(SHARED)


def test_crashes_at_several_processes_count_together() -> None:
    """Each request comes at another VM, so each VM sees few crashes."""
    processes = [
        ContentQuarantine(REFUSAL_TTL_S) for _ in range(REFUSAL_CRASHES)
    ]
    for number, process in enumerate(processes):
        process.record_crash(f'r{number}', (CRASHING,), 1)
    for _ in range(2):
        for process in processes[1:]:
            exchange(processes[0], process, 1)
    assert all(process.is_refused(CRASHING, 1) for process in processes)


def test_a_part_that_completes_elsewhere_is_cleared_for_all() -> None:
    """A VM that has just started knows no part to be sound."""
    starter, other = (
        ContentQuarantine(REFUSAL_TTL_S),
        ContentQuarantine(REFUSAL_TTL_S),
    )
    other.record_completion((SHARED,), 0)
    crash(starter, CRASHING, REFUSAL_CRASHES, 1)
    assert starter.is_refused(SHARED, 1)
    exchange(starter, other, 1)
    exchange(starter, other, 1)
    assert not starter.is_refused(SHARED, 1)
    assert not other.is_refused(SHARED, 1)
    assert other.is_refused(CRASHING, 1)


def test_a_part_that_was_sound_long_ago_can_become_suspect() -> None:
    """A new version of a model may crash on what it answered before."""
    quarantine = ContentQuarantine(REFUSAL_TTL_S)
    quarantine.record_completion((CRASHING,), 0)
    crash(quarantine, CRASHING, REFUSAL_CRASHES, SOUND_S + 1)
    assert quarantine.is_refused(CRASHING, SOUND_S + 1)


def test_a_refusal_ends_and_one_more_crash_renews_it() -> None:
    """Thousands of requests may share a part that was refused wrongly."""
    quarantine = ContentQuarantine(REFUSAL_TTL_S)
    crash(quarantine, CRASHING, REFUSAL_CRASHES, 0)
    ended_at = REFUSAL_TTL_S + 1
    assert quarantine.is_refused(CRASHING, REFUSAL_TTL_S - 1)
    assert not quarantine.is_refused(CRASHING, ended_at)
    assert len(quarantine.runners(CRASHING)) >= REFUSAL_CRASHES
    quarantine.record_crash('another', (CRASHING,), ended_at)
    assert quarantine.is_refused(CRASHING, ended_at + REFUSAL_TTL_S - 1)


def test_a_completed_run_ends_a_refusal_for_all() -> None:
    """A run that was under way shows that the part is sound."""
    one, other = (
        ContentQuarantine(REFUSAL_TTL_S),
        ContentQuarantine(REFUSAL_TTL_S),
    )
    crash(one, CRASHING, REFUSAL_CRASHES, 0)
    exchange(one, other, 0)
    other.record_completion((CRASHING,), 1)
    exchange(one, other, 1)
    assert not one.is_refused(CRASHING, 1)
    assert not other.is_refused(CRASHING, 1)


def test_many_new_parts_do_not_push_out_a_refused_one() -> None:
    """Each request of a crash adds parts that never come again."""
    quarantine = ContentQuarantine(REFUSAL_TTL_S)
    crash(quarantine, CRASHING, REFUSAL_CRASHES, 0)
    numbers = count()
    for _ in range(MAX_RECORDS + 10):
        quarantine.record_crash('r', (f'part-{next(numbers)}',), 1)
    assert quarantine.is_refused(CRASHING, 2)


def test_crashes_of_runners_by_themselves_refuse_no_part_in_use() -> None:
    """A fifth of the runners is killed while all serve the same parts."""
    quarantine = ContentQuarantine(REFUSAL_TTL_S)
    for number in range(20):
        quarantine.record_completion((SHARED, 'document'), number)
        quarantine.record_crash(f'r{number}', (SHARED, 'document'), number)
    assert not quarantine.is_refused(SHARED, 20)
    assert not quarantine.is_refused('document', 20)
