"""The main program of `bramleybend-entry`, loaded by `entry_vm`."""

import os
import sys
from collections.abc import Sequence

from bramleybend.cli.serving import Environment, serve, system_environment
from bramleybend.entry_settings import ENTRY
from bramleybend.exit_status import ExitStatus
from bramleybend.platform.platform_process import make_platform_process


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Serve until a stop signal; return the exit status."""
    return serve(ENTRY, make_platform_process, args, env)


def main_from_console() -> ExitStatus:
    """Serve with the arguments, variables and streams of this process."""
    return main(sys.argv[1:], system_environment(os.environ))
