"""What both serving programs do around their core."""

import asyncio
import signal
import sys
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Protocol, TextIO

from result import Err, Ok

from bramleybend.clock import Clock, SystemClock
from bramleybend.events import setup_logging
from bramleybend.log_output import LineWriter, RateFilter
from bramleybend.settings_parsing import Model, Program, parse_program
from bramleybend.status import ExitStatus

DEFAULT_LEVEL = 'INFO'
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Server(Protocol):
    """A serving core."""

    stopping: asyncio.Event

    async def start(self) -> None:
        """Listen."""

    def reload(self) -> None:
        """Take in settings that may have changed."""

    async def stop(self) -> None:
        """Let what is in flight end, then close."""


@dataclass(frozen=True)
class Environment:
    """What a program takes from around it, so that tests can swap it."""

    variables: Mapping[str, str]
    stderr: TextIO
    log: TextIO
    clock: Clock


def serve(
    program: Program[Model],
    make: Callable[[Model, Clock], Server],
    args: Sequence[str],
    env: Environment,
) -> ExitStatus:
    """Read the settings and serve until told to stop."""
    match parse_program(program, args, env.variables):
        case Err(problem):
            print(f'{program.name}: error: {problem}', file=env.stderr)
            return ExitStatus.USAGE
        case Ok(cfg):
            with _logging_of(program, cfg, env):
                return asyncio.run(_serve(make(cfg, env.clock), env))
    raise AssertionError(program)


@contextmanager
def _logging_of(
    program: Program[Model], cfg: Model, env: Environment
) -> Iterator[None]:
    level = getattr(cfg, 'log_level', DEFAULT_LEVEL)
    if not program.bounded_log:
        setup_logging(level, env.stderr)
        yield
        return
    lines = LineWriter(env.log)
    setup_logging(level, lines, RateFilter(env.clock))
    try:
        yield
    finally:
        lines.close()


def system_environment(variables: Mapping[str, str]) -> Environment:
    """Return the real streams and clock."""
    return Environment(variables, sys.stderr, sys.stdout, SystemClock())


async def _serve(server: Server, env: Environment) -> ExitStatus:
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, server.stopping.set)
    # Unhandled, this signal ends a process together with all it serves.
    loop.add_signal_handler(signal.SIGHUP, server.reload)
    try:
        await server.start()
    except OSError as exc:
        print(
            f'error: cannot listen: {exc}; give a free --address and port',
            file=env.stderr,
        )
        return ExitStatus.UNAVAILABLE
    await server.stopping.wait()
    await server.stop()
    return ExitStatus.OK
