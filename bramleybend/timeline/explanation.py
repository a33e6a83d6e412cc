"""Explains the outcome of a request from the event logs of all VMs.

The explanation starts from the request's own events and adds related events
that an engineer would look up next: other failures of the same runner, the
manifest that the VM had in force, the peers that it had lost contact with.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from bramleybend.timeline.read import Event

# A crash fails all runs of a runner within milliseconds, and their callers
# retry within a second or two.
CORRELATION_WINDOW_MS: Final = 2000
# A VM logs the loss of the store or of a peer once, when it begins, but is
# affected for as long as it lasts.
LOOKBACK_MS: Final = 30_000
FINAL_EVENTS: Final = frozenset(('denied', 'answered'))

DenialExplainer = Callable[[Sequence[Event], Event], Iterator['Finding']]


@dataclass(frozen=True)
class Finding:
    """One step of an explanation, with the events that support it."""

    text: str
    events: tuple[Event, ...] = ()


def explain_request(events: Sequence[Event], req: str) -> list[Finding]:
    """Return the ordered steps that explain the outcome of request `req`.

    The list is empty if no event belongs to the request.
    """
    own_events = [event for event in events if event.req == req]
    if not own_events:
        return []
    final = next(
        (event for event in reversed(own_events) if event.name in FINAL_EVENTS),
        None,
    )
    if final is None:
        return list(_explain_missing_answer(events, own_events[-1]))
    if final.name == 'answered':
        return list(_explain_answer(events, final))
    explain = DENIAL_EXPLAINERS.get(
        final.fields.get('status', ''), _explain_other_denial
    )
    return list(explain(events, final))


def _explain_missing_answer(
    events: Sequence[Event], last: Event
) -> Iterator[Finding]:
    restarts = [
        event
        for event in events
        if event.name == 'started'
        and _vm_of(event) == _vm_of(last)
        and event.stamp > last.stamp
    ]
    if restarts:
        yield Finding(
            f'its VM {_vm_of(last)} ended before it answered, and started anew',
            (restarts[0],),
        )
    else:
        yield Finding(
            'no answer is logged: look for the lines that are missing'
        )


def _explain_answer(events: Sequence[Event], final: Event) -> Iterator[Finding]:
    status = final.fields.get('status', '')
    took = final.fields.get('ms', '?')
    yield Finding(
        f'answered {status} after {took} ms: {final.fields.get("why") or "-"}',
        (final,),
    )
    for runner in filter(None, final.fields.get('runners', '').split(',')):
        yield from _explain_runner(events, final, runner)
    if status == str(HTTPStatus.SERVICE_UNAVAILABLE):
        others = _find_nearby(events, final, name='answered', status=status)
        yield Finding(f'{len(others) - 1} others got {status} within 2 s')


def _explain_runner(
    events: Sequence[Event], final: Event, runner: str
) -> Iterator[Finding]:
    failures = [
        event
        for event in _find_nearby(
            events, final, name='try_failed', runner=runner
        )
        if event.req != final.req
    ]
    if failures:
        yield Finding(
            f'runner {runner} failed {len(failures)} other sends within 2 s',
            tuple(failures),
        )
    departures = _find_nearby(events, final, name='runner_gone', runner=runner)
    if departures:
        yield Finding(f'runner {runner} left the list', tuple(departures[:1]))


def _explain_over_allotment(
    events: Sequence[Event], final: Event
) -> Iterator[Finding]:
    workspace = final.fields.get('workspace', '')
    status = final.fields.get('status', '')
    refusals = _find_nearby(
        events, final, name='denied', workspace=workspace, status=status
    )
    units = sum(float(event.fields.get('units', 0)) for event in refusals)
    vms = len({_vm_of(event) for event in refusals})
    yield Finding(
        f'workspace {workspace} was over its allotment: {len(refusals)} '
        f'requests of {units:.0f} units were refused within 2 s by {vms} VMs',
        (final,),
    )
    heard = final.fields.get('vms_heard', '1.00')
    if float(heard) < 1:
        yield Finding(
            f'{_vm_of(final)} heard only {heard} of the VMs, so it let in that '
            'part of the rate',
            _find_recent_losses(events, final, 'peer_silent'),
        )


def _explain_unknown_name(
    events: Sequence[Event], final: Event
) -> Iterator[Finding]:
    version = final.fields.get('manifest', '?')
    age_s = final.fields.get('manifest_age_s', '?')
    applied = [
        event
        for event in events
        if event.name == 'manifest' and event.fields.get('version') == version
    ]
    own_applied = tuple(
        event for event in applied if event.writer == final.writer
    )
    yield Finding(
        f'denied by manifest {version}, confirmed {age_s} s before: '
        f'{final.fields.get("why", "")}',
        (final, *own_applied),
    )
    newer_manifests = [
        event
        for event in events
        if event.name == 'manifest'
        and event.stamp < final.stamp
        and _int_field(event, 'version') > _int_field(final, 'manifest')
    ]
    if newer_manifests:
        yield Finding(
            f'{_vm_of(newer_manifests[0])} already had version '
            f'{newer_manifests[0].fields["version"]} in force',
            (newer_manifests[0],),
        )
        yield from _explain_lost_updates(events, final)


def _explain_other_denial(
    events: Sequence[Event], final: Event
) -> Iterator[Finding]:
    yield Finding(
        f'denied {final.fields.get("status", "")}: '
        f'{final.fields.get("why", "")}',
        (final,),
    )
    content = final.fields.get('content')
    if content:
        same_content = [
            event for event in events if event.fields.get('content') == content
        ]
        suspect_events = [
            event for event in same_content if event.name == 'content_suspect'
        ]
        yield Finding(
            'the same content ended the runners that ran it',
            tuple(suspect_events),
        )
    yield from _explain_lost_updates(events, final)


def _explain_lost_updates(
    events: Sequence[Event], final: Event
) -> Iterator[Finding]:
    store_losses = _find_recent_losses(events, final, 'store_lost')
    if store_losses:
        yield Finding(f'{_vm_of(final)} had lost the store', store_losses)
    silent_peers = _find_recent_losses(events, final, 'peer_silent')
    if silent_peers:
        yield Finding(
            f'{_vm_of(final)} had stopped to hear other VMs', silent_peers
        )


def _find_recent_losses(
    events: Sequence[Event], final: Event, name: str
) -> tuple[Event, ...]:
    """Return recent events `name` of the process that wrote `final`."""
    return tuple(
        event
        for event in events
        if event.name == name
        and event.writer == final.writer
        and 0 <= _ms_between(event, final) <= LOOKBACK_MS
    )


def _find_nearby(
    events: Iterable[Event], final: Event, name: str, **fields: str
) -> list[Event]:
    return [
        event
        for event in events
        if event.name == name
        and abs(_ms_between(event, final)) <= CORRELATION_WINDOW_MS
        and all(event.fields.get(key) == text for key, text in fields.items())
    ]


def _ms_between(event: Event, final: Event) -> int:
    return final.stamp.wall_ms - event.stamp.wall_ms


def _vm_of(event: Event) -> str:
    return event.process.partition('@')[0]


def _int_field(event: Event, name: str) -> int:
    text = event.fields.get(name, '')
    return int(text) if text.isdecimal() else 0


DENIAL_EXPLAINERS: Final[Mapping[str, DenialExplainer]] = MappingProxyType(
    {
        str(HTTPStatus.TOO_MANY_REQUESTS.value): _explain_over_allotment,
        str(HTTPStatus.UNAUTHORIZED.value): _explain_unknown_name,
        str(HTTPStatus.NOT_FOUND.value): _explain_unknown_name,
    }
)
