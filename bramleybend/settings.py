"""Settings of the serving programs, from flags and environment variables.

Flags, variables, `--help` and docs/operators/SETTINGS.md are all derived from
the fields of `Settings`, so they can't diverge.
"""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from result import Result

from bramleybend.errors import Problem
from bramleybend.settings_parsing import Program, Setting, parse_program
from bramleybend.settings_types import (
    HostPort,
    address_metadata,
    domain_metadata,
    log_level_metadata,
    parse_host_port,
    parse_port,
    parse_seconds,
    parse_url,
    setting_metadata,
    vm_name_metadata,
)

HTTP_PORT: Final = 8080
GATEWAY_PORT: Final = 7001
SCHEDULER_PORT: Final = 7002
TERMS_STALE_AFTER_S: Final = 10
LIST_POLL_S: Final = 1
# Longer than any request: a graceful shutdown interrupts no request in flight
# and ends with the last of them.
DRAIN_TIMEOUT_S: Final = 3600
# Offered by the gateway only: the scheduler opens no port to callers.
GATEWAY_ONLY: Final = frozenset(('http_port',))


class ProcessKind(StrEnum):
    """Which serving program reads the settings."""

    GATEWAY = 'gateway'
    SCHEDULER = 'scheduler'


@dataclass(frozen=True, kw_only=True)
class Settings:
    """The settings of one process, read at its start."""

    vm: str = field(metadata=vm_name_metadata())
    domain: str = field(metadata=domain_metadata())
    address: str = field(metadata=address_metadata())
    http_port: int = field(
        default=HTTP_PORT,
        metadata=setting_metadata(
            parse_port,
            'port for callers; the same on every entry VM',
            '8080',
        ),
    )
    gateway_port: int = field(
        default=GATEWAY_PORT,
        metadata=setting_metadata(
            parse_port,
            'gRPC port of the gateways; the same on every entry VM',
            '7001',
        ),
    )
    scheduler_port: int = field(
        default=SCHEDULER_PORT,
        metadata=setting_metadata(
            parse_port,
            'gRPC port of the schedulers; the same on every entry VM',
            '7002',
        ),
    )
    log_service: str = field(
        metadata=setting_metadata(
            parse_url, 'URL of the log service', 'http://10.0.9.1:9100'
        ),
    )
    vm_list: str = field(
        metadata=setting_metadata(
            parse_url, 'URL of the VM list', 'http://10.0.9.2:9200'
        ),
    )
    statsd: HostPort | None = field(
        default=None,
        metadata=setting_metadata(
            parse_host_port,
            'statsd to send metrics to; none are sent when not set',
            '127.0.0.1:8125',
        ),
    )
    log_level: str = field(default='INFO', metadata=log_level_metadata())
    terms_stale_after_s: float = field(
        default=TERMS_STALE_AFTER_S,
        metadata=setting_metadata(
            parse_seconds,
            'seconds without word of the terms from the log or a peer '
            'after which nothing new is admitted',
            '10',
        ),
    )
    list_poll_s: float = field(
        default=LIST_POLL_S,
        metadata=setting_metadata(
            parse_seconds, 'seconds between two looks at the VM list', '1'
        ),
    )
    drain_timeout_s: float = field(
        default=DRAIN_TIMEOUT_S,
        metadata=setting_metadata(
            parse_seconds,
            'seconds that a planned stop waits at most for requests in '
            'flight; it ends with the last of them',
            '3600',
        ),
    )


def program_of(kind: ProcessKind) -> Program[Settings]:
    """Return the definition of a serving program."""
    hidden = frozenset() if kind is ProcessKind.GATEWAY else GATEWAY_ONLY
    return Program(f'bramleybend-{kind.value}', Settings, hidden)


def settings_of(kind: ProcessKind) -> Iterator[Setting]:
    """Yield the settings that a program offers, in the order of its help."""
    return program_of(kind).offered_settings()


def parse_settings(
    kind: ProcessKind,
    args: Sequence[str],
    env: Mapping[str, str],
) -> Result[Settings, Problem]:
    """Return the settings, or the first error; flags override variables."""
    return parse_program(program_of(kind), args, env)
