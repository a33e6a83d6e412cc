"""Merges the events of all processes and counts missing and repeated ones."""

import re
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import Final

from bramleybend.events import Stamp
from bramleybend.timeline.read import Event, Source

SEPARATORS: Final = re.compile('[/@:]')
STARTED_EVENT: Final = 'started'
# (cause, effect) pairs of event names that different processes write about
# one request. The cause always happens first, so an effect with a smaller
# stamp shows that the clocks of the two VMs differ.
CAUSAL_PAIRS: Final = (('accepted', 'grant'), ('grant', 'granted'))
VM_FIELDS: Final = ('vm', 'owner', 'member', 'home')


@dataclass(frozen=True)
class Filter:
    """Criteria that an event must meet; an empty criterion matches all."""

    req: str = ''
    vm: str = ''
    runner: str = ''
    tier: int | None = None


@dataclass(frozen=True)
class Merged:
    """Events in causal order, with counts of skipped and missing lines."""

    events: tuple[Event, ...]
    sources: int = 0
    torn: int = 0  # lines that are truncated or malformed
    other_lines: int = 0  # well-formed lines that are not events
    duplicates: int = 0  # events that occur in more than one source
    skew_ms: int = 0  # lower bound of the clock difference between VMs
    missing: dict[tuple[str, str], int] = field(default_factory=dict)


def merge(sources: Sequence[Source]) -> Merged:
    """Order all events by hybrid time and drop duplicates."""
    events = [event for source in sources for event in source.events]
    unique = {_identity_key(event): event for event in events}
    ordered = _add_vm_names(sorted(unique.values(), key=_sort_key))
    return Merged(
        tuple(ordered),
        len(sources),
        sum(source.torn for source in sources),
        sum(source.other_lines for source in sources),
        len(events) - len(unique),
        _measure_skew_ms(ordered),
        _count_missing(ordered),
    )


def select(events: Iterable[Event], criteria: Filter) -> list[Event]:
    """Return the events that match the filter, in their given order.

    Only some events of a request carry its tier, so a tier selects all
    events of each request that has at least one event of that tier.
    """
    all_events = list(events)
    tier_reqs = {
        event.req for event in all_events if _carries_tier(event, criteria.tier)
    }
    tier_reqs.discard('')
    return [
        event
        for event in all_events
        if _matches_request(event, criteria.req)
        and _matches_vm(event, criteria.vm)
        and (
            not criteria.runner or event.fields.get('runner') == criteria.runner
        )
        and (
            criteria.tier is None
            or _matches_tier(event, criteria.tier, tier_reqs)
        )
    ]


def _add_vm_names(events: Sequence[Event]) -> list[Event]:
    """Append the VM to each process name, taken from its `started` event."""
    vms = {
        event.writer: event.fields['vm']
        for event in events
        if event.name == STARTED_EVENT and 'vm' in event.fields
    }
    return [
        replace(event, process=f'{event.process}@{vms[event.writer]}')
        if event.writer in vms
        else event
        for event in events
    ]


def _identity_key(event: Event) -> tuple[str, str, Stamp]:
    return (*event.writer, event.stamp)


def _sort_key(event: Event) -> tuple[Stamp, str, str]:
    return (event.stamp, *event.writer)


def _count_missing(events: Iterable[Event]) -> dict[tuple[str, str], int]:
    """Count the sequence numbers missing for each process.

    Only gaps from 0 to the last number found are counted: lines lost after
    the last one can't be detected.
    """
    numbers_found: defaultdict[tuple[str, str], set[int]] = defaultdict(set)
    for event in events:
        if event.seq is not None:
            numbers_found[event.writer].add(event.seq)
    gaps = {
        writer: max(numbers) + 1 - len(numbers)
        for writer, numbers in numbers_found.items()
    }
    return {writer: gap for writer, gap in gaps.items() if gap}


def _measure_skew_ms(events: Iterable[Event]) -> int:
    """Return the largest lead of an effect's stamp over its cause's stamp."""
    first_stamps_ms: dict[tuple[str, str], int] = {}
    for event in events:
        first_stamps_ms.setdefault((event.req, event.name), event.stamp.wall_ms)
    skews = [
        first_stamps_ms[req, cause] - wall_ms
        for (req, name), wall_ms in first_stamps_ms.items()
        for cause, effect in CAUSAL_PAIRS
        if name == effect and (req, cause) in first_stamps_ms
    ]
    return max([0, *skews])


def _matches_request(event: Event, req: str) -> bool:
    return not req or event.req == req or event.req.endswith(f'/{req}')


def _matches_vm(event: Event, vm: str) -> bool:
    names = {event.fields.get(name) for name in VM_FIELDS}
    names.update(SEPARATORS.split(event.process))
    return not vm or vm in names or vm == event.source


def _matches_tier(event: Event, tier: int, tier_reqs: set[str]) -> bool:
    return event.req in tier_reqs or _carries_tier(event, tier)


def _carries_tier(event: Event, tier: int | None) -> bool:
    return event.fields.get('tier') == str(tier)
