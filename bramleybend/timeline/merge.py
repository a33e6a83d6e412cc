"""Merges the events of all processes, and tells what is missing."""

import re
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import Final

from bramleybend.events import Stamp
from bramleybend.timeline.read import Event, Source

SEPARATORS: Final = re.compile('[/@:]')
STARTED: Final = 'started'
# Written by different processes about one request; the first of each pair
# always happens first, so a smaller stamp on the second is a clock's fault.
CAUSES: Final = (('accepted', 'grant'), ('grant', 'granted'))
VM_FIELDS: Final = ('vm', 'owner', 'member', 'home')


@dataclass(frozen=True)
class Filter:
    """Which events are wanted; an empty part lets all pass."""

    req: str = ''
    vm: str = ''
    runner: str = ''
    tier: int | None = None


@dataclass(frozen=True)
class Merged:
    """Events in causal order, and what the sources lacked."""

    events: tuple[Event, ...]
    sources: int = 0
    torn: int = 0
    others: int = 0
    repeated: int = 0
    skew_ms: int = 0  # the least by which some VMs' clocks differ
    missing: dict[tuple[str, str], int] = field(default_factory=dict)


def merge(sources: Sequence[Source]) -> Merged:
    """Order all events by hybrid time; drop those that were given twice."""
    events = [event for source in sources for event in source.events]
    unique = {_key(event): event for event in events}
    ordered = _named(sorted(unique.values(), key=_order))
    return Merged(
        tuple(ordered),
        len(sources),
        sum(source.torn for source in sources),
        sum(source.others for source in sources),
        len(events) - len(unique),
        _skew_ms(ordered),
        _missing(ordered),
    )


def select(events: Iterable[Event], wanted: Filter) -> list[Event]:
    """Return the wanted events, in the order given.

    Only some events of a request name its tier, so a tier brings all events
    of the requests that were seen under it.
    """
    every = list(events)
    reqs = {event.req for event in every if _names_tier(event, wanted.tier)}
    reqs.discard('')
    return [
        event
        for event in every
        if _of_request(event, wanted.req)
        and _of_vm(event, wanted.vm)
        and (not wanted.runner or event.fields.get('runner') == wanted.runner)
        and (wanted.tier is None or _of_tier(event, wanted.tier, reqs))
    ]


def _named(events: Sequence[Event]) -> list[Event]:
    """Add its VM to a process's name, from the event that it started with."""
    vms = {
        event.writer: event.fields['vm']
        for event in events
        if event.name == STARTED and 'vm' in event.fields
    }
    return [
        replace(event, process=f'{event.process}@{vms[event.writer]}')
        if event.writer in vms
        else event
        for event in events
    ]


def _key(event: Event) -> tuple[str, str, Stamp]:
    return (*event.writer, event.stamp)


def _order(event: Event) -> tuple[Stamp, str, str]:
    return (event.stamp, *event.writer)


def _missing(events: Iterable[Event]) -> dict[tuple[str, str], int]:
    """Count gaps in each process's numbers, from 0 to its last line.

    What a process wrote after the last line that is here leaves no gap.
    """
    seen: defaultdict[tuple[str, str], set[int]] = defaultdict(set)
    for event in events:
        if event.seq is not None:
            seen[event.writer].add(event.seq)
    gaps = {
        writer: max(numbers) + 1 - len(numbers)
        for writer, numbers in seen.items()
    }
    return {writer: gap for writer, gap in gaps.items() if gap}


def _skew_ms(events: Iterable[Event]) -> int:
    """Return by how much an effect is stamped before its cause, at most."""
    firsts: dict[tuple[str, str], int] = {}
    for event in events:
        firsts.setdefault((event.req, event.name), event.stamp.wall_ms)
    skews = [
        firsts[req, cause] - at
        for (req, name), at in firsts.items()
        for cause, effect in CAUSES
        if name == effect and (req, cause) in firsts
    ]
    return max([0, *skews])


def _of_request(event: Event, req: str) -> bool:
    return not req or event.req == req or event.req.endswith(f'/{req}')


def _of_vm(event: Event, vm: str) -> bool:
    names = {event.fields.get(name) for name in VM_FIELDS}
    names.update(SEPARATORS.split(event.process))
    return not vm or vm in names or vm == event.source


def _of_tier(event: Event, tier: int, reqs: set[str]) -> bool:
    return event.req in reqs or _names_tier(event, tier)


def _names_tier(event: Event, tier: int | None) -> bool:
    return event.fields.get('tier') == str(tier)
