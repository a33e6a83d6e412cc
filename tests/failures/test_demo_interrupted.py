"""The demo is ended from outside, by Ctrl-C, a plain kill or a hard one.

What the user sees: the prompt, at once. Order: the signal reaches the demo
alone, as its processes have sessions of their own; it ends them by pid. Why
no process stays even after SIGKILL: the kernel ends children whose parent has
died.
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


def _children(parent: int) -> list[int]:
    found = []
    for entry in Path('/proc').iterdir():
        if entry.name.isdigit() and _is_child(entry, parent):
            found.append(int(entry.name))
    return found


def _is_child(entry: Path, parent: int) -> bool:
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


def _as_in_a_terminal() -> None:
    # Shells start what runs in the background with SIGINT ignored, and
    # children inherit that: the demo would not notice a Ctrl-C at all.
    signal.signal(signal.SIGINT, signal.SIG_DFL)


@pytest.mark.parametrize(
    'number',
    [signal.SIGINT, signal.SIGTERM, signal.SIGKILL],
)
async def test_an_interrupted_demo_leaves_no_process(
    number: signal.Signals,
) -> None:
    """All twelve processes are gone soon after the demo is."""
    demo = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'tests.utils.demo',
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': str(ROOT)},
        stdout=asyncio.subprocess.DEVNULL,
        preexec_fn=_as_in_a_terminal,
    )
    try:
        await wait_until(
            lambda: len(_children(demo.pid)) == ENTRY_PROCESSES,
            'all processes of the demo run',
        )
        children = _children(demo.pid)
        demo.send_signal(number)
        code = await asyncio.wait_for(demo.wait(), 10)
    finally:
        if demo.returncode is None:
            demo.kill()
    assert code == (-9 if number is signal.SIGKILL else 130)
    await wait_until(
        lambda: not any(map(_is_alive, children)),
        'no process is left',
    )
