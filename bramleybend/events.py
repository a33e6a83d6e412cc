"""Event records that the time line merges over all processes.

Each record is one key=value line. Order over processes comes from a hybrid
logical clock: wall milliseconds plus a counter that never goes back and moves
past every stamp seen in a message, so a cause sorts before its effect even
when the wall clocks of two VMs differ.
"""

import logging
import re
from collections import deque
from dataclasses import dataclass
from itertools import count
from typing import Final, Protocol

from logfmter import Logfmter

from bramleybend.clock import Clock

KEPT_EVENTS: Final = 20_000
EVENT_LOGGER: Final = 'bramleybend.events'
LOG_FIELDS: Final = ('at', 'level', 'logger')
MILLISECONDS: Final = 1000
MAX_AHEAD_MS: Final = 60_000
STAMP_FORM: Final = re.compile(r'(\d{1,18})\.(\d{1,18})')


@dataclass(frozen=True, order=True)
class Stamp:
    """A hybrid logical time: wall milliseconds, then a counter."""

    wall_ms: int
    counter: int

    def __str__(self) -> str:
        """Read as `milliseconds.counter`, which sorts as text does not."""
        return f'{self.wall_ms}.{self.counter}'


def parse_stamp(text: str) -> Stamp | None:
    """Read what `str` of a stamp wrote; nothing if it is anything else."""
    match = STAMP_FORM.fullmatch(text)
    return Stamp(*map(int, match.groups())) if match else None


class HybridClock:
    """Gives stamps that only grow, also over messages from others."""

    def __init__(self, clock: Clock) -> None:
        """Start before every stamp."""
        self._clock = clock
        self._last = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return a stamp later than all given or seen so far."""
        wall_ms = self._wall_ms()
        if wall_ms > self._last.wall_ms:
            self._last = Stamp(wall_ms, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def observe(self, seen: Stamp) -> None:
        """Move past a stamp that came with a message."""
        # One VM whose clock is years ahead would drag the stamps of all
        # others along for good, so what is far ahead is not believed; the
        # time line then tells by how much the clocks differ.
        limit_ms = self._wall_ms() + MAX_AHEAD_MS
        if seen.wall_ms <= limit_ms:
            self._last = max(self._last, seen)

    def _wall_ms(self) -> int:
        return int(self._clock.now().timestamp() * MILLISECONDS)


class EventLog:
    """Writes and keeps the events of one process, bounded in memory."""

    def __init__(
        self,
        process: str,
        incarnation: str,
        clock: Clock,
        kept: int = KEPT_EVENTS,
    ) -> None:
        """Name the process; its events go to the `bramleybend.events` log."""
        self._process = process
        self._incarnation = incarnation
        self.hybrid = HybridClock(clock)
        self._kept: deque[tuple[str, str]] = deque(maxlen=kept)
        self._logger = logging.getLogger(EVENT_LOGGER)
        self._numbers = count()

    def record(self, event: str, req: str = '', **fields: object) -> None:
        """Write one event; `fields` never hold request content."""
        line = {
            'hlc': str(self.hybrid.tick()),
            'process': self._process,
            'incarnation': self._incarnation,
            # A gap in these shows a reader of the log that lines are missing.
            'seq': next(self._numbers),
            'event': event,
            **({'req': req} if req else {}),
            **fields,
        }
        self._logger.info(line)
        if req and self._kept.maxlen:
            self._kept.append((req, Logfmter.format_params(line)))

    def of_request(self, req: str) -> list[str]:
        """Return the kept lines of one request, oldest first."""
        return [line for kept, line in self._kept if kept == req]


class LineStream(Protocol):
    """Where log lines go."""

    def write(self, text: str) -> int:
        """Take a line."""

    def flush(self) -> None:
        """Send what was taken."""


def setup_logging(
    level: str, stream: LineStream, *filters: logging.Filter
) -> None:
    """Send every log record to `stream` as one key=value line."""
    handler = line_handler(stream)
    for rule in filters:
        handler.addFilter(rule)
    root = logging.getLogger()
    root.handlers.clear()
    root.addHandler(handler)
    root.setLevel(level)


def line_handler(stream: LineStream) -> logging.Handler:
    """Return a handler that writes each record as one key=value line."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        Logfmter(
            keys=list(LOG_FIELDS),
            mapping={
                'at': 'asctime',
                'level': 'levelname',
                'logger': 'name',
            },
        ),
    )
    return handler
