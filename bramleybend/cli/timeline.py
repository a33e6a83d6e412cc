"""Entry point of `bramleybend-timeline`, which merges event logs."""

from argparse import RawDescriptionHelpFormatter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from bramleybend.cli.argument_parser import Parser
from bramleybend.cli.argument_types import parse_tier
from bramleybend.cli.constants import TIMELINE
from bramleybend.cli.entry import enter
from bramleybend.cli.environment import Environment
from bramleybend.cli.event_logs import read_logs
from bramleybend.cli.exceptions import exit_status_of, fail
from bramleybend.cli.output import write_problem
from bramleybend.errors import ErrorKind, ProblemError
from bramleybend.exit_status import ExitStatus
from bramleybend.timeline.merge import Filter, merge, select
from bramleybend.timeline.page import render_page
from bramleybend.timeline.text import render, summarize

EXAMPLES = """examples:
  bramleybend-timeline run/*.log
  bramleybend-timeline --request t-81/slot-7 run/
  bramleybend-timeline --vm entry-walton-1 --html killed.html run/
  bramleybend-timeline --tier 1 --runner runner-walton-1 run/

exit codes:
  0 shown, 2 wrong flag, 6 a file cannot be read or nothing matches
"""


@dataclass
class Flags:
    """The flags and arguments of the command line."""

    paths: list[str] = field(default_factory=list)
    req: str = ''
    vm: str = ''
    runner: str = ''
    tier: int | None = None
    html: str = ''


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Show the timeline; return the exit code."""
    flags = Flags()
    try:
        _parser().parse_args(args, namespace=flags)
        _show(flags, env)
    except ProblemError as exc:
        write_problem(TIMELINE, exc.problem, env.stderr, as_json=False)
        return exit_status_of(exc.problem)
    return ExitStatus.OK


def run() -> None:
    """Run as a console script."""
    enter(main)


def _show(flags: Flags, env: Environment) -> None:
    merged = merge(list(read_logs(flags.paths)))
    criteria = Filter(flags.req, flags.vm, flags.runner, flags.tier)
    events = select(merged.events, criteria)
    notes = summarize(merged, len(events))
    env.stderr.write(f'{notes}\n')
    if merged.events and not events:
        fail(
            ErrorKind.UNKNOWN_NAME,
            'no event matches',
            'leave out a filter, or give the logs of more processes',
        )
    if flags.html:
        _write_page(flags.html, render_page(events, notes))
    else:
        env.stdout.write(render(events))


def _write_page(name: str, text: str) -> None:
    try:
        Path(name).write_text(text, encoding='utf-8')
    except OSError as exc:
        fail(
            ErrorKind.UNKNOWN_NAME,
            f'{name} cannot be written: {exc.strerror}',
            'give --html a path that you may write',
        )


def _parser() -> Parser:
    parser = Parser(
        prog=TIMELINE,
        description='Merge the event logs of all processes in causal order.',
        epilog=EXAMPLES,
        formatter_class=RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    parser.add_argument(
        'paths',
        nargs='+',
        metavar='FILE',
        help='an event log, or a directory of *.log files',
    )
    parser.add_argument(
        '--request',
        dest='req',
        metavar='ID',
        help='only this request, by its whole id or its own part',
    )
    parser.add_argument('--vm', metavar='NAME', help='only this VM')
    parser.add_argument('--runner', metavar='NAME', help='only this runner')
    parser.add_argument(
        '--tier',
        type=parse_tier,
        metavar='N',
        help='only requests of this tier, 1 to 4',
    )
    parser.add_argument(
        '--html',
        metavar='FILE',
        help='write one HTML page instead of text',
    )
    return parser
