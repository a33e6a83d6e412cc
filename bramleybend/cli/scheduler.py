"""Entry point of `bramleybend-scheduler`."""

import os
import sys
from collections.abc import Sequence

from bramleybend.cli.serving import Environment, serve, system_environment
from bramleybend.exit_status import ExitStatus
from bramleybend.scheduler.core import make_scheduler
from bramleybend.settings import ProcessKind, program_of


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Serve until a stop signal; return the exit status."""
    return serve(program_of(ProcessKind.SCHEDULER), make_scheduler, args, env)


def run() -> None:
    """Run as a console script."""
    sys.exit(main(sys.argv[1:], system_environment(os.environ)))


if __name__ == '__main__':
    run()
