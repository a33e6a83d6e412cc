"""Startup, logging, signals and shutdown of the serving programs."""

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
from bramleybend.exit_status import ExitStatus
from bramleybend.log_output import LineWriter, RateFilter
from bramleybend.settings_parsing import Model, Program, parse_program

DEFAULT_LEVEL = 'INFO'
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Server(Protocol):
    """A server that `serve` starts and stops."""

    stopping: asyncio.Event

    async def start(self) -> None:
        """Listen; raise `OSError` if a port can't be bound."""

    def reload(self) -> None:
        """Reload settings that may change at run time."""

    async def stop(self) -> None:
        """Wait for requests in flight, then close."""


@dataclass(frozen=True)
class Environment:
    """The external dependencies of a program, which tests can replace."""

    variables: Mapping[str, str]
    stderr: TextIO
    log: TextIO
    clock: Clock


def serve(
    program: Program[Model],
    make_server: Callable[[Model, Clock], Server],
    args: Sequence[str],
    env: Environment,
) -> ExitStatus:
    """Parse the settings and serve until a stop signal."""
    match parse_program(program, args, env.variables):
        case Err(problem):
            print(f'{program.name}: error: {problem}', file=env.stderr)
            return ExitStatus.USAGE
        case Ok(cfg):
            with _configure_logging(program, cfg, env):
                return asyncio.run(_serve(make_server(cfg, env.clock), env))
    raise AssertionError(program)


@contextmanager
def _configure_logging(
    program: Program[Model], cfg: Model, env: Environment
) -> Iterator[None]:
    level = getattr(cfg, 'log_level', DEFAULT_LEVEL)
    if not program.bounded_log:
        setup_logging(level, env.stderr)
        yield
        return
    writer = LineWriter(env.log)
    setup_logging(level, writer, RateFilter(env.clock))
    try:
        yield
    finally:
        writer.close()


def system_environment(variables: Mapping[str, str]) -> Environment:
    """Return the environment with the process's streams and clock."""
    return Environment(variables, sys.stderr, sys.stdout, SystemClock())


async def _serve(server: Server, env: Environment) -> ExitStatus:
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, server.stopping.set)
    # The default action of SIGHUP would terminate the process.
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
