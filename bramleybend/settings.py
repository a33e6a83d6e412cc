"""Settings of the serving programs, from flags and environment variables.

The fields of `Settings` are the only list: flags, variables, `--help` and
docs/operators/SETTINGS.md are all derived from it, so none can drift.
"""

from collections.abc import Iterator, Mapping, Sequence
from enum import StrEnum
from typing import Annotated, Final, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field
from pydantic.fields import FieldInfo
from result import Result

from bramleybend.errors import Problem
from bramleybend.settings_parsing import Program, parse_program
from bramleybend.settings_types import (
    Address,
    HostPort,
    Name,
    Port,
    Seconds,
    Url,
    split_host_port,
)

HTTP_PORT: Final = 8080
GATEWAY_PORT: Final = 7001
SCHEDULER_PORT: Final = 7002
TERMS_STALE_AFTER_S: Final = 10
LIST_POLL_S: Final = 1
# Longer than any request: a planned stop cuts off nothing in flight, and
# ends as soon as the last one has.
DRAIN_TIMEOUT_S: Final = 3600
# Shown by the gateway alone; the scheduler opens no port to callers.
GATEWAY_ONLY: Final = frozenset(('http_port',))


class ProcessKind(StrEnum):
    """Which serving program reads the settings."""

    GATEWAY = 'gateway'
    SCHEDULER = 'scheduler'


class Settings(BaseModel):
    """What one process is told at its start."""

    model_config = ConfigDict(frozen=True, extra='forbid')

    vm: Name = Field(
        description='name of this VM, as in the VM list',
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
    http_port: Port = Field(
        default=HTTP_PORT,
        description='port for callers; the same on every entry VM',
        examples=['8080'],
    )
    gateway_port: Port = Field(
        default=GATEWAY_PORT,
        description='gRPC port of the gateways; the same on every entry VM',
        examples=['7001'],
    )
    scheduler_port: Port = Field(
        default=SCHEDULER_PORT,
        description='gRPC port of the schedulers; the same on every entry VM',
        examples=['7002'],
    )
    log_service: Url = Field(
        description='URL of the log service',
        examples=['http://10.0.9.1:9100'],
    )
    vm_list: Url = Field(
        description='URL of the VM list',
        examples=['http://10.0.9.2:9200'],
    )
    statsd: Annotated[
        HostPort | None,
        BeforeValidator(split_host_port),
    ] = Field(
        default=None,
        description='statsd to send metrics to; none are sent when not set',
        examples=['127.0.0.1:8125'],
    )
    log_level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = Field(
        default='INFO',
        description='least level that is logged; events are INFO',
        examples=['INFO'],
    )
    terms_stale_after_s: Seconds = Field(
        default=TERMS_STALE_AFTER_S,
        description='seconds without word of the terms from the log or a peer '
        'after which nothing new is admitted',
        examples=['10'],
    )
    list_poll_s: Seconds = Field(
        default=LIST_POLL_S,
        description='seconds between two looks at the VM list',
        examples=['1'],
    )
    drain_timeout_s: Seconds = Field(
        default=DRAIN_TIMEOUT_S,
        description='seconds that a planned stop waits at most for requests in flight; it ends with the last of them',
        examples=['3600'],
    )


def program_of(kind: ProcessKind) -> Program[Settings]:
    """Return a program and what it offers."""
    hidden = frozenset() if kind is ProcessKind.GATEWAY else GATEWAY_ONLY
    return Program(f'bramleybend-{kind.value}', Settings, hidden)


def fields_of(kind: ProcessKind) -> Iterator[tuple[str, FieldInfo]]:
    """Yield the fields that a program offers, in the order of the help."""
    return program_of(kind).fields()


def parse_settings(
    kind: ProcessKind,
    args: Sequence[str],
    env: Mapping[str, str],
) -> Result[Settings, Problem]:
    """Return the settings, flags before variables, or the first wrong one."""
    return parse_program(program_of(kind), args, env)
