"""The timeline keeps causal order and reports missing and malformed lines."""

import logging
from datetime import UTC, datetime
from io import StringIO
from pathlib import Path

import pytest

from bramleybend.cli.environment import Environment
from bramleybend.cli.timeline import main
from bramleybend.clock import ManualClock
from bramleybend.events import EventLog, setup_logging
from bramleybend.exit_status import ExitStatus

START = datetime(2026, 1, 1, 12, tzinfo=UTC)
LAGGING_START = datetime(2026, 1, 1, 11, 59, 30, tzinfo=UTC)


@pytest.fixture(name='logs')
def _logs(tmp_path: Path) -> Path:
    """Logs of one request by two VMs whose clocks differ by 30 seconds."""
    streams = StringIO(), StringIO()
    home = EventLog('gateway', 'aaaaaaaaaa', ManualClock(START))
    owner = EventLog('scheduler', 'bbbbbbbbbb', ManualClock(LAGGING_START))
    root = logging.getLogger()
    handlers = root.handlers.copy()
    setup_logging('INFO', streams[0])
    home.record('started', vm='entry-1')
    home.record('accepted', 't/1', tier=1)
    asked_stamp = home.hybrid.tick()
    home.record('sent', 't/1', runner='r-1', note='<b>"x"</b>\n\x1b[2J')
    home.record('accepted', 't/2', tier=4)
    logging.getLogger('other').warning('not an event')
    setup_logging('INFO', streams[1])
    owner.record('started', vm='entry-2')
    owner.hybrid.observe(asked_stamp)
    owner.record('granted', 't/1', runner='r-1')
    root.handlers = handlers
    for name, stream in zip(('entry-1', 'entry-2'), streams, strict=True):
        (tmp_path / f'{name}.log').write_text(stream.getvalue())
    return tmp_path


def run_timeline(*args: str) -> tuple[ExitStatus, list[str], str]:
    """Run the program; return its exit code, output lines and stderr."""
    out, err = StringIO(), StringIO()
    status = main(args, Environment(stdout=out, stderr=err))
    return status, out.getvalue().splitlines(), err.getvalue()


def test_an_effect_follows_its_cause_though_its_clock_lags(logs: Path) -> None:
    """The owner's wall clock is 30 s behind; its grant still sorts last."""
    status, lines, err = run_timeline('--request', '1', str(logs))
    assert status is ExitStatus.OK
    assert [line.split()[2] for line in lines] == [
        'accepted',
        'sent',
        'granted',
    ]
    assert '3 of 6 events from 2 files' in err
    assert '\x1b' not in ''.join(lines)


@pytest.mark.parametrize(
    ('flags', 'events'),
    [
        (('--vm', 'entry-2'), ['started', 'granted']),
        (('--runner', 'r-1'), ['sent', 'granted']),
        (('--tier', '1'), ['accepted', 'sent', 'granted']),
        (('--tier', '4', '--vm', 'entry-1'), ['accepted']),
    ],
)
def test_filters_choose(
    logs: Path,
    flags: tuple[str, ...],
    events: list[str],
) -> None:
    """A tier selects every event of its requests, also events without it."""
    _, lines, _ = run_timeline(*flags, str(logs))
    assert [line.split()[2] for line in lines] == events


def test_torn_and_missing_lines_are_told(logs: Path) -> None:
    """A killed process truncates a line; a log collector loses one.

    The log of entry-1 lacks its first line, holds a line of NUL bytes and
    ends in the middle of a line. Complete lines are shown and the others
    counted, so a gap isn't mistaken for what happened. Events of a log that
    is given twice are shown once.
    """
    log = logs / 'entry-1.log'
    lines = log.read_bytes().splitlines(keepends=True)
    cut = lines[2][: len(lines[2]) // 2]
    log.write_bytes(b''.join([lines[1], b'\0\0\n', b'at="x\n', lines[2], cut]))
    status, shown, err = run_timeline(str(logs), str(log))
    assert (status, len(shown)) == (ExitStatus.OK, 4)
    assert '1 events of gateway~aaaaaaaa are missing' in err
    assert '6 truncated or malformed lines were skipped' in err
    assert '2 duplicate events were dropped' in err


def test_clocks_that_differ_are_told(tmp_path: Path) -> None:
    """The owner's clock lags by 40 ms, so its grant sorts too early."""
    line = 'hlc={} process={} incarnation=a event={} req=t/1\n'
    (tmp_path / 'both.log').write_text(
        line.format('1000.0', 'gateway', 'accepted')
        + line.format('960.0', 'scheduler', 'grant')
    )
    _, _, err = run_timeline(str(tmp_path))
    assert 'clocks differ by 40 ms or more' in err


def test_the_page_needs_nothing_else_and_runs_nothing_logged(
    logs: Path,
) -> None:
    """The page is one file without links and escapes text from the logs."""
    target = logs / 'page.html'
    status, lines, _ = run_timeline('--html', str(target), str(logs))
    text = target.read_text()
    assert (status, lines) == (ExitStatus.OK, [])
    assert '&lt;b&gt;&quot;x&quot;&lt;/b&gt;??[2J' in text
    assert text.count('<tr>') == 7
    assert '<th>scheduler@entry-2~bbbbbbbb</th>' in text
    assert 'http' not in text


@pytest.mark.parametrize(
    ('args', 'status', 'message'),
    [
        (['none.log'], ExitStatus.NOT_FOUND, 'none.log cannot be read'),
        (['--tier', '5', '.'], ExitStatus.USAGE, "'5' is not a tier"),
        ([], ExitStatus.USAGE, 'FILE'),
        (['--request', 'x', '{logs}'], ExitStatus.NOT_FOUND, 'no event'),
        (['--html', '/none/x', '{logs}'], ExitStatus.NOT_FOUND, 'written'),
    ],
)
def test_bad_input_gets_a_clear_message(
    logs: Path,
    args: list[str],
    status: ExitStatus,
    message: str,
) -> None:
    """No output is printed that could be mistaken for a timeline."""
    found_status, lines, err = run_timeline(
        *(arg.format(logs=logs) for arg in args)
    )
    assert (found_status, lines) == (status, [])
    assert message in err
