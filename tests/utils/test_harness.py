"""Tests of the harness: child processes end, and the relay blocks bytes."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import pytest

from tests.utils.cluster import free_prefix
from tests.utils.http_client import BrokenCallError, call
from tests.utils.log_service import LogService
from tests.utils.processes import ROOT, Process, ProcessEndedError
from tests.utils.relay import Cut, Relay
from tests.utils.waiting import wait_until

STANDIN_MODULE = 'tests.utils.log_service'
# Starts a stand-in as the harness does, prints its pid, then waits.
HARNESS_SCRIPT = """
import asyncio, pathlib, sys
from tests.utils.processes import Process
async def main():
    process = Process('child', sys.argv[1:], pathlib.Path('/dev/null'))
    await process.start()
    print(process.pid, flush=True)
    await asyncio.sleep(60)
asyncio.run(main())
"""


def _argv(prefix: str) -> list[str]:
    return [STANDIN_MODULE, '--host', f'{prefix}.9', '--port', '7100']


def _is_alive(pid: int) -> bool:
    try:
        state = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    except OSError:
        return False
    return state.split()[0] != 'Z'


async def test_a_frozen_process_is_ended(tmp_path: Path) -> None:
    """SIGKILL ends a stopped process without SIGCONT."""
    process = Process('log', _argv(free_prefix()), tmp_path / 'log')
    await process.start()
    process.send_signal(signal.SIGSTOP)
    await process.kill()
    assert process.exit_code == -signal.SIGKILL
    with pytest.raises(ProcessEndedError):
        process.check_running()


async def test_a_killed_harness_takes_its_processes_along() -> None:
    """The children of a killed harness end, though it can't clean up."""
    harness = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        HARNESS_SCRIPT,
        *_argv(free_prefix()),
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': str(ROOT)},
        stdout=asyncio.subprocess.PIPE,
    )
    assert harness.stdout is not None
    child_pid = int(await harness.stdout.readline())
    assert _is_alive(child_pid)
    harness.kill()
    await harness.wait()
    await wait_until(lambda: not _is_alive(child_pid), 'the child has ended')


async def test_a_cut_holds_bytes_until_it_heals() -> None:
    """A cut holds back the reply to an append that took effect.

    Its caller times out; after `heal` calls are answered again.
    """
    prefix = free_prefix()
    log = LogService(f'{prefix}.2', 7100)
    relay = Relay(f'{prefix}.3', 7100, f'{prefix}.2', 7100)
    await log.start()
    await relay.start()
    url = f'{relay.url}/streams/s/records'
    assert (await call('POST', url, body=b'{"records": ["a"]}')).status == 200
    relay.cut(Cut.FROM_TARGET)
    with pytest.raises(BrokenCallError):
        await call('POST', url, body=b'{"records": ["b"]}', timeout_s=0.3)
    assert log.records('s') == ['a', 'b']
    await relay.heal()
    assert (await call('POST', url, body=b'{"records": ["c"]}')).status == 200
    await relay.stop()
    await log.stop()
