"""What every command is given: its flags and its environment."""

from dataclasses import dataclass, field

from bramleybend.cli.argtypes import VmAddress
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
    """Every flag and argument; `argparse` fills in what a command has."""

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
    """One run of one command."""

    env: Environment
    flags: Flags

    @property
    def vm_list_url(self) -> str:
        """The VM list's URL, or an empty text."""
        return self.flags.vm_list or self.env.variables.get(ENV_VM_LIST, '')

    @property
    def log_url(self) -> str:
        """The log's URL, or an empty text."""
        given = self.flags.log_service
        return given or self.env.variables.get(ENV_LOG_SERVICE, '')

    @property
    def user(self) -> str:
        """Who publishes."""
        given = self.flags.by or self.env.variables.get(ENV_USER, '')
        return given or 'unknown'

    def log(self) -> LogService:
        """Return a client of the log, which must be set."""
        if not self.log_url:
            fail(
                ErrorKind.BAD_SETTING,
                '--log-service is not set',
                f'give --log-service or set {ENV_LOG_SERVICE}, for example '
                '--log-service http://10.0.9.1:9100',
            )
        return self.env.make_log(self.log_url)

    async def history(self) -> History:
        """Return the terms stream, all that the log still holds."""
        history = History(self.log())
        unwrap(await history.read_on())
        return history

    async def recent(self) -> History:
        """Return the terms stream from its last renewal on."""
        history = History(self.log())
        unwrap(await history.read_recent())
        return history

    def progress(self, text: str) -> None:
        """Tell people what goes on, apart from the output proper."""
        if not self.flags.as_json:
            self.env.stderr.write(f'{text}\n')
            self.env.stderr.flush()
