"""Output of commands: text tables for people, JSON for scripts."""

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final, TextIO

from bramleybend.errors import Problem
from bramleybend.exit_status import ExitStatus

COLUMN_GAP: Final = '  '
UNPRINTABLE: Final = '?'


@dataclass(frozen=True)
class Report:
    """The result of a command, as text and as data for JSON."""

    text: str
    data: object
    status: ExitStatus = ExitStatus.OK


def write_report(report: Report, stream: TextIO, *, as_json: bool) -> None:
    """Print a report to standard output."""
    text = json.dumps(report.data, indent=2) if as_json else report.text
    stream.write(text if text.endswith('\n') else f'{text}\n')


def write_problem(
    program: str,
    problem: Problem,
    stream: TextIO,
    *,
    as_json: bool,
) -> None:
    """Print an error to standard error."""
    if as_json:
        data = {
            'error': problem.kind.value,
            'detail': problem.detail,
            'remedy': problem.remedy,
        }
        stream.write(f'{json.dumps(data)}\n')
    else:
        stream.write(f'{program}: {replace_unprintable(str(problem))}\n')


def format_table(
    header: Sequence[str], rows: Iterable[Sequence[object]]
) -> str:
    """Return aligned columns under a header."""
    cells = [tuple(map(_format_cell, row)) for row in rows]
    lines = [tuple(header), *cells]
    columns = zip(*lines, strict=True)
    widths = [max(map(len, column)) for column in columns]
    return ''.join(_format_line(line, widths) for line in lines)


def replace_unprintable(text: str) -> str:
    """Replace unprintable characters: escape sequences and newlines."""
    return ''.join(
        character if character.isprintable() else UNPRINTABLE
        for character in text
    )


def _format_cell(item: object) -> str:
    if item is None or item == '':
        return '-'
    if isinstance(item, bool):
        return 'yes' if item else 'no'
    return replace_unprintable(str(item))


def _format_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    )
    text = COLUMN_GAP.join(padded).rstrip()
    return f'{text}\n'
