"""What a setting's value may be; each reads its text or says how to write it."""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from ipaddress import ip_address
from math import isfinite
from types import MappingProxyType
from typing import Any, Final
from urllib.parse import urlsplit

PORT_LIMIT: Final = 65_535
NAME_FORM: Final = re.compile('[a-z0-9][a-z0-9-]{0,62}')
LOG_LEVELS: Final = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
ABOUT: Final = 'about'  # the key of a field's metadata

Read = Callable[[str], Any]


@dataclass(frozen=True)
class About:
    """What the help and the operators' page say of a setting."""

    read: Read  # raises ValueError
    description: str
    example: str


@dataclass(frozen=True)
class HostPort:
    """Where a service listens."""

    host: str
    port: int


def about(read: Read, description: str, example: str) -> Mapping[str, About]:
    """Return the metadata of a setting's field."""
    return MappingProxyType({ABOUT: About(read, description, example)})


def text(given: str) -> str:
    """Take any text."""
    return given


def name(given: str) -> str:
    """Read a name that also fits into metrics and logs."""
    if not NAME_FORM.fullmatch(given):
        raise ValueError('write up to 63 small letters, digits and hyphens')
    return given


def address(given: str) -> str:
    """Read an IP address that others can connect to."""
    if ip_address(given).is_unspecified:
        raise ValueError('callers cannot connect to an unspecified address')
    return given


def port(given: str) -> int:
    """Read a port."""
    if not given.isdecimal() or not 0 < int(given) <= PORT_LIMIT:
        raise ValueError(f'write a whole number from 1 to {PORT_LIMIT}')
    return int(given)


def host_port(given: str) -> HostPort:
    """Read an address with its port."""
    host, _, number = given.rpartition(':')
    if not host:
        raise ValueError('write it as host:port')
    return HostPort(host, port(number))


def url(given: str) -> str:
    """Read the root of an HTTP service."""
    parts = urlsplit(given)
    whole = parts.scheme == 'http' and parts.hostname and parts.port != 0
    if not whole or parts.query or parts.fragment:
        raise ValueError('write it as http://host:port')
    return given.rstrip('/')


def amount(given: str) -> float:
    """Read a number that may be nothing."""
    number = float(given)
    if not isfinite(number) or number < 0:
        raise ValueError('write a number that is not below 0')
    return number


def seconds(given: str) -> float:
    """Read a span of time."""
    number = amount(given)
    if not number:
        raise ValueError('write a number above 0')
    return number


def log_level(given: str) -> str:
    """Read how much is logged."""
    if given not in LOG_LEVELS:
        shown = ', '.join(repr(level) for level in LOG_LEVELS)
        raise ValueError(f'write one of {shown}')
    return given


def vm_name() -> Mapping[str, About]:
    """Describe the setting that all programs of a VM share."""
    return about(
        name,
        'name of this VM, as the VM list has it where there is one',
        'entry-walton-1',
    )


def domain_name() -> Mapping[str, About]:
    """Describe the setting that all programs of a VM share."""
    return about(name, 'failure domain of this VM', 'walton')


def own_address() -> Mapping[str, About]:
    """Describe the setting that all programs of a VM share."""
    return about(
        address,
        'IP address to listen on and to give to callers and peers',
        '10.0.1.11',
    )


def least_level() -> Mapping[str, About]:
    """Describe the setting that all programs of a VM share."""
    return about(
        log_level, 'least level that is logged; events are INFO', 'INFO'
    )
