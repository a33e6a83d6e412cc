"""The command line of `bramleybend-ctl`: every command and its example."""

from argparse import SUPPRESS, ArgumentParser, RawDescriptionHelpFormatter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from bramleybend.cli.argument_parser import Parser
from bramleybend.cli.arguments import (
    add_document,
    add_file,
    add_files,
    add_logs,
    add_optional_version,
    add_publish_arguments,
    add_recover_arguments,
    add_request,
    add_required_logs,
    add_restore_arguments,
    add_target,
)
from bramleybend.cli.connection_arguments import (
    add_common,
    add_log_service,
    add_vm_discovery,
    add_vms,
)
from bramleybend.cli.constants import CTL
from bramleybend.cli.context import Flags

EXIT_CODES: Final = """exit codes:
  0 done          1 error           2 wrong flag or setting
  3 conflict      4 not valid       5 the log, the list or a VM is away
  6 not found     7 out of time     130 interrupted
"""


@dataclass(frozen=True)
class CommandSpec:
    """One command: its name, help text, example and arguments."""

    name: str
    summary: str
    example: str
    arguments: tuple[Callable[[ArgumentParser], None], ...]


QUERIES: Final = (
    CommandSpec(
        'validate',
        'check declaration files',
        'validate examples/*.yaml',
        (add_files,),
    ),
    CommandSpec(
        'diff',
        'compare a file with the terms in force',
        'diff parwaz.yaml',
        (add_file, add_log_service),
    ),
    CommandSpec(
        'history',
        'list what was published and by whom',
        'history --json',
        (add_log_service,),
    ),
    CommandSpec(
        'show',
        'show the terms in force, per VM',
        'show --document',
        (
            add_optional_version,
            add_document,
            add_log_service,
            add_vms,
            add_vm_discovery,
        ),
    ),
    CommandSpec(
        'wait',
        'wait until a version is in force everywhere',
        'wait 13',
        (add_optional_version, add_log_service, add_vms, add_vm_discovery),
    ),
    CommandSpec(
        'status',
        'show VMs, runners, owners, queues, health',
        'status --vm-list http://10.0.9.2:9200',
        (add_vms, add_vm_discovery),
    ),
    CommandSpec(
        'explain',
        'show where a request went and why',
        'explain 3853957cfa7f845d --logs logs/',
        (add_request, add_logs, add_vms, add_vm_discovery),
    ),
    CommandSpec(
        'times',
        'show by tier where the time of requests went',
        'times --logs logs/',
        (add_required_logs,),
    ),
)
COMMANDS: Final = (
    CommandSpec(
        'publish',
        'publish a file as the version after its base',
        'publish parwaz.yaml --base 12',
        (add_publish_arguments, add_log_service),
    ),
    CommandSpec(
        'restore',
        "publish an old version's content as a new version",
        'restore 11',
        (add_restore_arguments, add_log_service),
    ),
    CommandSpec(
        'recover',
        'put terms in force that the log and every VM have lost',
        'recover parwaz.yaml 57',
        (add_recover_arguments, add_log_service, add_vms, add_vm_discovery),
    ),
    CommandSpec(
        'drain',
        'let a VM finish its requests and take no new ones',
        'drain entry-walton-1',
        (add_target, add_vm_discovery),
    ),
)


def parse_flags(args: Sequence[str]) -> Flags:
    """Parse the arguments; raise `ProblemError` for a wrong one."""
    flags = Flags()
    make_parser().parse_args(args, namespace=flags)
    return flags


def make_parser() -> Parser:
    """Build the parser; its help lists queries and commands separately."""
    parser = Parser(
        prog=CTL,
        usage=f'{CTL} COMMAND [...]',
        description='Publish terms, see what is in force, drain VMs.',
        epilog=_format_overview(),
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
        for add_arguments in (*spec.arguments, add_common):
            add_arguments(command)
    return parser


def _format_overview() -> str:
    queries = ''.join(map(_format_entry, QUERIES))
    commands = ''.join(map(_format_entry, COMMANDS))
    examples = ''.join(
        f'  {CTL} {spec.example}\n' for spec in (*QUERIES, *COMMANDS)
    )
    return (
        f'queries, which change nothing:\n{queries}\n'
        f'commands, which change something:\n{commands}\n'
        f'examples:\n{examples}\n'
        f'Each command has its own --help.\n\n{EXIT_CODES}'
    )


def _format_entry(spec: CommandSpec) -> str:
    return f'  {spec.name:<10}{spec.summary}\n'
