"""Splits a stream of server-sent events into whole events.

A runner may stop in the middle of an event. Only whole events are passed on,
so that a stream which goes on at another runner repeats and misses nothing.

An event whose end doesn't come, and comments without an event, are read no
further than the bounds say. The cost is linear in the bytes.
"""

import re
from dataclasses import dataclass
from typing import Final

from bramleybend.clients.message_bounds import (
    USUAL_BOUNDS,
    MessageBounds,
    MessageMeter,
    MessageTooLongError,
)

_END: Final = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_OVERLAP: Final = 3  # bytes of an end that may have come before
_ID: Final = re.compile(rb'^id:[ ]?(.*?)\r?$', re.MULTILINE)


@dataclass(frozen=True)
class Event:
    """One event, as it came."""

    event_id: str  # its id; empty if it has none
    raw: bytes


class EventSplitter:
    """Cuts bytes into events."""

    def __init__(self, bounds: MessageBounds = USUAL_BOUNDS) -> None:
        """Start between two events."""
        self._bounds = bounds
        self._meter = MessageMeter(bounds)
        self._rest = bytearray()
        self.event_count = 0  # events that were whole

    @property
    def remainder(self) -> bytes:
        """What came of an event that is not whole."""
        return bytes(self._rest)

    @property
    def remainder_bytes(self) -> int:
        """Count these."""
        return len(self._rest)

    @property
    def cut_bytes(self) -> int:
        """Count what came of an event that is not whole.

        Blank lines and comments after an event are part of none.
        """
        rest = self.remainder
        return 0 if _carries_nothing(rest) else len(rest)

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that are whole now.

        Raises `MessageTooLongError` beyond the bounds.
        """
        searched = max(len(self._rest) - _OVERLAP, 0)
        self._rest += chunk
        events: list[Event] = []
        at = 0
        while end := _END.search(self._rest, max(at, searched)):
            events.append(_event(bytes(self._rest[at : end.end()])))
            at = end.end()
            self._count(events[-1].raw)
        if at:
            self._rest = self._rest[at:]
        if len(self._rest) > self._bounds.event_bytes:
            raise MessageTooLongError(
                f'an event is over {self._bounds.event_bytes} bytes'
            )
        return events

    def _count(self, raw: bytes) -> None:
        self.event_count += 1
        if raw[:1] in b':\r\n' and _carries_nothing(raw):
            self._meter.add_filler(len(raw))
        else:
            self._meter.add_content(len(raw))


def _carries_nothing(raw: bytes) -> bool:
    lines = raw.splitlines(keepends=True)
    return all(_is_blank_or_comment(line) for line in lines)


def _is_blank_or_comment(line: bytes) -> bool:
    return line[:1] in b':\r\n' and line.endswith((b'\r', b'\n'))


def _event(raw: bytes) -> Event:
    found = _ID.search(raw)
    return Event(found.group(1).decode('latin-1') if found else '', raw)
