"""Log output never blocks the code that logs."""

import logging
import os
import time
from datetime import UTC, datetime
from io import StringIO

from bramleybend.clock import ManualClock
from bramleybend.log_output import (
    BURST_LINES,
    MAX_QUEUED_LINES,
    LineWriter,
    RateFilter,
)

START = datetime(2026, 12, 2, tzinfo=UTC)


def make_record(event: str, level: int = logging.INFO) -> logging.LogRecord:
    """Return the record of an event."""
    return logging.LogRecord(
        'bramleybend.events', level, '', 0, {'event': event}, (), None
    )


def test_a_reader_that_has_stopped_costs_the_writer_nothing() -> None:
    """Writes don't block while nobody reads the log; drops are counted.

    The pipe is full, so a direct write would block forever. Lines are queued
    up to a limit, and further lines are dropped.
    """
    reading, writing = os.pipe()
    with os.fdopen(writing, 'w') as stream, os.fdopen(reading) as reader:
        writer = LineWriter(stream)
        started = time.monotonic()
        for number in range(MAX_QUEUED_LINES * 3):
            writer.write(f'event=x n={number} {"." * 100}\n')
        assert time.monotonic() - started < 1
        assert writer.dropped > 0
        os.set_blocking(reader.fileno(), False)
        writer._closed = True
        while writer._thread.is_alive():
            try:
                os.read(reader.fileno(), 1_000_000)
            except BlockingIOError:
                time.sleep(0.01)


def test_lines_leave_in_their_order() -> None:
    """Closing the writer writes the queued lines in order."""
    stream = StringIO()
    writer = LineWriter(stream)
    for number in range(5):
        writer.write(f'{number}\n')
    writer.close()
    assert stream.getvalue() == '0\n1\n2\n3\n4\n'


def test_a_flood_of_one_event_leaves_room_for_the_others() -> None:
    """Lines beyond the rate are dropped; the next one carries the count."""
    clock = ManualClock(START)
    rate_filter = RateFilter(clock)
    passed_count = sum(
        rate_filter.filter(make_record('refused'))
        for _ in range(BURST_LINES * 2)
    )
    assert passed_count == BURST_LINES
    assert rate_filter.filter(make_record('manifest'))
    assert rate_filter.filter(make_record('refused', logging.ERROR))
    clock.advance(1)
    record = make_record('refused')
    assert rate_filter.filter(record)
    assert isinstance(record.msg, dict)
    assert record.msg['dropped_before'] == BURST_LINES
