"""Log lines leave without ever holding up whoever writes them."""

import logging
import os
import time
from datetime import UTC, datetime
from io import StringIO

from bramleybend.clock import ManualClock
from bramleybend.log_output import BURST, MOST_WAITING, LineWriter, RateFilter

START = datetime(2026, 12, 2, tzinfo=UTC)


def line(event: str, level: int = logging.INFO) -> logging.LogRecord:
    """Return the record of an event."""
    return logging.LogRecord(
        'bramleybend.events', level, '', 0, {'event': event}, (), None
    )


def test_a_reader_that_has_stopped_costs_the_writer_nothing() -> None:
    """Requests go on while nobody reads the log; what is lost is counted.

    The pipe is full, so a plain write would block for ever. The lines wait
    up to a bound, and the rest are dropped.
    """
    reading, writing = os.pipe()
    with os.fdopen(writing, 'w') as stream, os.fdopen(reading) as reader:
        lines = LineWriter(stream)
        started = time.monotonic()
        for number in range(MOST_WAITING * 3):
            lines.write(f'event=x n={number} {"." * 100}\n')
        assert time.monotonic() - started < 1
        assert lines.dropped > 0
        os.set_blocking(reader.fileno(), False)
        lines._closed = True
        while lines._thread.is_alive():
            try:
                os.read(reader.fileno(), 1_000_000)
            except BlockingIOError:
                time.sleep(0.01)


def test_lines_leave_in_their_order() -> None:
    """What was handed over is written out at the end."""
    stream = StringIO()
    lines = LineWriter(stream)
    for number in range(5):
        lines.write(f'{number}\n')
    lines.close()
    assert stream.getvalue() == '0\n1\n2\n3\n4\n'


def test_a_flood_of_one_event_leaves_room_for_the_others() -> None:
    """Its lines are dropped beyond the rate, and the next one tells it."""
    clock = ManualClock(START)
    rule = RateFilter(clock)
    passed = sum(rule.filter(line('refused')) for _ in range(BURST * 2))
    assert passed == BURST
    assert rule.filter(line('manifest'))
    assert rule.filter(line('refused', logging.ERROR))
    clock.advance(1)
    told = line('refused')
    assert rule.filter(told)
    assert isinstance(told.msg, dict)
    assert told.msg['dropped_before'] == BURST
