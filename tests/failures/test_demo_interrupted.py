"""The demo is ended by SIGINT (Ctrl-C), SIGTERM or SIGKILL.

Only the demo itself receives the signal, as its processes run in sessions of
their own; the demo ends them by pid and exits at once. After SIGKILL it can't,
so the kernel ends each child whose parent has died.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

import pytest

from tests.utils.processes import ROOT
from tests.utils.waiting import wait_until

ENTRY_PROCESSES = 12
PROGRAMS = ('bramleybend.cli.gateway', 'bramleybend.cli.scheduler')


def _child_pids(parent: int) -> list[int]:
    pids = []
    for entry in Path('/proc').iterdir():
        if entry.name.isdigit() and _is_entry_process(entry, parent):
            pids.append(int(entry.name))
    return pids


def _is_entry_process(entry: Path, parent: int) -> bool:
    try:
        stat = (entry / 'stat').read_text().rpartition(')')[2].split()
        command = (entry / 'cmdline').read_text()
    except OSError:
        return False
    return stat[1] == str(parent) and any(name in command for name in PROGRAMS)


def _is_alive(pid: int) -> bool:
    try:
        stat = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    except OSError:
        return False
    return stat.split()[0] != 'Z'


def _restore_sigint_handler() -> None:
    # Shells start background jobs with SIGINT ignored, and children inherit
    # that: without this reset, the demo would ignore Ctrl-C.
    signal.signal(signal.SIGINT, signal.SIG_DFL)


@pytest.mark.parametrize(
    'number',
    [signal.SIGINT, signal.SIGTERM, signal.SIGKILL],
)
async def test_an_interrupted_demo_leaves_no_process(
    number: signal.Signals,
) -> None:
    """All twelve entry processes end soon after the demo has ended."""
    demo = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'tests.utils.demo',
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': str(ROOT)},
        stdout=asyncio.subprocess.DEVNULL,
        preexec_fn=_restore_sigint_handler,
    )
    try:
        await wait_until(
            lambda: len(_child_pids(demo.pid)) == ENTRY_PROCESSES,
            'all processes of the demo run',
        )
        child_pids = _child_pids(demo.pid)
        demo.send_signal(number)
        code = await asyncio.wait_for(demo.wait(), 10)
    finally:
        if demo.returncode is None:
            demo.kill()
    assert code == (-9 if number is signal.SIGKILL else 130)
    await wait_until(
        lambda: not any(map(_is_alive, child_pids)),
        'no process is left',
    )
