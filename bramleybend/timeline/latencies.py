"""Latency breakdown of requests by tier, from the event logs of all VMs.

For each tier: the time that requests waited in the queue for a slot, the time
that a runner took to its first event, and the time from there to the end; the
reasons of unserved requests; and the share served of all requests and of the
largest ones. An operator sees from it whether queueing, slow runners or
refusals caused an incident, and whether only large requests were affected.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final

from bramleybend.timeline.read import Event

MEDIAN: Final = 0.5
P90: Final = 0.9
P99: Final = 0.99
UNKNOWN_TIER: Final = '-'  # the request was denied before it was routed
# Fractions of a tier's requests, by expected work: the largest, and those
# just below them.
LARGEST_SHARE: Final = 0.1
NEXT_LARGEST_SHARE: Final = 0.2


@dataclass
class Durations:
    """Durations of one phase over many requests, in milliseconds."""

    values: list[int] = field(default_factory=list)

    def quantile(self, share: float) -> int | None:
        """Return the quantile at `share`, or `None` without values."""
        if not self.values:
            return None
        count = len(self.values)
        index = min(int(count * share), count - 1)
        return sorted(self.values)[index]


@dataclass
class ServedBySize:
    """The expected work of requests, and whether each was served."""

    values: list[tuple[int, bool]] = field(default_factory=list)

    def share(self, first: float = 0, last: float = 1) -> float | None:
        """Return the share served of the requests in a range of sizes.

        `first` and `last` are ranks by size from 0 (smallest) to 1.
        """
        ordered = sorted(self.values)
        count = len(ordered)
        chosen = ordered[int(count * first) : int(count * last)]
        if not chosen:
            return None
        return sum(served for _, served in chosen) / len(chosen)


@dataclass
class TierTimes:
    """Latencies and outcomes of the requests of one tier."""

    tier: str
    served: int = 0
    # In the queue for a slot, from the slot to the first event, and from the
    # first event to the end.
    waited: Durations = field(default_factory=Durations)
    to_first: Durations = field(default_factory=Durations)
    rest: Durations = field(default_factory=Durations)
    unserved: Counter[str] = field(default_factory=Counter)  # by reason
    sizes: ServedBySize = field(default_factory=ServedBySize)


def collect_tier_times(events: Iterable[Event]) -> list[TierTimes]:
    """Return one row for each tier, the most important tier first."""
    placed: dict[str, Event] = {}
    rows: dict[str, TierTimes] = defaultdict(lambda: TierTimes(''))
    for event in events:
        if event.name == 'placed':
            placed.setdefault(event.req, event)
        elif event.name in {'answered', 'denied'}:
            tier = event.fields.get('tier', UNKNOWN_TIER)
            rows[tier].tier = tier
            _add_request(rows[tier], event, placed.get(event.req))
    return [rows[tier] for tier in sorted(rows)]


def _add_request(row: TierTimes, final: Event, placed: Event | None) -> None:
    status = final.fields.get('status', '')
    is_served = status == str(int(HTTPStatus.OK))
    work = _int_field(final, 'work')
    if work is not None:
        row.sizes.values.append((work, is_served))
    if not is_served:
        reason = final.fields.get('why', '') or 'the runner said so'
        row.unserved[f'{status} {reason}'] += 1
        return
    row.served += 1
    waited_ms = _int_field(placed, 'waited_ms')
    first_event_ms = _int_field(final, 'first_event_ms')
    if waited_ms is not None:
        row.waited.values.append(waited_ms)
    if first_event_ms is not None:
        row.to_first.values.append(first_event_ms - (waited_ms or 0))
    total_ms = _int_field(final, 'ms')
    if total_ms is not None:
        row.rest.values.append(total_ms - (first_event_ms or waited_ms or 0))


def _int_field(event: Event | None, name: str) -> int | None:
    text = event.fields.get(name, '') if event else ''
    return int(text) if text.isdecimal() else None


def format_served_by_size(sizes: ServedBySize) -> str:
    """Format the share served of all, the next largest and the largest."""
    largest_from = 1 - LARGEST_SHARE
    next_from = largest_from - NEXT_LARGEST_SHARE
    shares = (
        sizes.share(),
        sizes.share(next_from, largest_from),
        sizes.share(largest_from),
    )
    formatted = ('-' if share is None else f'{share:.2f}' for share in shares)
    return ' / '.join(formatted)


def format_durations(spans: Durations) -> str:
    """Format the 50th, 90th and 99th percentile, or `-` without values."""
    formatted: Sequence[int | None] = [
        spans.quantile(share) for share in (MEDIAN, P90, P99)
    ]
    if formatted[0] is None:
        return '-'
    return ' / '.join(map(str, formatted))
