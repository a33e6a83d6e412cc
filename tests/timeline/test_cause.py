"""From a request's id to its cause, on the logs of a played day."""

import re
from pathlib import Path

import pytest

from bramleybend.cli.event_logs import read_logs
from bramleybend.status import ExitStatus
from bramleybend.timeline.cause import findings
from bramleybend.timeline.merge import merge
from bramleybend.timeline.read import read_lines
from tests.cli.world import World
from tests.utils.processes import ROOT

LOGS = ROOT / 'tests' / 'timeline' / 'played_day'
PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text(encoding='utf-8')
EXAMPLE = re.compile(
    r'^\$ bramleybend-ctl explain (\w+) --logs logs/\n(.*?)^```$',
    re.MULTILINE | re.DOTALL,
)
HEAD = 'at=x level=INFO logger=bramleybend.events'


def line(vm: str, seq: int, rest: str, at: int = 1000) -> str:
    """Write one event line."""
    return f'{HEAD} hlc={at}.{seq} process={vm} incarnation=1 seq={seq} {rest}'


def texts(lines: list[str], req: str) -> list[str]:
    """Return the steps to a request's cause."""
    merged = merge([read_lines('log', lines)])
    return [step.text for step in findings(merged.events, req)]


@pytest.mark.parametrize(('req', 'shown'), EXAMPLE.findall(PAGE))
async def test_the_page_shows_what_the_command_prints(
    req: str, shown: str
) -> None:
    """An engineer who follows the page sees what stands on it."""
    status, out, _ = await World().run('explain', req, '--logs', str(LOGS))
    assert status is ExitStatus.OK
    assert out == shown


def test_the_page_has_three_kinds_of_failed_request() -> None:
    """One refused, one broken off, one denied."""
    assert len(EXAMPLE.findall(PAGE)) == 3


async def test_an_unknown_id_is_told_with_the_next_step() -> None:
    """The engineer learns that logs may be missing."""
    status, _, err = await World().run('explain', 'x1', '--logs', str(LOGS))
    assert status is ExitStatus.NOT_FOUND
    assert 'the logs of all VMs' in err


async def test_a_directory_without_logs_is_named(tmp_path: Path) -> None:
    """It says which one, and what to name instead."""
    status, _, err = await World().run('explain', 'x', '--logs', str(tmp_path))
    assert status is ExitStatus.NOT_FOUND
    assert str(tmp_path) in err


def test_every_failed_request_of_the_day_has_a_cause() -> None:
    """Whichever id is picked, there is at least one step."""
    events = merge(list(read_logs([str(LOGS)]))).events
    failed = {
        event.req
        for event in events
        if event.fields.get('status', '200') >= '400'
    }
    assert len(failed) > 50
    assert all(findings(events, req) for req in failed)


def test_a_vm_that_ended_before_it_answered_is_named() -> None:
    """Its next start shows that the process was another one."""
    lines = [
        line('vm1', 1, 'event=placed req=a runner=r1'),
        line('vm1', 0, 'event=started', at=3000).replace(
            'incarnation=1', 'incarnation=2'
        ),
    ]
    assert texts(lines, 'a') == [
        'its VM vm1 ended before it answered, and started anew'
    ]


def test_a_vm_that_hears_few_is_given_with_whom_it_lost() -> None:
    """A refusal by a part of the rate is told apart from a busy workspace."""
    lines = [
        line('vm1', 1, 'event=peer_silent peer=vm2', at=500),
        line(
            'vm1',
            2,
            'event=denied req=a status=429 workspace=w units=5 vms_heard=0.50',
        ),
    ]
    assert 'vm1 heard only 0.50' in texts(lines, 'a')[1]


def test_a_vm_that_lags_behind_the_manifest_is_shown() -> None:
    """Another VM had a newer version; this one had lost the store."""
    lines = [
        line('vm2', 1, 'event=manifest version=3', at=400),
        line('vm1', 1, 'event=store_lost feed=f', at=500),
        line(
            'vm1',
            2,
            'event=denied req=a status=404 manifest=2 manifest_age_s=3.1',
        ),
    ]
    steps = texts(lines, 'a')
    assert 'vm2 already had version 3 in force' in steps
    assert 'vm1 had lost the store' in steps


def test_contained_content_is_shown_with_its_crashes() -> None:
    """The caller's 503 leads to the runners that ended."""
    lines = [
        line('vm2', 1, 'event=content_suspect content=c1 crashed=r1,r2'),
        line('vm1', 2, 'event=denied req=a status=503 content=c1'),
    ]
    assert 'the same content ended the runners' in texts(lines, 'a')[1]
