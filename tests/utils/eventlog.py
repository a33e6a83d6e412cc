"""Reads the events that the programs logged."""

import re
from collections.abc import Iterable, Iterator
from typing import Final

FIELD: Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
MILLISECONDS: Final = 1000


class LoggedEvent(dict[str, str]):
    """The fields of one event."""

    @property
    def at(self) -> float:
        """Return the wall time of the event's stamp, in seconds."""
        return int(self['hlc'].partition('.')[0]) / MILLISECONDS


def parse_events(lines: Iterable[str]) -> Iterator[LoggedEvent]:
    """Yield the events among the logged lines."""
    for line in lines:
        if ' event=' in line and 'hlc=' in line:
            yield LoggedEvent(
                (name, text.strip('"')) for name, text in FIELD.findall(line)
            )
