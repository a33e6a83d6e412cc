"""Writes docs/operators/SETTINGS.md: `python -m bramleybend.settings_page`."""

import sys
from itertools import starmap
from typing import Final

from pydantic.fields import FieldInfo

from bramleybend.entry_settings import ENTRY
from bramleybend.settings import GATEWAY_ONLY, ProcessKind, fields_of
from bramleybend.settings_parsing import env_of, example_of, flag_of

INTRODUCTION: Final = """# Settings of the serving programs

Written by `python -m bramleybend.settings_page`; do not edit. A test compares
this page with the code.

Each setting has one flag and one environment variable. The flag goes first;
an empty variable counts as not set. A wrong value, an unknown flag or an
unknown `BRAMLEYBEND_` variable ends the program at its start with exit code 2
and a line that names the flag, the value and the remedy.

| Flag | Variable | Programs | Default | Example | Meaning |
|---|---|---|---|---|---|
"""


ENTRY_INTRODUCTION: Final = """
## bramleybend-entry

The program of an entry VM on the users' platform. Its settings may also stand
in a file, which `--settings` names: lines `BRAMLEYBEND_NAME=value`, which flags
and variables go before. At `SIGHUP` it learns new seeds from that file; all
else holds until the next start.

| Flag | Variable | Programs | Default | Example | Meaning |
|---|---|---|---|---|---|
"""


def settings_page() -> str:
    """Return the whole page."""
    both = ''.join(starmap(_shared_row, fields_of(ProcessKind.GATEWAY)))
    entry = ''.join(starmap(_entry_row, ENTRY.fields()))
    return INTRODUCTION + both + ENTRY_INTRODUCTION + entry


def _shared_row(name: str, info: FieldInfo) -> str:
    return _row(name, info, 'gateway' if name in GATEWAY_ONLY else 'both')


def _entry_row(name: str, info: FieldInfo) -> str:
    return _row(name, info, 'entry')


def _row(name: str, info: FieldInfo, programs: str) -> str:
    default = str(info.default or 'none')
    cells = [
        f'`{flag_of(name)}`',
        f'`{env_of(name)}`',
        programs,
        'required' if info.is_required() else default,
        f'`{example_of(info)}`',
        str(info.description),
    ]
    joined = ' | '.join(cells)
    return f'| {joined} |\n'


if __name__ == '__main__':
    sys.stdout.write(settings_page())
