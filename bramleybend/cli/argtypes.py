"""What the values of flags may be; each error says how to write it."""

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


def version(text: str) -> int:
    """Read a version number."""
    if not text.isdecimal():
        raise ArgumentTypeError(f'{text!r} is not a version; write e.g. 12')
    return int(text)


def seconds(text: str) -> float:
    """Read a duration."""
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not 0 < number < math.inf:
        raise ArgumentTypeError(f'{text!r} is not a time; write e.g. 30')
    return number


def port(text: str) -> int:
    """Read a port."""
    if not text.isdecimal() or not 0 < int(text) <= PORT_LIMIT:
        raise ArgumentTypeError(f'{text!r} is not a port; write e.g. 7001')
    return int(text)


def vm_address(text: str) -> VmAddress:
    """Read `ip` or `ip:port`."""
    host, _, number = text.partition(':')
    try:
        ip_address(host)
    except ValueError as exc:
        raise ArgumentTypeError(
            f'{text!r} is not an IP address; write 10.0.1.11 or 10.0.1.11:7001',
        ) from exc
    return VmAddress(host, port(number) if number else None)


def url(text: str) -> str:
    """Read the URL of a platform service."""
    try:
        parts = urlsplit(text)
        whole = parts.scheme == 'http' and parts.hostname and parts.port != 0
    except ValueError:
        whole = False
    if not whole:
        raise ArgumentTypeError(
            f'{text!r} is not a URL; write e.g. http://10.0.9.1:9100',
        )
    return text.rstrip('/')


def identifier(text: str) -> str:
    """Read an id that is safe to print and to look for."""
    if not text or not text.isprintable() or ' ' in text:
        raise ArgumentTypeError(f'{text!r} is not an id; copy it whole')
    return text


def tier(text: str) -> int:
    """Read a tier."""
    if text not in {str(known.value) for known in Tier}:
        raise ArgumentTypeError(f'{text!r} is not a tier; write 1, 2, 3 or 4')
    return int(text)
