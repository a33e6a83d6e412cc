"""Child processes of tests, which end with the test process."""

import asyncio
import ctypes
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parents[2]
EXIT_LIMIT_S: Final = 10
LOG_TAIL_LINES: Final = 12
PR_SET_PDEATHSIG: Final = 1

_LIBC: Final = ctypes.CDLL(None)


def _set_parent_death_signal() -> None:
    # A killed test process can't clean up, and its children would keep their
    # addresses in use. So the kernel kills them, also those that are stopped
    # by SIGSTOP.
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class ProcessEndedError(Exception):
    """A process ended although it should be running."""


class Process:
    """One child process that runs a Python module and logs to a file."""

    def __init__(self, name: str, argv: Sequence[str], log: Path) -> None:
        """Set the module and its flags (`argv`); `start` starts the process."""
        self.name = name
        self.log = log
        self._argv = argv
        self._child: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Return the pid of the process that was started."""
        assert self._child is not None
        return self._child.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code once the process has ended."""
        return None if self._child is None else self._child.returncode

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._child is not None and self._child.returncode is None

    async def start(self) -> None:
        """Start the process in its own session, so that Ctrl-C doesn't reach it."""
        with self.log.open('ab') as output:
            self._child = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                *self._argv,
                cwd=ROOT,
                env={**os.environ, 'PYTHONPATH': str(ROOT)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
                preexec_fn=_set_parent_death_signal,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process unless it has ended."""
        if self._child is not None and self._child.returncode is None:
            self._child.send_signal(number)

    async def wait(self, limit_s: float = EXIT_LIMIT_S) -> int:
        """Wait until the process has ended; return its exit code."""
        assert self._child is not None
        async with asyncio.timeout(limit_s):
            return await self._child.wait()

    async def kill(self) -> None:
        """Send SIGKILL, which also ends a stopped process, and wait."""
        if self.is_running:
            self.send_signal(signal.SIGKILL)
            await self.wait()

    def check_running(self) -> None:
        """Raise ProcessEndedError with the log's tail if the process has ended."""
        if not self.is_running:
            tail = '\n'.join(self.log_text().splitlines()[-LOG_TAIL_LINES:])
            raise ProcessEndedError(
                f'{self.name} ended with {self.exit_code}; {self.log}:\n{tail}',
            )

    def log_text(self) -> str:
        """Return the output of the process so far."""
        return self.log.read_text(errors='replace')
