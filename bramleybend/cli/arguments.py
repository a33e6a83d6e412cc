"""Arguments specific to single commands of `bramleybend-ctl`."""

from argparse import ArgumentParser

from bramleybend.cli.argument_types import (
    parse_identifier,
    parse_version,
)


def add_files(parser: ArgumentParser) -> None:
    """Add one or more declaration files."""
    parser.add_argument(
        'files',
        nargs='+',
        metavar='FILE',
        help='a declaration file, or - for standard input',
    )


def add_file(parser: ArgumentParser) -> None:
    """Add one declaration file."""
    parser.add_argument(
        'file',
        metavar='FILE',
        help='a declaration file, or - for standard input',
    )


def add_optional_version(parser: ArgumentParser) -> None:
    """Add an optional version; the newest is the default."""
    parser.add_argument(
        'version',
        type=parse_version,
        nargs='?',
        default=None,
        metavar='VERSION',
        help='a version number; the newest if left out',
    )


def add_document(parser: ArgumentParser) -> None:
    """Add a flag that prints the declaration itself."""
    parser.add_argument(
        '--document',
        action='store_true',
        help='print the declaration itself',
    )


def add_request(parser: ArgumentParser) -> None:
    """Add a request id."""
    parser.add_argument(
        'request_id',
        type=parse_identifier,
        metavar='REQUEST-ID',
        help='the whole id, as the caller sent it',
    )


def add_logs(parser: ArgumentParser) -> None:
    """Add optional event logs to read instead of querying the processes."""
    parser.add_argument(
        '--logs',
        nargs='+',
        metavar='FILE',
        help='event logs, or directories of *.log files: read the cause from '
        'them and ask no process',
    )


def add_required_logs(parser: ArgumentParser) -> None:
    """Add event logs that a query requires."""
    parser.add_argument(
        '--logs',
        nargs='+',
        required=True,
        metavar='FILE',
        help='event logs of all VMs, or directories of *.log files',
    )


def add_target(parser: ArgumentParser) -> None:
    """Add the VM that the command applies to."""
    parser.add_argument(
        'target',
        metavar='VM',
        help='its name in the VM list, or its IP address',
    )


def add_publish_arguments(parser: ArgumentParser) -> None:
    """Add a file and the version that it is based on."""
    add_file(parser)
    parser.add_argument(
        '--base',
        type=parse_version,
        required=True,
        metavar='VERSION',
        help='the version that the change was made from; 0 for the first',
    )
    _add_publisher(parser)


def add_restore_arguments(parser: ArgumentParser) -> None:
    """Add the version to restore and an optional base."""
    parser.add_argument(
        'version',
        type=parse_version,
        metavar='VERSION',
        help='the version whose content is wanted again',
    )
    parser.add_argument(
        '--base',
        type=parse_version,
        metavar='VERSION',
        help='restore only if this version is in force',
    )
    _add_publisher(parser)


def add_recover_arguments(parser: ArgumentParser) -> None:
    """Add a file and a version above any that was ever in force."""
    add_file(parser)
    parser.add_argument(
        'version',
        type=parse_version,
        metavar='VERSION',
        help='a version above any that was ever in force',
    )


def _add_publisher(parser: ArgumentParser) -> None:
    parser.add_argument(
        '--publish-id',
        type=parse_identifier,
        metavar='ID',
        help='settle an earlier publish that ended without an answer',
    )
    parser.add_argument(
        '--by',
        type=parse_identifier,
        metavar='NAME',
        help='who publishes; the user if left out',
    )
