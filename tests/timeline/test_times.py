"""Where the time of requests went, read from logs."""

from bramleybend.status import ExitStatus
from bramleybend.timeline.merge import merge
from bramleybend.timeline.read import read_lines
from bramleybend.timeline.times import (
    TierTimes,
    sizes_shown,
    spans_shown,
    tier_times,
)
from tests.cli.world import World
from tests.timeline.test_cause import LOGS, line


def rows(*told: str) -> list[TierTimes]:
    """Return the rows of lines written by one VM."""
    lines = [line('vm', seq, rest) for seq, rest in enumerate(told)]
    return tier_times(merge([read_lines('log', lines)]).events)


def answered(req: str, rest: str) -> str:
    """Write the line of an answer."""
    return f'event=answered req={req} tier=1 {rest}'


def test_a_served_request_is_split_into_its_parts() -> None:
    """40 ms in our queue, 60 at the runner, 900 until the stream's end."""
    (row,) = rows(
        'event=placed req=a waited_ms=40',
        answered('a', 'status=200 first_event_ms=100 ms=1000'),
    )
    assert row.served == 1
    parts = (row.waited, row.to_first, row.rest)
    assert [part.values for part in parts] == [[40], [60], [900]]


def test_a_resend_does_not_hide_the_first_wait() -> None:
    """The wait is that for the first slot, not for the one of the resend."""
    (row,) = rows(
        'event=placed req=a waited_ms=40',
        'event=placed req=a waited_ms=500',
        answered('a', 'status=200 first_event_ms=600 ms=700'),
    )
    assert row.waited.values == [40]


def test_unserved_requests_are_counted_by_reason() -> None:
    """Refusals of an allotment have no tier: they come before the route's."""
    found = rows(
        answered('a', 'status=503 why="wait_exceeds_deadline" ms=2'),
        answered('b', 'status=503 why="wait_exceeds_deadline" ms=2'),
        answered('c', 'status=500 why= ms=9'),
        'event=denied req=d status=429 why="over its allotment"',
    )
    assert [row.tier for row in found] == ['-', '1']
    assert found[0].unserved == {'429 over its allotment': 1}
    assert found[1].unserved == {
        '503 wait_exceeds_deadline': 2,
        '500 the runner said so': 1,
    }


def test_the_share_served_is_told_by_size() -> None:
    """A tier that serves its small requests only doesn't look healthy."""
    (row,) = rows(
        *(
            answered(
                f'r{work}', f'status={200 if work < 90 else 503} work={work}'
            )
            for work in range(100)
        )
    )
    assert sizes_shown(row.sizes) == '0.90 / 1.00 / 0.00'


def test_nothing_measured_is_shown_as_such() -> None:
    """A tier in which nobody was served has no times."""
    (row,) = rows(answered('a', 'status=503 why=full ms=2'))
    assert spans_shown(row.waited) == '-'


async def test_the_command_reads_a_played_day() -> None:
    """One row a tier, and below it why requests were not served."""
    world = World()
    status, out, _ = await world.run('times', '--logs', str(LOGS))
    assert status is ExitStatus.OK
    assert out.startswith('tier')
    assert '429 the workspace is over its allotment' in out


async def test_the_command_needs_logs() -> None:
    """Processes keep too few lines for a table; the remedy is named."""
    world = World()
    status, _, err = await world.run('times')
    assert status is ExitStatus.USAGE
    assert '--logs' in err
