"""The identity of a process: its VM and a random incarnation id."""

from dataclasses import dataclass
from secrets import token_hex
from typing import Final

INCARNATION_BYTES: Final = 8


@dataclass(frozen=True)
class Identity:
    """The location and the incarnation of a process.

    A process restarted or a VM replaced at the same address has a new
    incarnation, so it can reject messages meant for its predecessor.
    """

    vm: str
    domain: str
    address: str
    incarnation: str


def make_identity(vm: str, domain: str, address: str) -> Identity:
    """Return an identity with a new random incarnation."""
    return Identity(vm, domain, address, token_hex(INCARNATION_BYTES))
