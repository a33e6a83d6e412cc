"""The latency breakdown by tier, computed from event logs."""

from bramleybend.exit_status import ExitStatus
from bramleybend.timeline.latencies import (
    TierTimes,
    collect_tier_times,
    format_durations,
    format_served_by_size,
)
from bramleybend.timeline.merge import merge
from bramleybend.timeline.read import read_lines
from tests.cli.fakes import FakeEnvironment
from tests.timeline.test_cause import LOGS, event_line


def rows(*event_fields: str) -> list[TierTimes]:
    """Return the table rows for event lines written by one VM."""
    lines = [
        event_line('vm', seq, rest) for seq, rest in enumerate(event_fields)
    ]
    return collect_tier_times(merge([read_lines('log', lines)]).events)


def answered_fields(req: str, rest: str) -> str:
    """Return the fields of an `answered` event."""
    return f'event=answered req={req} tier=1 {rest}'


def test_a_served_request_is_split_into_its_parts() -> None:
    """40 ms in the queue, 60 ms to the first event, 900 ms to the end."""
    (row,) = rows(
        'event=placed req=a waited_ms=40',
        answered_fields('a', 'status=200 first_event_ms=100 ms=1000'),
    )
    assert row.served == 1
    parts = (row.waited, row.to_first, row.rest)
    assert [part.values for part in parts] == [[40], [60], [900]]


def test_a_resend_does_not_hide_the_first_wait() -> None:
    """The time waited is that for the first slot, not for the resend's."""
    (row,) = rows(
        'event=placed req=a waited_ms=40',
        'event=placed req=a waited_ms=500',
        answered_fields('a', 'status=200 first_event_ms=600 ms=700'),
    )
    assert row.waited.values == [40]


def test_unserved_requests_are_counted_by_reason() -> None:
    """Refusals over an allotment have no tier: they precede routing."""
    found = rows(
        answered_fields('a', 'status=503 why="wait_exceeds_deadline" ms=2'),
        answered_fields('b', 'status=503 why="wait_exceeds_deadline" ms=2'),
        answered_fields('c', 'status=500 why= ms=9'),
        'event=denied req=d status=429 why="over its allotment"',
    )
    assert [row.tier for row in found] == ['-', '1']
    assert found[0].unserved == {'429 over its allotment': 1}
    assert found[1].unserved == {
        '503 wait_exceeds_deadline': 2,
        '500 the runner said so': 1,
    }


def test_the_share_served_is_told_by_size() -> None:
    """A tier that serves only its small requests is visible as such."""
    (row,) = rows(
        *(
            answered_fields(
                f'r{work}', f'status={200 if work < 90 else 503} work={work}'
            )
            for work in range(100)
        )
    )
    assert format_served_by_size(row.sizes) == '0.90 / 1.00 / 0.00'


def test_nothing_measured_is_shown_as_such() -> None:
    """A tier without a served request shows no times."""
    (row,) = rows(answered_fields('a', 'status=503 why=full ms=2'))
    assert format_durations(row.waited) == '-'


async def test_the_command_reads_a_played_day() -> None:
    """The table is followed by the reasons of unserved requests."""
    world = FakeEnvironment()
    status, out, _ = await world.run('times', '--logs', str(LOGS))
    assert status is ExitStatus.OK
    assert out.startswith('tier')
    assert '429 the workspace is over its allotment' in out


async def test_the_command_needs_logs() -> None:
    """The error names `--logs`: processes keep too few events for a table."""
    world = FakeEnvironment()
    status, _, err = await world.run('times')
    assert status is ExitStatus.USAGE
    assert '--logs' in err
