"""The command line of `bramleybend-ctl`: every command and its example."""

from argparse import SUPPRESS, ArgumentParser, RawDescriptionHelpFormatter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from bramleybend.cli.arguments import (
    add_document,
    add_file,
    add_files,
    add_logs,
    add_needed_logs,
    add_optional_version,
    add_publishing,
    add_recovering,
    add_request,
    add_restoring,
    add_target,
)
from bramleybend.cli.connection_arguments import (
    add_common,
    add_log,
    add_places,
    add_vms,
)
from bramleybend.cli.constants import CTL
from bramleybend.cli.context import Flags
from bramleybend.cli.parsing import Parser

EXIT_CODES: Final = """exit codes:
  0 done          1 error           2 wrong flag or setting
  3 conflict      4 not valid       5 the log, the list or a VM is away
  6 not found     7 out of time     130 interrupted
"""


@dataclass(frozen=True)
class Spec:
    """One command in the help."""

    name: str
    summary: str
    example: str
    arguments: tuple[Callable[[ArgumentParser], None], ...]


QUERIES: Final = (
    Spec(
        'validate',
        'check declaration files',
        'validate examples/*.yaml',
        (add_files,),
    ),
    Spec(
        'diff',
        'compare a file with the terms in force',
        'diff parwaz.yaml',
        (add_file, add_log),
    ),
    Spec(
        'history',
        'list what was published and by whom',
        'history --json',
        (add_log,),
    ),
    Spec(
        'show',
        'show the terms in force, per VM',
        'show --document',
        (add_optional_version, add_document, add_log, add_vms, add_places),
    ),
    Spec(
        'wait',
        'wait until a version is in force everywhere',
        'wait 13',
        (add_optional_version, add_log, add_vms, add_places),
    ),
    Spec(
        'status',
        'show VMs, runners, owners, queues, health',
        'status --vm-list http://10.0.9.2:9200',
        (add_vms, add_places),
    ),
    Spec(
        'explain',
        'show where a request went and why',
        'explain 3853957cfa7f845d --logs logs/',
        (add_request, add_logs, add_vms, add_places),
    ),
    Spec(
        'times',
        'show by tier where the time of requests went',
        'times --logs logs/',
        (add_needed_logs,),
    ),
)
COMMANDS: Final = (
    Spec(
        'publish',
        'publish a file as the version after its base',
        'publish parwaz.yaml --base 12',
        (add_publishing, add_log),
    ),
    Spec(
        'restore',
        "publish an old version's content as a new version",
        'restore 11',
        (add_restoring, add_log),
    ),
    Spec(
        'recover',
        'put terms in force that the log and every VM have lost',
        'recover parwaz.yaml 57',
        (add_recovering, add_log, add_vms, add_places),
    ),
    Spec(
        'drain',
        'let a VM finish its requests and take no new ones',
        'drain entry-walton-1',
        (add_target, add_places),
    ),
)


def parse_flags(args: Sequence[str]) -> Flags:
    """Return the flags; a wrong one raises with its remedy."""
    flags = Flags()
    make_parser().parse_args(args, namespace=flags)
    return flags


def make_parser() -> Parser:
    """Build the parser; its help keeps commands and queries apart."""
    parser = Parser(
        prog=CTL,
        usage=f'{CTL} COMMAND [...]',
        description='Publish terms, see what is in force, drain VMs.',
        epilog=_overview(),
        formatter_class=RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    commands = parser.add_subparsers(
        dest='command',
        metavar='COMMAND',
        required=True,
        help='one of those listed below',
    )
    for spec in (*QUERIES, *COMMANDS):
        command = commands.add_parser(
            spec.name,
            description=f'{spec.summary.capitalize()}.',
            epilog=f'example:\n  {CTL} {spec.example}\n\n{EXIT_CODES}',
            formatter_class=RawDescriptionHelpFormatter,
            argument_default=SUPPRESS,
            allow_abbrev=False,
        )
        for add in (*spec.arguments, add_common):
            add(command)
    return parser


def _overview() -> str:
    queries = ''.join(map(_entry, QUERIES))
    commands = ''.join(map(_entry, COMMANDS))
    examples = ''.join(
        f'  {CTL} {spec.example}\n' for spec in (*QUERIES, *COMMANDS)
    )
    return (
        f'queries, which change nothing:\n{queries}\n'
        f'commands, which change something:\n{commands}\n'
        f'examples:\n{examples}\n'
        f'Each command has its own --help.\n\n{EXIT_CODES}'
    )


def _entry(spec: Spec) -> str:
    return f'  {spec.name:<10}{spec.summary}\n'
