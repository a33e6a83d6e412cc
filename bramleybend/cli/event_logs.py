"""Reads event logs that are given as files or directories."""

from collections.abc import Iterator, Sequence
from pathlib import Path

from bramleybend.cli.exceptions import fail, unwrap
from bramleybend.errors import ErrorKind
from bramleybend.timeline.read import Source, read_file


def read_logs(paths: Sequence[str]) -> Iterator[Source]:
    """Read each file, and the `*.log` files of each directory."""
    for name in paths:
        path = Path(name)
        if path.is_dir():
            yield from _read_directory(path)
        else:
            yield unwrap(read_file(path))


def _read_directory(directory: Path) -> Iterator[Source]:
    logs = sorted(directory.glob('*.log'))
    if not logs:
        fail(
            ErrorKind.UNKNOWN_NAME,
            f'{directory} holds no *.log files',
            'name the directory or the files that hold the event logs',
        )
    for log in logs:
        yield unwrap(read_file(log))
