"""Writes docs/operators/SETTINGS.md: `python -m bramleybend.settings_page`."""

import sys
from collections.abc import Iterator
from typing import Final

from pydantic.fields import FieldInfo

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


def settings_page() -> str:
    """Return the whole page."""
    return INTRODUCTION + ''.join(_rows())


def _rows() -> Iterator[str]:
    for name, info in fields_of(ProcessKind.GATEWAY):
        cells = ' | '.join(_cells(name, info))
        yield f'| {cells} |\n'


def _cells(name: str, info: FieldInfo) -> Iterator[str]:
    yield f'`{flag_of(name)}`'
    yield f'`{env_of(name)}`'
    yield 'gateway' if name in GATEWAY_ONLY else 'both'
    yield 'required' if info.is_required() else str(info.default or 'none')
    yield f'`{example_of(info)}`'
    yield str(info.description)


if __name__ == '__main__':
    sys.stdout.write(settings_page())
