"""Generates docs/operators/SETTINGS.md by `-m bramleybend.settings_page`."""

import sys
from typing import Final

from bramleybend.entry_settings import ENTRY
from bramleybend.settings import GATEWAY_ONLY, ProcessKind, settings_of
from bramleybend.settings_parsing import Setting, env_of, flag_of

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
    both = ''.join(map(_shared_row, settings_of(ProcessKind.GATEWAY)))
    entry = ''.join(map(_entry_row, ENTRY.offered_settings()))
    return INTRODUCTION + both + ENTRY_INTRODUCTION + entry


def _shared_row(setting: Setting) -> str:
    return _row(setting, 'gateway' if setting.name in GATEWAY_ONLY else 'both')


def _entry_row(setting: Setting) -> str:
    return _row(setting, 'entry')


def _row(setting: Setting, programs: str) -> str:
    default = str(setting.default or 'none')
    cells = [
        f'`{flag_of(setting.name)}`',
        f'`{env_of(setting.name)}`',
        programs,
        'required' if setting.is_required else default,
        f'`{setting.info.example}`',
        setting.info.description,
    ]
    joined = ' | '.join(cells)
    return f'| {joined} |\n'


if __name__ == '__main__':
    sys.stdout.write(settings_page())
