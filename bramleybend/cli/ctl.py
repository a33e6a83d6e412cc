"""Entry point of `bramleybend-ctl`, the command line tool for operators."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from types import MappingProxyType
from typing import Final, TypeAlias

from bramleybend.cli.commands import publish, recover, restore
from bramleybend.cli.constants import CTL
from bramleybend.cli.context import Context
from bramleybend.cli.definition import parse_flags
from bramleybend.cli.draining import drain
from bramleybend.cli.entry import enter
from bramleybend.cli.environment import Environment
from bramleybend.cli.exceptions import exit_status_of
from bramleybend.cli.fleet_queries import explain, status, wait
from bramleybend.cli.log_queries import times
from bramleybend.cli.output import Report, write_problem, write_report
from bramleybend.cli.queries import diff, history, show, validate
from bramleybend.errors import ProblemError
from bramleybend.exit_status import ExitStatus

Handler: TypeAlias = Callable[[Context], Awaitable[Report]]

QUERIES: Final = MappingProxyType[str, Handler](
    {
        'validate': validate,
        'diff': diff,
        'history': history,
        'show': show,
        'wait': wait,
        'status': status,
        'explain': explain,
        'times': times,
    },
)
COMMANDS: Final = MappingProxyType[str, Handler](
    {
        'publish': publish,
        'restore': restore,
        'recover': recover,
        'drain': drain,
    },
)
JSON_FLAG: Final = '--json'


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run one command; return the exit code."""
    return asyncio.run(execute(args, env))


async def execute(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run one command within a running event loop."""
    try:
        flags = parse_flags(args)
        handler = QUERIES.get(flags.command) or COMMANDS[flags.command]
        report = await handler(Context(env, flags))
    except ProblemError as exc:
        as_json = JSON_FLAG in args
        write_problem(CTL, exc.problem, env.stderr, as_json=as_json)
        return exit_status_of(exc.problem)
    write_report(report, env.stdout, as_json=flags.as_json)
    return report.status


def run() -> None:
    """Run as a console script."""
    enter(main)
