"""Reads event lines, and counts what cannot be read.

A killed process leaves half a line behind, and a full disk of a log collector
leaves holes. A time line that passed them over in silence would show a run
that never was, so each source says what it lacks.
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
# A decoder puts this in place of bytes that are no text.
REPLACED: Final = '\N{REPLACEMENT CHARACTER}'
NUL: Final = '\0'
# Fields that every event has; a line cut short lacks some.
REQUIRED: Final = ('hlc', 'process', 'incarnation', 'event')
HEAD: Final = frozenset((*REQUIRED, 'at', 'level', 'logger', 'seq', 'req'))


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
    fields: Mapping[str, str]  # those that only some events have

    @property
    def writer(self) -> tuple[str, str]:
        """The process that wrote it."""
        return (self.process, self.incarnation)


@dataclass
class Source:
    """What one file holds."""

    name: str
    events: list[Event] = field(default_factory=list)
    torn: int = 0  # lines that are cut short or no key=value line
    others: int = 0  # whole lines that are no events


def read_file(path: Path) -> Result[Source, Problem]:
    """Read one event log."""
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
    """Read lines; in a file, one without an end of line is torn."""
    source = Source(name)
    pending = list(lines)
    if from_file and pending.pop():
        source.torn += 1
    for line in pending:
        _take(source, line.strip())
    return source


def _take(source: Source, line: str) -> None:
    pairs = _pairs(line)
    if pairs and pairs.get('logger', EVENT_LOGGER) != EVENT_LOGGER:
        source.others += 1
        return
    event = _event(source.name, pairs) if pairs else None
    if event:
        source.events.append(event)
    elif line:
        source.torn += 1


def _pairs(line: str) -> dict[str, str] | None:
    """Return the line's fields, or nothing if any part of it is not one."""
    if REPLACED in line or NUL in line:
        return None
    pairs: dict[str, str] = {}
    end = 0
    while end < len(line):
        match = PAIR.match(line, end)
        text = _unquoted(match.group(2)) if match else None
        if match is None or text is None:
            return None
        pairs[match.group(1)] = text
        end = match.end()
    return pairs


def _unquoted(text: str) -> str | None:
    """Read a quoted value, which the log formatter escapes as JSON does."""
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text, strict=False))
    except ValueError:
        return None


def _event(source: str, pairs: Mapping[str, str]) -> Event | None:
    stamp = parse_stamp(pairs.get('hlc', ''))
    if stamp is None or not all(map(pairs.get, REQUIRED)):
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
        {name: text for name, text in pairs.items() if name not in HEAD},
    )
