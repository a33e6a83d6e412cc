"""Parsers for values of flags; each error shows the expected form."""

import math
from argparse import ArgumentTypeError
from dataclasses import dataclass
from ipaddress import ip_address
from urllib.parse import urlsplit

from bramleybend.models import Tier
from bramleybend.settings_types import PORT_LIMIT


@dataclass(frozen=True)
class VmAddress:
    """A VM by its IP, or one of its processes by `ip:port`."""

    address: str
    port: int | None = None


def parse_version(text: str) -> int:
    """Parse a version number."""
    if not text.isdecimal():
        raise ArgumentTypeError(f'{text!r} is not a version; write e.g. 12')
    return int(text)


def parse_seconds(text: str) -> float:
    """Parse a duration in seconds."""
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not 0 < number < math.inf:
        raise ArgumentTypeError(f'{text!r} is not a time; write e.g. 30')
    return number


def parse_port(text: str) -> int:
    """Parse a port number."""
    if not text.isdecimal() or not 0 < int(text) <= PORT_LIMIT:
        raise ArgumentTypeError(f'{text!r} is not a port; write e.g. 7001')
    return int(text)


def parse_vm_address(text: str) -> VmAddress:
    """Parse `ip` or `ip:port`."""
    host, _, number = text.partition(':')
    try:
        ip_address(host)
    except ValueError as exc:
        raise ArgumentTypeError(
            f'{text!r} is not an IP address; write 10.0.1.11 or 10.0.1.11:7001',
        ) from exc
    return VmAddress(host, parse_port(number) if number else None)


def parse_url(text: str) -> str:
    """Parse the base URL of an HTTP service."""
    try:
        parts = urlsplit(text)
        is_valid = parts.scheme == 'http' and parts.hostname and parts.port != 0
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ArgumentTypeError(
            f'{text!r} is not a URL; write e.g. http://10.0.9.1:9100',
        )
    return text.rstrip('/')


def parse_identifier(text: str) -> str:
    """Parse an id: printable text without spaces."""
    if not text or not text.isprintable() or ' ' in text:
        raise ArgumentTypeError(f'{text!r} is not an id; copy it whole')
    return text


def parse_tier(text: str) -> int:
    """Parse a tier number."""
    if text not in {str(known.value) for known in Tier}:
        raise ArgumentTypeError(f'{text!r} is not a tier; write 1, 2, 3 or 4')
    return int(text)
