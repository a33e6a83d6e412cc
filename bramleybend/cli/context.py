"""The context of a command: its flags, environment and log access."""

from dataclasses import dataclass, field

from bramleybend.cli.argument_types import VmAddress
from bramleybend.cli.constants import (
    ENV_LOG_SERVICE,
    ENV_USER,
    ENV_VM_LIST,
    GATEWAY_PORT,
    SCHEDULER_PORT,
    TIMEOUT_S,
)
from bramleybend.cli.environment import Environment
from bramleybend.cli.exceptions import fail, unwrap
from bramleybend.cli.history import History
from bramleybend.clients.log_service import LogService
from bramleybend.errors import ErrorKind


@dataclass
class Flags:
    """All flags and arguments; `argparse` sets those that a command has."""

    command: str = ''
    files: list[str] = field(default_factory=list)
    file: str = ''
    version: int | None = None
    base: int | None = None
    publish_id: str = ''
    by: str = ''
    target: str = ''
    request_id: str = ''
    logs: list[str] = field(default_factory=list)
    document: bool = False
    log_service: str = ''
    vm_list: str = ''
    vms: list[VmAddress] = field(default_factory=list)
    gateway_port: int = GATEWAY_PORT
    scheduler_port: int = SCHEDULER_PORT
    timeout_s: float = TIMEOUT_S
    as_json: bool = False


@dataclass(frozen=True)
class Context:
    """The flags and the environment of one command run."""

    env: Environment
    flags: Flags

    @property
    def vm_list_url(self) -> str:
        """The URL of the VM list, or an empty string."""
        return self.flags.vm_list or self.env.variables.get(ENV_VM_LIST, '')

    @property
    def log_url(self) -> str:
        """The URL of the log service, or an empty string."""
        given = self.flags.log_service
        return given or self.env.variables.get(ENV_LOG_SERVICE, '')

    @property
    def user(self) -> str:
        """Name of the publisher: `--by`, else the user, else `unknown`."""
        given = self.flags.by or self.env.variables.get(ENV_USER, '')
        return given or 'unknown'

    def open_log(self) -> LogService:
        """Return a client of the log, or end the command if none is set."""
        if not self.log_url:
            fail(
                ErrorKind.BAD_SETTING,
                '--log-service is not set',
                f'give --log-service or set {ENV_LOG_SERVICE}, for example '
                '--log-service http://10.0.9.1:9100',
            )
        return self.env.make_log(self.log_url)

    async def read_history(self) -> History:
        """Return the history of the terms, as far back as the log holds it."""
        history = History(self.open_log())
        unwrap(await history.read_and_check())
        return history

    async def read_recent_history(self) -> History:
        """Return the history of the terms since their last renewal."""
        history = History(self.open_log())
        unwrap(await history.read_recent())
        return history

    def report_progress(self, text: str) -> None:
        """Write a progress message to standard error, unless in JSON mode."""
        if not self.flags.as_json:
            self.env.stderr.write(f'{text}\n')
            self.env.stderr.flush()
