"""Runs an operators' program as a console script."""

import os
import sys
from collections.abc import Callable, Sequence
from typing import NoReturn

from bramleybend.cli.environment import Environment
from bramleybend.exit_status import ExitStatus


def enter(main: Callable[[Sequence[str], Environment], ExitStatus]) -> NoReturn:
    """Run `main` with the command line arguments; exit with its status."""
    try:
        status = main(sys.argv[1:], Environment())
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader, such as `head`, closed the pipe. Python flushes once
        # more at exit and would report an error, so stdout is redirected.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        status = ExitStatus.OK
    except KeyboardInterrupt:
        sys.stderr.write('interrupted; what was sent may have taken effect\n')
        status = ExitStatus.INTERRUPTED
    sys.exit(status)
