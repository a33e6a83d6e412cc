"""Why a request ended as it did, from the event logs of all VMs.

It says what the lines of the request say, and adds the lines of others that
an engineer would look for next: what else the runner failed, which manifest
the VM had in force, whom it had stopped to hear.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from bramleybend.timeline.read import Event

# A crash breaks all that ran there within milliseconds; callers come back
# within a second or two.
NEAR_MS: Final = 2000
# What a VM lost it tells once, and feels for as long as that lasts.
BEFORE_MS: Final = 30_000
FINAL: Final = frozenset(('denied', 'answered'))

Explain = Callable[[Sequence[Event], Event], Iterator['Finding']]


@dataclass(frozen=True)
class Finding:
    """One step towards the cause, and the events that show it."""

    text: str
    events: tuple[Event, ...] = ()


def findings(events: Sequence[Event], req: str) -> list[Finding]:
    """Return the steps from a request's id to its cause, in order."""
    own = [event for event in events if event.req == req]
    if not own:
        return []
    final = next((one for one in reversed(own) if one.name in FINAL), None)
    if final is None:
        return list(_unanswered(events, own[-1]))
    if final.name == 'answered':
        return list(_answered(events, final))
    explain = DENIALS.get(final.fields.get('status', ''), _other_denial)
    return list(explain(events, final))


def _unanswered(events: Sequence[Event], last: Event) -> Iterator[Finding]:
    restarts = [
        event
        for event in events
        if event.name == 'started'
        and _vm(event) == _vm(last)
        and event.stamp > last.stamp
    ]
    if restarts:
        yield Finding(
            f'its VM {_vm(last)} ended before it answered, and started anew',
            (restarts[0],),
        )
    else:
        yield Finding(
            'no answer is logged: look for the lines that are missing'
        )


def _answered(events: Sequence[Event], final: Event) -> Iterator[Finding]:
    status = final.fields.get('status', '')
    took = final.fields.get('ms', '?')
    yield Finding(
        f'answered {status} after {took} ms: {final.fields.get("why") or "-"}',
        (final,),
    )
    for runner in filter(None, final.fields.get('runners', '').split(',')):
        yield from _runner_findings(events, final, runner)
    if status == str(HTTPStatus.SERVICE_UNAVAILABLE):
        others = _near(events, final, name='answered', status=status)
        yield Finding(f'{len(others) - 1} others got {status} within 2 s')


def _runner_findings(
    events: Sequence[Event], final: Event, runner: str
) -> Iterator[Finding]:
    failed = [
        event
        for event in _near(events, final, name='try_failed', runner=runner)
        if event.req != final.req
    ]
    if failed:
        yield Finding(
            f'runner {runner} failed {len(failed)} other sends within 2 s',
            tuple(failed),
        )
    gone = _near(events, final, name='runner_gone', runner=runner)
    if gone:
        yield Finding(f'runner {runner} left the list', tuple(gone[:1]))


def _over_allotment(events: Sequence[Event], final: Event) -> Iterator[Finding]:
    workspace = final.fields.get('workspace', '')
    status = final.fields.get('status', '')
    refused = _near(
        events, final, name='denied', workspace=workspace, status=status
    )
    units = sum(float(one.fields.get('units', 0)) for one in refused)
    vms = len({_vm(one) for one in refused})
    yield Finding(
        f'workspace {workspace} was over its allotment: {len(refused)} '
        f'requests of {units:.0f} units were refused within 2 s by {vms} VMs',
        (final,),
    )
    heard = final.fields.get('vms_heard', '1.00')
    if float(heard) < 1:
        yield Finding(
            f'{_vm(final)} heard only {heard} of the VMs, so it let in that '
            'part of the rate',
            _lost_by(events, final, 'peer_silent'),
        )


def _unknown_to_manifest(
    events: Sequence[Event], final: Event
) -> Iterator[Finding]:
    version = final.fields.get('manifest', '?')
    age = final.fields.get('manifest_age_s', '?')
    applied = [
        event
        for event in events
        if event.name == 'manifest' and event.fields.get('version') == version
    ]
    ours = tuple(one for one in applied if one.writer == final.writer)
    yield Finding(
        f'denied by manifest {version}, confirmed {age} s before: '
        f'{final.fields.get("why", "")}',
        (final, *ours),
    )
    newer = [
        event
        for event in events
        if event.name == 'manifest'
        and event.stamp < final.stamp
        and _number(event, 'version') > _number(final, 'manifest')
    ]
    if newer:
        yield Finding(
            f'{_vm(newer[0])} already had version '
            f'{newer[0].fields["version"]} in force',
            (newer[0],),
        )
        yield from _news_lost(events, final)


def _other_denial(events: Sequence[Event], final: Event) -> Iterator[Finding]:
    yield Finding(
        f'denied {final.fields.get("status", "")}: '
        f'{final.fields.get("why", "")}',
        (final,),
    )
    content = final.fields.get('content')
    if content:
        told = [one for one in events if one.fields.get('content') == content]
        crashed = [one for one in told if one.name == 'content_suspect']
        yield Finding(
            'the same content ended the runners that ran it', tuple(crashed)
        )
    yield from _news_lost(events, final)


def _news_lost(events: Sequence[Event], final: Event) -> Iterator[Finding]:
    lost = _lost_by(events, final, 'store_lost')
    if lost:
        yield Finding(f'{_vm(final)} had lost the store', lost)
    silent = _lost_by(events, final, 'peer_silent')
    if silent:
        yield Finding(f'{_vm(final)} had stopped to hear other VMs', silent)


def _lost_by(
    events: Sequence[Event], final: Event, name: str
) -> tuple[Event, ...]:
    """Return what the same process told that it lost, lately."""
    return tuple(
        event
        for event in events
        if event.name == name
        and event.writer == final.writer
        and 0 <= _ms_before(event, final) <= BEFORE_MS
    )


def _near(
    events: Iterable[Event], final: Event, name: str, **fields: str
) -> list[Event]:
    return [
        event
        for event in events
        if event.name == name
        and abs(_ms_before(event, final)) <= NEAR_MS
        and all(event.fields.get(key) == text for key, text in fields.items())
    ]


def _ms_before(event: Event, final: Event) -> int:
    return final.stamp.wall_ms - event.stamp.wall_ms


def _vm(event: Event) -> str:
    return event.process.partition('@')[0]


def _number(event: Event, name: str) -> int:
    text = event.fields.get(name, '')
    return int(text) if text.isdecimal() else 0


DENIALS: Final[Mapping[str, Explain]] = MappingProxyType(
    {
        str(HTTPStatus.TOO_MANY_REQUESTS.value): _over_allotment,
        str(HTTPStatus.UNAUTHORIZED.value): _unknown_to_manifest,
        str(HTTPStatus.NOT_FOUND.value): _unknown_to_manifest,
    }
)
