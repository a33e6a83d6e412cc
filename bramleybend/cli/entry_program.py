"""What `bramleybend-entry` does once its libraries are loaded."""

import os
import sys
from collections.abc import Sequence

from bramleybend.cli.serving import Environment, serve, system_environment
from bramleybend.entry_settings import ENTRY
from bramleybend.platform.platform_process import make_platform_process
from bramleybend.status import ExitStatus


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Serve until told to stop; return what the shell gets."""
    return serve(ENTRY, make_platform_process, args, env)


def main_from_console() -> ExitStatus:
    """Serve by the real arguments, variables and streams."""
    return main(sys.argv[1:], system_environment(os.environ))
