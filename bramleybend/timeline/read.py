"""Parses event lines and counts the lines that can't be parsed.

A killed process leaves a truncated last line, and a log collector with a full
disk leaves gaps. A timeline that skipped these silently would show a sequence
of events that never happened, so each source counts its unreadable lines.
"""

import json
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from result import Err, Ok, Result

from bramleybend.errors import ErrorKind, Problem
from bramleybend.events import EVENT_LOGGER, Stamp, parse_stamp

PAIR: Final = re.compile(r'([\w.-]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?:\s+|$)')
# The decoder substitutes this for bytes that are not valid UTF-8.
REPLACEMENT: Final = '\N{REPLACEMENT CHARACTER}'
NUL: Final = '\0'
# Fields that every event has; a truncated line lacks some of them.
REQUIRED_FIELDS: Final = ('hlc', 'process', 'incarnation', 'event')
COMMON_FIELDS: Final = frozenset(
    (*REQUIRED_FIELDS, 'at', 'level', 'logger', 'seq', 'req')
)


@dataclass(frozen=True)
class Event:
    """One event of one process."""

    stamp: Stamp
    process: str
    incarnation: str
    name: str
    req: str
    seq: int | None
    source: str
    fields: Mapping[str, str]  # fields specific to this kind of event

    @property
    def writer(self) -> tuple[str, str]:
        """Name and incarnation of the process that wrote the event."""
        return (self.process, self.incarnation)


@dataclass
class Source:
    """The events of one log file, and counts of its other lines."""

    name: str
    events: list[Event] = field(default_factory=list)
    torn: int = 0  # lines that are truncated or not key=value
    other_lines: int = 0  # well-formed lines that are not events


def read_file(path: Path) -> Result[Source, Problem]:
    """Read one event log; bytes that are not UTF-8 make a line unreadable."""
    try:
        text = path.read_bytes().decode(errors='replace')
    except OSError as exc:
        return Err(
            Problem(
                ErrorKind.UNKNOWN_NAME,
                f'{path} cannot be read: {exc.strerror}',
                'give the path of an event log that you may read',
            ),
        )
    return Ok(read_lines(path.stem, text.split('\n'), from_file=True))


def read_lines(
    name: str,
    lines: Iterable[str],
    *,
    from_file: bool = False,
) -> Source:
    """Parse event lines; a last line of a file without newline is torn."""
    source = Source(name)
    pending = list(lines)
    if from_file and pending.pop():
        source.torn += 1
    for line in pending:
        _add_line(source, line.strip())
    return source


def _add_line(source: Source, line: str) -> None:
    pairs = _parse_pairs(line)
    if pairs and pairs.get('logger', EVENT_LOGGER) != EVENT_LOGGER:
        source.other_lines += 1
        return
    event = _parse_event(source.name, pairs) if pairs else None
    if event:
        source.events.append(event)
    elif line:
        source.torn += 1


def _parse_pairs(line: str) -> dict[str, str] | None:
    """Return the line's fields, or `None` unless all of it is key=value."""
    if REPLACEMENT in line or NUL in line:
        return None
    pairs: dict[str, str] = {}
    end = 0
    while end < len(line):
        match = PAIR.match(line, end)
        text = _unquote(match.group(2)) if match else None
        if match is None or text is None:
            return None
        pairs[match.group(1)] = text
        end = match.end()
    return pairs


def _unquote(text: str) -> str | None:
    """Unquote a value; the log formatter escapes quoted values like JSON."""
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text, strict=False))
    except ValueError:
        return None


def _parse_event(source: str, pairs: Mapping[str, str]) -> Event | None:
    stamp = parse_stamp(pairs.get('hlc', ''))
    if stamp is None or not all(map(pairs.get, REQUIRED_FIELDS)):
        return None
    number = pairs.get('seq', '')
    return Event(
        stamp,
        pairs['process'],
        pairs['incarnation'],
        pairs['event'],
        pairs.get('req', ''),
        int(number) if number.isdecimal() else None,
        source,
        {
            name: text
            for name, text in pairs.items()
            if name not in COMMON_FIELDS
        },
    )
