"""Enters an operators' program from the console."""

import os
import sys
from collections.abc import Callable, Sequence
from typing import NoReturn

from bramleybend.cli.environment import Environment
from bramleybend.status import ExitStatus


def enter(main: Callable[[Sequence[str], Environment], ExitStatus]) -> NoReturn:
    """Run `main` on the real arguments and end with its exit code."""
    try:
        status = main(sys.argv[1:], Environment())
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader, such as `head`, has seen enough. Python flushes once
        # more at its end and would complain, so that flush goes nowhere.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        status = ExitStatus.OK
    except KeyboardInterrupt:
        sys.stderr.write('interrupted; what was sent may have taken effect\n')
        status = ExitStatus.INTERRUPTED
    sys.exit(status)
