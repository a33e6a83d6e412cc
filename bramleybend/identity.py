"""Who a process is: its VM, and the incarnation that dies with it."""

from dataclasses import dataclass
from secrets import token_hex
from typing import Final

INCARNATION_BYTES: Final = 8


@dataclass(frozen=True)
class Identity:
    """A process's place and incarnation.

    A VM replaced at an old address gets a new incarnation, so it is a
    stranger to every message meant for the old one.
    """

    vm: str
    domain: str
    address: str
    incarnation: str


def make_identity(vm: str, domain: str, address: str) -> Identity:
    """Mint an incarnation that no other process ever had."""
    return Identity(vm, domain, address, token_hex(INCARNATION_BYTES))
