"""Log lines on their way out: bounded, and never in the way of requests.

Load pattern: thousands of lines a second, or a reader that has stopped.
Without it: a full pipe blocks the event loop in a write, and all callers of
the VM wait for whoever reads its log.

Lines are handed to a thread, which alone may block. What it can't keep up
with is dropped and counted, and so is what one kind of event says beyond its
rate; the counts are written as lines themselves.
"""

import logging
import threading
from collections import Counter, deque
from typing import Final, TextIO

from bramleybend.clock import Clock

# About two megabytes of lines; at 1,000 lines a second, eight seconds of a
# reader that has stopped.
MOST_WAITING: Final = 8000
# Longer than a request, so that lines leave in few writes; a process that is
# killed loses what it wrote in the last moments.
FLUSH_S: Final = 0.1
# Of one kind, each second: four times what a VM says at its peak of 50
# requests a second.
RATE_PER_S: Final = 200
BURST: Final = 400
STOP_TIMEOUT_S: Final = 1.0


class LineWriter:
    """A stream whose `write` never waits."""

    def __init__(self, stream: TextIO) -> None:
        """Write to a stream, by a thread of its own."""
        self._stream = stream
        self._waiting: deque[str] = deque()
        self._news = threading.Event()
        self._closed = False
        self.dropped = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, text: str) -> int:
        """Hand over text; drop it while the reader is far behind."""
        if len(self._waiting) >= MOST_WAITING:
            self.dropped += 1
        else:
            self._waiting.append(text)
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread flushes what it writes."""

    def close(self) -> None:
        """Write out what waits, unless the reader has stopped."""
        self._closed = True
        self._news.set()
        self._thread.join(STOP_TIMEOUT_S)

    def _run(self) -> None:
        while not (self._closed and not self._waiting):
            self._news.wait(FLUSH_S)
            if self._waiting:
                self._write_out()

    def _write_out(self) -> None:
        lines = [self._waiting.popleft() for _ in range(len(self._waiting))]
        if self.dropped:
            lines.append(f'event=lines_dropped why=reader n={self.dropped}\n')
            self.dropped = 0
        try:
            self._stream.write(''.join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            # Nobody reads any more; there is nowhere left to tell it.
            self._closed = True
            self._waiting.clear()


class RateFilter(logging.Filter):
    """Lets each kind of event write so many lines a second."""

    def __init__(self, clock: Clock) -> None:
        """Start with full buckets."""
        super().__init__()
        self._clock = clock
        self._levels: dict[str, tuple[float, float]] = {}
        self._dropped: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether a line may pass; adds how many did not."""
        if record.levelno > logging.INFO or not isinstance(record.msg, dict):
            return True
        kind = str(record.msg.get('event', ''))
        now = self._clock.monotonic()
        level, at = self._levels.get(kind, (float(BURST), now))
        level = min(level + (now - at) * RATE_PER_S, BURST)
        if level < 1:
            self._levels[kind] = (level, now)
            self._dropped[kind] += 1
            return False
        self._levels[kind] = (level - 1, now)
        missing = self._dropped.pop(kind, 0)
        if missing:
            record.msg['dropped_before'] = missing
        return True
