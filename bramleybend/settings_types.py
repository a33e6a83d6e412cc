"""Parsers for the values of settings, and the settings' metadata.

Each parser raises `ValueError` with the expected form if the text is invalid.
"""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from ipaddress import ip_address
from math import isfinite
from types import MappingProxyType
from typing import Any, Final
from urllib.parse import urlsplit

PORT_LIMIT: Final = 65_535
NAME_PATTERN: Final = re.compile('[a-z0-9][a-z0-9-]{0,62}')
LOG_LEVELS: Final = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
INFO_KEY: Final = 'about'  # key in the metadata of a dataclass field

SettingParser = Callable[[str], Any]


@dataclass(frozen=True)
class SettingInfo:
    """The parser of a setting, and its text in the help and operators' page."""

    parse: SettingParser  # raises `ValueError`
    description: str
    example: str


@dataclass(frozen=True)
class HostPort:
    """The address and port of a service."""

    host: str
    port: int


def setting_metadata(
    parse: SettingParser, description: str, example: str
) -> Mapping[str, SettingInfo]:
    """Return the metadata for the dataclass field of a setting."""
    return MappingProxyType(
        {INFO_KEY: SettingInfo(parse, description, example)}
    )


def parse_text(text: str) -> str:
    """Accept any text."""
    return text


def parse_name(text: str) -> str:
    """Parse a name that is valid in metric names and log lines."""
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError('write up to 63 small letters, digits and hyphens')
    return text


def parse_address(text: str) -> str:
    """Parse an IP address that other machines can connect to."""
    if ip_address(text).is_unspecified:
        raise ValueError('callers cannot connect to an unspecified address')
    return text


def parse_port(text: str) -> int:
    """Parse a port number."""
    if not text.isdecimal() or not 0 < int(text) <= PORT_LIMIT:
        raise ValueError(f'write a whole number from 1 to {PORT_LIMIT}')
    return int(text)


def parse_host_port(text: str) -> HostPort:
    """Parse `host:port`."""
    host, _, number = text.rpartition(':')
    if not host:
        raise ValueError('write it as host:port')
    return HostPort(host, parse_port(number))


def parse_url(text: str) -> str:
    """Parse the base URL of an HTTP service."""
    parts = urlsplit(text)
    is_valid = parts.scheme == 'http' and parts.hostname and parts.port != 0
    if not is_valid or parts.query or parts.fragment:
        raise ValueError('write it as http://host:port')
    return text.rstrip('/')


def parse_amount(text: str) -> float:
    """Parse a finite number of 0 or more."""
    number = float(text)
    if not isfinite(number) or number < 0:
        raise ValueError('write a number that is not below 0')
    return number


def parse_seconds(text: str) -> float:
    """Parse a duration above 0, in seconds."""
    number = parse_amount(text)
    if not number:
        raise ValueError('write a number above 0')
    return number


def parse_log_level(text: str) -> str:
    """Parse a log level."""
    if text not in LOG_LEVELS:
        shown = ', '.join(repr(level) for level in LOG_LEVELS)
        raise ValueError(f'write one of {shown}')
    return text


def vm_name_metadata() -> Mapping[str, SettingInfo]:
    """Return the metadata of the VM name, a setting of all programs."""
    return setting_metadata(
        parse_name,
        'name of this VM, as the VM list has it where there is one',
        'entry-walton-1',
    )


def domain_metadata() -> Mapping[str, SettingInfo]:
    """Return the metadata of the failure domain, a setting of all programs."""
    return setting_metadata(parse_name, 'failure domain of this VM', 'walton')


def address_metadata() -> Mapping[str, SettingInfo]:
    """Return the metadata of the IP address, a setting of all programs."""
    return setting_metadata(
        parse_address,
        'IP address to listen on and to give to callers and peers',
        '10.0.1.11',
    )


def log_level_metadata() -> Mapping[str, SettingInfo]:
    """Return the metadata of the log level, a setting of all programs."""
    return setting_metadata(
        parse_log_level, 'least level that is logged; events are INFO', 'INFO'
    )
