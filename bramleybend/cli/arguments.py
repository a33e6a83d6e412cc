"""Arguments that some commands of `bramleybend-ctl` have of their own."""

from argparse import ArgumentParser

from bramleybend.cli.argtypes import (
    identifier,
    version,
)


def add_files(parser: ArgumentParser) -> None:
    """Take one declaration file or more."""
    parser.add_argument(
        'files',
        nargs='+',
        metavar='FILE',
        help='a declaration file, or - for standard input',
    )


def add_file(parser: ArgumentParser) -> None:
    """Take one declaration file."""
    parser.add_argument(
        'file',
        metavar='FILE',
        help='a declaration file, or - for standard input',
    )


def add_optional_version(parser: ArgumentParser) -> None:
    """Take a version or the newest."""
    parser.add_argument(
        'version',
        type=version,
        nargs='?',
        default=None,
        metavar='VERSION',
        help='a version number; the newest if left out',
    )


def add_document(parser: ArgumentParser) -> None:
    """Let the declaration itself be printed."""
    parser.add_argument(
        '--document',
        action='store_true',
        help='print the declaration itself',
    )


def add_request(parser: ArgumentParser) -> None:
    """Take a request id."""
    parser.add_argument(
        'request_id',
        type=identifier,
        metavar='REQUEST-ID',
        help='the whole id, as the caller sent it',
    )


def add_logs(parser: ArgumentParser) -> None:
    """Take event logs to read in place of asking the processes."""
    parser.add_argument(
        '--logs',
        nargs='+',
        metavar='FILE',
        help='event logs, or directories of *.log files: read the cause from '
        'them and ask no process',
    )


def add_needed_logs(parser: ArgumentParser) -> None:
    """Take event logs that a query can't do without."""
    parser.add_argument(
        '--logs',
        nargs='+',
        required=True,
        metavar='FILE',
        help='event logs of all VMs, or directories of *.log files',
    )


def add_target(parser: ArgumentParser) -> None:
    """Take the VM that is to be changed."""
    parser.add_argument(
        'target',
        metavar='VM',
        help='its name in the VM list, or its IP address',
    )


def add_publishing(parser: ArgumentParser) -> None:
    """Take a file and the version that it was made from."""
    add_file(parser)
    parser.add_argument(
        '--base',
        type=version,
        required=True,
        metavar='VERSION',
        help='the version that the change was made from; 0 for the first',
    )
    _add_publisher(parser)


def add_restoring(parser: ArgumentParser) -> None:
    """Take the version to restore."""
    parser.add_argument(
        'version',
        type=version,
        metavar='VERSION',
        help='the version whose content is wanted again',
    )
    parser.add_argument(
        '--base',
        type=version,
        metavar='VERSION',
        help='restore only if this version is in force',
    )
    _add_publisher(parser)


def add_recovering(parser: ArgumentParser) -> None:
    """Take a file and a version above all that there ever were."""
    add_file(parser)
    parser.add_argument(
        'version',
        type=version,
        metavar='VERSION',
        help='a version above any that was ever in force',
    )


def _add_publisher(parser: ArgumentParser) -> None:
    parser.add_argument(
        '--publish-id',
        type=identifier,
        metavar='ID',
        help='settle an earlier publish that ended without an answer',
    )
    parser.add_argument(
        '--by',
        type=identifier,
        metavar='NAME',
        help='who publishes; the user if left out',
    )
