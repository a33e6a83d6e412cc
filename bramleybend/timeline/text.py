"""Renders the timeline as text, one line for each event."""

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from typing import Final

from bramleybend.cli.output import replace_unprintable
from bramleybend.events import MILLISECONDS, Stamp
from bramleybend.timeline.merge import Merged
from bramleybend.timeline.read import Event

INCARNATION_CHARS: Final = 8  # enough to tell two incarnations apart
MAX_WALL_MS: Final = 253_402_300_799_999  # maximum that `datetime` can hold


def render(events: Iterable[Event]) -> str:
    """Return one line for each event."""
    return ''.join(f'{_format_line(event)}\n' for event in events)


def summarize(merged: Merged, shown: int) -> str:
    """Return notes on the number of events shown and on incomplete logs."""
    return '\n'.join(_iter_notes(merged, shown))


def format_lane(event: Event) -> str:
    """Return the column label: process name and shortened incarnation."""
    return _format_writer(event.writer)


def format_time(stamp: Stamp) -> str:
    """Return a stamp's time of day in UTC, or `?` if it is out of range."""
    if stamp.wall_ms > MAX_WALL_MS:
        return '?'
    at = datetime.fromtimestamp(stamp.wall_ms / MILLISECONDS, UTC)
    return at.time().isoformat('milliseconds')


def format_details(event: Event) -> str:
    """Return the request id and the event's own fields as key=value text."""
    pairs = [f'{key}={text}' for key, text in _iter_fields(event)]
    return replace_unprintable(' '.join(pairs))


def _format_writer(writer: tuple[str, str]) -> str:
    process, incarnation = writer
    return replace_unprintable(f'{process}~{incarnation[:INCARNATION_CHARS]}')


def _iter_fields(event: Event) -> Iterator[tuple[str, str]]:
    if event.req:
        yield 'req', event.req
    yield from event.fields.items()


def _format_line(event: Event) -> str:
    parts = (
        format_time(event.stamp),
        format_lane(event),
        replace_unprintable(event.name),
        format_details(event),
    )
    return ' '.join(parts).rstrip()


def _iter_notes(merged: Merged, shown: int) -> Iterator[str]:
    total = len(merged.events)
    yield f'{shown} of {total} events from {merged.sources} files'
    if merged.torn:
        yield f'{merged.torn} truncated or malformed lines were skipped'
    for writer, gap in sorted(merged.missing.items()):
        lane = _format_writer(writer)
        yield f'{gap} events of {lane} are missing'
    if merged.skew_ms:
        yield (
            f'clocks differ by {merged.skew_ms} ms or more: '
            'some effects sort before their causes'
        )
    if merged.duplicates:
        yield f'{merged.duplicates} duplicate events were dropped'
