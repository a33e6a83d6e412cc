"""Parses events from the log lines of the entry processes."""

import re
from collections.abc import Iterable, Iterator
from typing import Final

FIELD: Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
MILLISECONDS: Final = 1000


class LoggedEvent(dict[str, str]):
    """The fields of one logged event, by name."""

    @property
    def at(self) -> float:
        """Return the wall time of the event's `hlc` stamp, in seconds."""
        return int(self['hlc'].partition('.')[0]) / MILLISECONDS


def parse_events(lines: Iterable[str]) -> Iterator[LoggedEvent]:
    """Yield the events among the log lines."""
    for line in lines:
        if ' event=' in line and 'hlc=' in line:
            yield LoggedEvent(
                (name, text.strip('"')) for name, text in FIELD.findall(line)
            )
