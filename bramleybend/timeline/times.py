"""Where the time of requests went, from the event logs of all VMs.

For each tier: how long requests waited with us for a slot, how long a runner
took to its first event, and how long the rest took; how those ended that got
no success; and which share was served of the largest requests beside all. An
operator reads from it whether queueing, slow runners or refusals cost a bad
day, and whether they fall on large requests alone.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final

from bramleybend.timeline.read import Event

MEDIAN: Final = 0.5
NINE_OF_TEN: Final = 0.9
NEARLY_ALL: Final = 0.99
UNKNOWN_TIER: Final = '-'  # denied before its route was known
LARGEST: Final = 0.1  # of a tier's requests, by expected work
NEXT_LARGEST: Final = 0.2  # the part below it


@dataclass
class Spans:
    """Milliseconds of one part of many requests."""

    values: list[int] = field(default_factory=list)

    def at(self, share: float) -> int | None:
        """Return the value that this share of the requests stays within."""
        if not self.values:
            return None
        count = len(self.values)
        place = min(int(count * share), count - 1)
        return sorted(self.values)[place]


@dataclass
class ServedBySize:
    """The expected work of requests, and whether each was served."""

    values: list[tuple[int, bool]] = field(default_factory=list)

    def share(self, first: float = 0, last: float = 1) -> float | None:
        """Return the share served between two ranks, the smallest being 0."""
        ordered = sorted(self.values)
        count = len(ordered)
        chosen = ordered[int(count * first) : int(count * last)]
        if not chosen:
            return None
        return sum(served for _, served in chosen) / len(chosen)


@dataclass
class TierTimes:
    """What became of the requests of one tier."""

    tier: str
    served: int = 0
    waited: Spans = field(default_factory=Spans)  # with us, for a slot
    to_first: Spans = field(default_factory=Spans)  # at the runner
    rest: Spans = field(default_factory=Spans)  # from there to the end
    unserved: Counter[str] = field(default_factory=Counter)  # by reason
    sizes: ServedBySize = field(default_factory=ServedBySize)


def tier_times(events: Iterable[Event]) -> list[TierTimes]:
    """Return a row a tier, the highest first."""
    placed: dict[str, Event] = {}
    rows: dict[str, TierTimes] = defaultdict(lambda: TierTimes(''))
    for event in events:
        if event.name == 'placed':
            placed.setdefault(event.req, event)
        elif event.name in {'answered', 'denied'}:
            tier = event.fields.get('tier', UNKNOWN_TIER)
            rows[tier].tier = tier
            _note(rows[tier], event, placed.get(event.req))
    return [rows[tier] for tier in sorted(rows)]


def _note(row: TierTimes, final: Event, placed: Event | None) -> None:
    status = final.fields.get('status', '')
    is_served = status == str(int(HTTPStatus.OK))
    work = _number(final, 'work')
    if work is not None:
        row.sizes.values.append((work, is_served))
    if not is_served:
        why = final.fields.get('why', '') or 'the runner said so'
        row.unserved[f'{status} {why}'] += 1
        return
    row.served += 1
    waited = _number(placed, 'waited_ms')
    first = _number(final, 'first_event_ms')
    if waited is not None:
        row.waited.values.append(waited)
    if first is not None:
        row.to_first.values.append(first - (waited or 0))
    whole = _number(final, 'ms')
    if whole is not None:
        row.rest.values.append(whole - (first or waited or 0))


def _number(event: Event | None, name: str) -> int | None:
    text = event.fields.get(name, '') if event else ''
    return int(text) if text.isdecimal() else None


def sizes_shown(sizes: ServedBySize) -> str:
    """Write the share served of all, the next largest and the largest."""
    largest_from = 1 - LARGEST
    next_from = largest_from - NEXT_LARGEST
    shares = (
        sizes.share(),
        sizes.share(next_from, largest_from),
        sizes.share(largest_from),
    )
    shown = ('-' if share is None else f'{share:.2f}' for share in shares)
    return ' / '.join(shown)


def spans_shown(spans: Spans) -> str:
    """Write the median, nine of ten and nearly all of some spans."""
    shown: Sequence[int | None] = [
        spans.at(share) for share in (MEDIAN, NINE_OF_TEN, NEARLY_ALL)
    ]
    if shown[0] is None:
        return '-'
    return ' / '.join(map(str, shown))
