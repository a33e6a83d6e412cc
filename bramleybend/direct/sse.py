"""Splits a stream of server-sent events into whole events.

A runner may stop in the middle of an event. Only whole events are passed on,
so that a stream which goes on at another runner repeats and misses nothing.
"""

import re
from dataclasses import dataclass
from typing import Final

_END: Final = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID: Final = re.compile(rb'^id:[ ]?(.*?)\r?$', re.MULTILINE)


@dataclass(frozen=True)
class Event:
    """One event, as it came."""

    number: str  # its id; empty if it has none
    raw: bytes


class EventSplitter:
    """Cuts bytes into events."""

    def __init__(self) -> None:
        """Start between two events."""
        self._rest = b''
        self.count = 0  # events that were whole

    @property
    def rest(self) -> bytes:
        """What came of an event that is not whole."""
        return self._rest

    @property
    def cut_bytes(self) -> int:
        """Count what came of an event that is not whole.

        Blank lines and comments after an event are part of none.
        """
        lines = self._rest.splitlines(keepends=True)
        if all(_is_blank_or_comment(line) for line in lines):
            return 0
        return len(self._rest)

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that are whole now."""
        text = self._rest + chunk
        events: list[Event] = []
        at = 0
        for end in _END.finditer(text):
            events.append(_event(text[at : end.end()]))
            at = end.end()
        self._rest = text[at:]
        self.count += len(events)
        return events


def _is_blank_or_comment(line: bytes) -> bool:
    return line[:1] in b':\r\n' and line.endswith((b'\r', b'\n'))


def _event(raw: bytes) -> Event:
    found = _ID.search(raw)
    return Event(found.group(1).decode('latin-1') if found else '', raw)
