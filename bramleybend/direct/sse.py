"""Splits a stream of server-sent events into complete events.

A runner may stop in the middle of an event. Only complete events are relayed,
so that a stream that continues at another runner neither repeats nor loses
data.

An event without an end, and comments without an event, are read only up to the
configured bounds. The cost is linear in the number of bytes.
"""

import re
from dataclasses import dataclass
from typing import Final

from bramleybend.clients.message_bounds import (
    DEFAULT_BOUNDS,
    MessageBounds,
    MessageMeter,
    MessageTooLongError,
)

_EVENT_END: Final = re.compile(rb'\r\n\r\n|\n\n|\r\r')
# Bytes of a separator that an earlier chunk may hold
_END_OVERLAP_BYTES: Final = 3
_ID: Final = re.compile(rb'^id:[ ]?(.*?)\r?$', re.MULTILINE)


@dataclass(frozen=True)
class Event:
    """One event, as the runner sent it."""

    event_id: str  # empty if the event has none
    raw: bytes


class EventSplitter:
    """Splits received bytes into events."""

    def __init__(self, bounds: MessageBounds = DEFAULT_BOUNDS) -> None:
        """Create a splitter for the start of a stream."""
        self._bounds = bounds
        self._meter = MessageMeter(bounds)
        self._remainder = bytearray()
        self.event_count = 0  # complete events so far

    @property
    def remainder(self) -> bytes:
        """The bytes received of an incomplete event."""
        return bytes(self._remainder)

    @property
    def remainder_bytes(self) -> int:
        """The number of bytes in `remainder`."""
        return len(self._remainder)

    @property
    def cut_bytes(self) -> int:
        """The number of content bytes received of an incomplete event.

        Blank lines and comments after an event don't belong to an event.
        """
        remainder = self.remainder
        return 0 if _has_no_content(remainder) else len(remainder)

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that a chunk completes.

        Raises `MessageTooLongError` if the stream exceeds the bounds.
        """
        search_from = max(len(self._remainder) - _END_OVERLAP_BYTES, 0)
        self._remainder += chunk
        events: list[Event] = []
        start = 0
        while end := _EVENT_END.search(
            self._remainder, max(start, search_from)
        ):
            events.append(
                _parse_event(bytes(self._remainder[start : end.end()]))
            )
            start = end.end()
            self._meter_event(events[-1].raw)
        if start:
            self._remainder = self._remainder[start:]
        if len(self._remainder) > self._bounds.event_bytes:
            raise MessageTooLongError(
                f'an event is over {self._bounds.event_bytes} bytes'
            )
        return events

    def _meter_event(self, raw: bytes) -> None:
        self.event_count += 1
        if raw[:1] in b':\r\n' and _has_no_content(raw):
            self._meter.add_filler(len(raw))
        else:
            self._meter.add_content(len(raw))


def _has_no_content(raw: bytes) -> bool:
    lines = raw.splitlines(keepends=True)
    return all(_is_blank_or_comment(line) for line in lines)


def _is_blank_or_comment(line: bytes) -> bool:
    return line[:1] in b':\r\n' and line.endswith((b'\r', b'\n'))


def _parse_event(raw: bytes) -> Event:
    found = _ID.search(raw)
    return Event(found.group(1).decode('latin-1') if found else '', raw)
