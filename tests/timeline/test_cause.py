"""Explaining the outcome of requests, on logs recorded in a simulated day."""

import re
from pathlib import Path

import pytest

from bramleybend.cli.event_logs import read_logs
from bramleybend.exit_status import ExitStatus
from bramleybend.timeline.explanation import explain_request
from bramleybend.timeline.merge import merge
from bramleybend.timeline.read import read_lines
from tests.cli.fakes import FakeEnvironment
from tests.utils.processes import ROOT

LOGS = ROOT / 'tests' / 'timeline' / 'played_day'
PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text(encoding='utf-8')
EXAMPLE = re.compile(
    r'^\$ bramleybend-ctl explain (\w+) --logs logs/\n(.*?)^```$',
    re.MULTILINE | re.DOTALL,
)
HEAD = 'at=x level=INFO logger=bramleybend.events'


def event_line(vm: str, seq: int, rest: str, at: int = 1000) -> str:
    """Return one event line."""
    return f'{HEAD} hlc={at}.{seq} process={vm} incarnation=1 seq={seq} {rest}'


def step_texts(lines: list[str], req: str) -> list[str]:
    """Return the texts of the steps that explain a request's outcome."""
    merged = merge([read_lines('log', lines)])
    return [step.text for step in explain_request(merged.events, req)]


@pytest.mark.parametrize(('req', 'shown'), EXAMPLE.findall(PAGE))
async def test_the_page_shows_what_the_command_prints(
    req: str, shown: str
) -> None:
    """The examples on the operators' page match the program's output."""
    status, out, _ = await FakeEnvironment().run(
        'explain', req, '--logs', str(LOGS)
    )
    assert status is ExitStatus.OK
    assert out == shown


def test_the_page_has_three_kinds_of_failed_request() -> None:
    """One example each: refused, broken off and denied."""
    assert len(EXAMPLE.findall(PAGE)) == 3


async def test_an_unknown_id_is_told_with_the_next_step() -> None:
    """The remedy points out that the logs of some VMs may be missing."""
    status, _, err = await FakeEnvironment().run(
        'explain', 'x1', '--logs', str(LOGS)
    )
    assert status is ExitStatus.NOT_FOUND
    assert 'the logs of all VMs' in err


async def test_a_directory_without_logs_is_named(tmp_path: Path) -> None:
    """The error names the directory."""
    status, _, err = await FakeEnvironment().run(
        'explain', 'x', '--logs', str(tmp_path)
    )
    assert status is ExitStatus.NOT_FOUND
    assert str(tmp_path) in err


def test_every_failed_request_of_the_day_has_a_cause() -> None:
    """Each failed request in the logs gets at least one step."""
    events = merge(list(read_logs([str(LOGS)]))).events
    failed = {
        event.req
        for event in events
        if event.fields.get('status', '200') >= '400'
    }
    assert len(failed) > 50
    assert all(explain_request(events, req) for req in failed)


def test_a_vm_that_ended_before_it_answered_is_named() -> None:
    """A later `started` event with another incarnation shows the restart."""
    lines = [
        event_line('vm1', 1, 'event=placed req=a runner=r1'),
        event_line('vm1', 0, 'event=started', at=3000).replace(
            'incarnation=1', 'incarnation=2'
        ),
    ]
    assert step_texts(lines, 'a') == [
        'its VM vm1 ended before it answered, and started anew'
    ]


def test_a_vm_that_hears_few_is_given_with_whom_it_lost() -> None:
    """A refusal by a partitioned VM differs from that of a busy workspace.

    A VM that hears only part of the VMs admits only that part of the rate.
    """
    lines = [
        event_line('vm1', 1, 'event=peer_silent peer=vm2', at=500),
        event_line(
            'vm1',
            2,
            'event=denied req=a status=429 workspace=w units=5 vms_heard=0.50',
        ),
    ]
    assert 'vm1 heard only 0.50' in step_texts(lines, 'a')[1]


def test_a_vm_that_lags_behind_the_manifest_is_shown() -> None:
    """Another VM had a newer manifest; this VM had lost the store."""
    lines = [
        event_line('vm2', 1, 'event=manifest version=3', at=400),
        event_line('vm1', 1, 'event=store_lost feed=f', at=500),
        event_line(
            'vm1',
            2,
            'event=denied req=a status=404 manifest=2 manifest_age_s=3.1',
        ),
    ]
    steps = step_texts(lines, 'a')
    assert 'vm2 already had version 3 in force' in steps
    assert 'vm1 had lost the store' in steps


def test_contained_content_is_shown_with_its_crashes() -> None:
    """A 503 for quarantined content leads to the runners that it crashed."""
    lines = [
        event_line('vm2', 1, 'event=content_suspect content=c1 crashed=r1,r2'),
        event_line('vm1', 2, 'event=denied req=a status=503 content=c1'),
    ]
    assert 'the same content ended the runners' in step_texts(lines, 'a')[1]
