"""Settings of the entry VM's program."""

from typing import Annotated, Final, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from bramleybend.decisions.allotments import Tolerance
from bramleybend.settings_parsing import Program
from bramleybend.settings_types import (
    Address,
    Amount,
    HostPort,
    Name,
    Port,
    Seconds,
    split_host_port,
)

# As the users' contracts have them at the time of writing; each deployment
# states its own.
DRAIN_TIMEOUT_S: Final = 8
RESEND_RATIO: Final = 0.2
RESEND_EXTRA: Final = 52
RESEND_WINDOW_S: Final = 10
ALLOTMENT_WINDOW_S: Final = 8

Endpoint = Annotated[HostPort, BeforeValidator(split_host_port)]


class EntrySettings(BaseModel):
    """What one process is told at its start."""

    model_config = ConfigDict(frozen=True, extra='forbid')

    settings: str = Field(
        default='',
        description='file with lines BRAMLEYBEND_NAME=value',
        examples=['/etc/bramleybend/settings.conf'],
    )
    vm: Name = Field(
        description='name of this VM',
        examples=['entry-walton-1'],
    )
    domain: Name = Field(
        description='failure domain of this VM',
        examples=['walton'],
    )
    address: Address = Field(
        description='IP address to listen on and to give to callers and peers',
        examples=['10.0.1.11'],
    )
    front: Endpoint = Field(
        description='where callers connect; the same port on every entry VM',
        examples=['10.0.1.11:8221'],
    )
    ready: Endpoint = Field(
        description='where the readiness check is answered',
        examples=['10.0.1.11:8224'],
    )
    directory: Endpoint = Field(
        description='where callers ask for addresses',
        examples=['10.0.1.11:8220'],
    )
    metrics: Endpoint | None = Field(
        default=None,
        description='where metrics are served, under /metrics; they are also '
        'served beside the readiness check',
        examples=['10.0.1.11:9464'],
    )
    peer_port: Port = Field(
        description='UDP port between entry VMs; the same on every one',
        examples=['7600'],
    )
    seeds: str = Field(
        default='',
        description='host:port of other entry VMs, joined by commas; the '
        'ports are left out of account',
        examples=['10.0.1.11:8229,10.0.2.11:8229'],
    )
    store: Endpoint = Field(
        description="address of the platform's metadata store",
        examples=['10.200.1.7:8225'],
    )
    drain_timeout_s: Seconds = Field(
        default=DRAIN_TIMEOUT_S,
        description='seconds from the signal to stop until the process is '
        'killed; it ends with the last request in flight',
        examples=['8'],
    )
    resend_ratio: Amount = Field(
        default=RESEND_RATIO,
        description='requests sent to a second runner, for each request, '
        'over all VMs',
        examples=['0.2'],
    )
    resend_extra: Amount = Field(
        default=RESEND_EXTRA,
        description='requests sent to a second runner beyond the ratio in a '
        'window, over all VMs',
        examples=['52'],
    )
    resend_window_s: Seconds = Field(
        default=RESEND_WINDOW_S,
        description='seconds of that window',
        examples=['10'],
    )
    allotment_window_s: Seconds = Field(
        default=ALLOTMENT_WINDOW_S,
        description='seconds of the window in which the tolerance of '
        "workspaces' allotments counts",
        examples=['8'],
    )
    allotment_overage: Amount = Field(
        default=0,
        description='part of an allotment that may go beyond it in a window, '
        'over all VMs',
        examples=['0.1'],
    )
    allotment_slack: Amount = Field(
        default=0,
        description='units (tokens or requests) that may go beyond an '
        'allotment in a window, over all VMs',
        examples=['190000'],
    )
    log_level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = Field(
        default='INFO',
        description='least level that is logged; events are INFO',
        examples=['INFO'],
    )

    def seed_addresses(self) -> list[str]:
        """Return the addresses of other entry VMs, without our own."""
        hosts = [part.rpartition(':')[0] for part in self.seeds.split(',')]
        return [host for host in hosts if host and host != self.address]

    def allotment_tolerance(self) -> Tolerance:
        """Return what may go beyond an allotment."""
        return Tolerance(
            self.allotment_window_s,
            self.allotment_overage,
            self.allotment_slack,
        )

    def shown(self) -> dict[str, str]:
        """Return what the log tells of them at the start."""
        return {
            'at': f'{self.front.host}:{self.front.port}',
            'store': f'{self.store.host}:{self.store.port}',
            'domain': self.domain,
            'seeds': self.seeds,
        }


ENTRY: Final = Program('bramleybend-entry', EntrySettings, bounded_log=True)
