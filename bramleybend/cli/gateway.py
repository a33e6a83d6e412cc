"""`bramleybend-gateway`: see `--help`."""

import os
import sys
from collections.abc import Sequence

from bramleybend.cli.serving import Environment, serve, system_environment
from bramleybend.gateway.gateway_process import make_gateway
from bramleybend.settings import ProcessKind, program_of
from bramleybend.status import ExitStatus


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Serve until told to stop; return what the shell gets."""
    return serve(program_of(ProcessKind.GATEWAY), make_gateway, args, env)


def run() -> None:
    """Start as a console script."""
    sys.exit(main(sys.argv[1:], system_environment(os.environ)))


if __name__ == '__main__':
    run()
