"""Structured event log and the hybrid logical clock that orders its events.

Each event is one key=value line; `bramleybend.timeline` merges the lines of
all processes. A hybrid logical clock orders them: wall milliseconds plus a
counter, which never goes back and advances past every stamp received in a
message. A cause therefore sorts before its effect even when the wall clocks
of two VMs differ.
"""

import logging
import re
from collections import deque
from dataclasses import dataclass
from itertools import count
from typing import Final, Protocol

from logfmter import Logfmter

from bramleybend.clock import Clock

MAX_KEPT_EVENTS: Final = 20_000
EVENT_LOGGER: Final = 'bramleybend.events'
LOG_FIELDS: Final = ('at', 'level', 'logger')
MILLISECONDS: Final = 1000
MAX_AHEAD_MS: Final = 60_000
STAMP_PATTERN: Final = re.compile(r'(\d{1,18})\.(\d{1,18})')


@dataclass(frozen=True, order=True)
class Stamp:
    """A hybrid logical time: wall milliseconds, then a counter."""

    wall_ms: int
    counter: int

    def __str__(self) -> str:
        """Return `milliseconds.counter`; parse it before comparing stamps."""
        return f'{self.wall_ms}.{self.counter}'


def parse_stamp(text: str) -> Stamp | None:
    """Parse the text form of a stamp; return `None` if it is malformed."""
    match = STAMP_PATTERN.fullmatch(text)
    return Stamp(*map(int, match.groups())) if match else None


class HybridClock:
    """Issues increasing stamps, also past those received from other VMs."""

    def __init__(self, clock: Clock) -> None:
        """Start at the zero stamp."""
        self._clock = clock
        self._last_stamp = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return a stamp later than all issued or received so far."""
        wall_ms = self._wall_ms()
        if wall_ms > self._last_stamp.wall_ms:
            self._last_stamp = Stamp(wall_ms, 0)
        else:
            self._last_stamp = Stamp(
                self._last_stamp.wall_ms, self._last_stamp.counter + 1
            )
        return self._last_stamp

    def observe(self, received: Stamp) -> None:
        """Advance past a stamp received in a message."""
        # A VM whose clock is years ahead would permanently advance the
        # stamps of all other VMs, so stamps too far ahead are ignored. The
        # timeline then reports by how much the clocks differ.
        limit_ms = self._wall_ms() + MAX_AHEAD_MS
        if received.wall_ms <= limit_ms:
            self._last_stamp = max(self._last_stamp, received)

    def _wall_ms(self) -> int:
        return int(self._clock.now().timestamp() * MILLISECONDS)


class EventLog:
    """Logs the events of one process and keeps the most recent in memory."""

    def __init__(
        self,
        process: str,
        incarnation: str,
        clock: Clock,
        kept: int = MAX_KEPT_EVENTS,
    ) -> None:
        """Log to `bramleybend.events`; keep the last `kept` request events."""
        self._process = process
        self._incarnation = incarnation
        self.hybrid = HybridClock(clock)
        self._kept: deque[tuple[str, str]] = deque(maxlen=kept)
        self._logger = logging.getLogger(EVENT_LOGGER)
        self._sequence_numbers = count()

    def record(self, event: str, req: str = '', **fields: object) -> None:
        """Log one event; `fields` must not hold request content."""
        event_fields = {
            'hlc': str(self.hybrid.tick()),
            'process': self._process,
            'incarnation': self._incarnation,
            # A gap in these numbers shows that lines of the log are missing.
            'seq': next(self._sequence_numbers),
            'event': event,
            **({'req': req} if req else {}),
            **fields,
        }
        self._logger.info(event_fields)
        if req and self._kept.maxlen:
            self._kept.append((req, Logfmter.format_params(event_fields)))

    def lines_of_request(self, req: str) -> list[str]:
        """Return the kept lines of one request, oldest first."""
        return [
            event_fields for kept, event_fields in self._kept if kept == req
        ]


class LineStream(Protocol):
    """Destination of log lines, the part of `TextIO` that logging needs."""

    def write(self, text: str) -> int:
        """Accept text; return its length."""

    def flush(self) -> None:
        """Send the accepted text."""


def setup_logging(
    level: str, stream: LineStream, *filters: logging.Filter
) -> None:
    """Send every log record to `stream` as one key=value line."""
    handler = make_line_handler(stream)
    for log_filter in filters:
        handler.addFilter(log_filter)
    root = logging.getLogger()
    root.handlers.clear()
    root.addHandler(handler)
    root.setLevel(level)


def make_line_handler(stream: LineStream) -> logging.Handler:
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
