"""Non-blocking, bounded and rate-limited output of log lines.

Load pattern: thousands of lines a second, or a reader that has stopped.
Without it: a write to a full pipe blocks the event loop, and all callers of
the VM wait for the reader of its log.

A separate thread writes the lines, and only that thread may block. Lines that
exceed its queue, and lines of one kind of event that exceed its rate limit,
are dropped and counted; the counts are logged.
"""

import logging
import threading
from collections import Counter, deque
from typing import Final, TextIO

from bramleybend.clock import Clock

# About two megabytes of lines; bridges eight seconds without a reader at
# 1,000 lines a second.
MAX_QUEUED_LINES: Final = 8000
# Longer than a request, so that lines are written in few batches; a process
# that is killed loses the lines of the last interval.
FLUSH_INTERVAL_S: Final = 0.1
# Lines a second for each kind of event: four times what a VM logs at its peak
# of 50 requests a second.
MAX_LINES_PER_S: Final = 200
BURST_LINES: Final = 400
STOP_TIMEOUT_S: Final = 1.0


class LineWriter:
    """A stream whose `write` never blocks."""

    def __init__(self, stream: TextIO) -> None:
        """Start a thread that writes to `stream`."""
        self._stream = stream
        self._queue: deque[str] = deque()
        self._close_requested = threading.Event()
        self._closed = False
        self.dropped = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, text: str) -> int:
        """Queue text for the thread; drop it if the queue is full."""
        if len(self._queue) >= MAX_QUEUED_LINES:
            self.dropped += 1
        else:
            self._queue.append(text)
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread flushes after each write."""

    def close(self) -> None:
        """Write the queued lines; give up after `STOP_TIMEOUT_S`."""
        self._closed = True
        self._close_requested.set()
        self._thread.join(STOP_TIMEOUT_S)

    def _run(self) -> None:
        while not (self._closed and not self._queue):
            self._close_requested.wait(FLUSH_INTERVAL_S)
            if self._queue:
                self._write_queued()

    def _write_queued(self) -> None:
        lines = [self._queue.popleft() for _ in range(len(self._queue))]
        if self.dropped:
            lines.append(f'event=lines_dropped why=reader n={self.dropped}\n')
            self.dropped = 0
        try:
            self._stream.write(''.join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            # The reader is gone, so the error can't be logged either.
            self._closed = True
            self._queue.clear()


class RateFilter(logging.Filter):
    """Limits the lines a second of each kind of event by a token bucket."""

    def __init__(self, clock: Clock) -> None:
        """Start with full buckets."""
        super().__init__()
        self._clock = clock
        self._buckets: dict[str, tuple[float, float]] = {}
        self._dropped: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to log a record.

        The first record that passes after drops gets the number of dropped
        ones as `dropped_before`. Warnings and errors always pass.
        """
        if record.levelno > logging.INFO or not isinstance(record.msg, dict):
            return True
        kind = str(record.msg.get('event', ''))
        now = self._clock.monotonic()
        tokens, filled_at = self._buckets.get(kind, (float(BURST_LINES), now))
        tokens = min(tokens + (now - filled_at) * MAX_LINES_PER_S, BURST_LINES)
        if tokens < 1:
            self._buckets[kind] = (tokens, now)
            self._dropped[kind] += 1
            return False
        self._buckets[kind] = (tokens - 1, now)
        dropped = self._dropped.pop(kind, 0)
        if dropped:
            record.msg['dropped_before'] = dropped
        return True
