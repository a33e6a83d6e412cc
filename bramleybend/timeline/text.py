"""The time line as text."""

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from typing import Final

from bramleybend.cli.output import clean
from bramleybend.events import MILLISECONDS, Stamp
from bramleybend.timeline.merge import Merged
from bramleybend.timeline.read import Event

SHORT: Final = 8  # letters of an incarnation that tell it from another
LATEST_MS: Final = 253_402_300_799_999  # the last that `datetime` can hold


def render(events: Iterable[Event]) -> str:
    """Return one line for each event."""
    return ''.join(f'{_line(event)}\n' for event in events)


def summary(merged: Merged, shown: int) -> str:
    """Say how much is shown and what the files lack."""
    return '\n'.join(_summary(merged, shown))


def lane_of(event: Event) -> str:
    """Name the process that wrote an event, and its incarnation."""
    return _lane(event.writer)


def time_of(stamp: Stamp) -> str:
    """Return a stamp's time of day in UTC; a broken clock shows as `?`."""
    if stamp.wall_ms > LATEST_MS:
        return '?'
    at = datetime.fromtimestamp(stamp.wall_ms / MILLISECONDS, UTC)
    return at.time().isoformat('milliseconds')


def details_of(event: Event) -> str:
    """Return the fields that only some events have."""
    pairs = [f'{key}={text}' for key, text in _fields(event)]
    return clean(' '.join(pairs))


def _lane(writer: tuple[str, str]) -> str:
    process, incarnation = writer
    return clean(f'{process}~{incarnation[:SHORT]}')


def _fields(event: Event) -> Iterator[tuple[str, str]]:
    if event.req:
        yield 'req', event.req
    yield from event.fields.items()


def _line(event: Event) -> str:
    parts = (
        time_of(event.stamp),
        lane_of(event),
        clean(event.name),
        details_of(event),
    )
    return ' '.join(parts).rstrip()


def _summary(merged: Merged, shown: int) -> Iterator[str]:
    total = len(merged.events)
    yield f'{shown} of {total} events from {merged.sources} files'
    if merged.torn:
        yield f'{merged.torn} torn lines were left out'
    for writer, gap in sorted(merged.missing.items()):
        lane = _lane(writer)
        yield f'{gap} events of {lane} are missing'
    if merged.skew_ms:
        yield (
            f'clocks differ by {merged.skew_ms} ms or more: '
            'some effects stand before their causes'
        )
    if merged.repeated:
        yield f'{merged.repeated} events stood twice'
