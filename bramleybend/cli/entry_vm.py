"""`bramleybend-entry`: see `--help`."""

import os
import sys
from importlib import import_module

from bramleybend.early_listener import listen_early


def run() -> None:
    """Start as a console script."""
    listen_early(os.environ)
    # Imported only now; `early_listener` tells why.
    program = import_module('bramleybend.cli.entry_program')
    sys.exit(program.main_from_console())


if __name__ == '__main__':
    run()
