"""Listens for callers before the program's libraries are loaded.

Load pattern: all VMs lose power and start again under full traffic.
Without it: a VM refuses connections for the 0.45 s of processor time that its
imports take, and a caller that meets two such VMs has used up its one retry.
A connection that stands waits in the kernel's queue instead, and its request
is read as soon as the program runs. A program that dies meanwhile resets it
unread, which tells the caller that nothing was run.

This module imports next to nothing, as its own imports come first.
"""

import os
import socket
from collections.abc import Mapping
from typing import Final, TypeAlias

BACKLOG: Final = 1024
FILE_VARIABLE: Final = 'BRAMLEYBEND_SETTINGS'
FRONT_VARIABLE: Final = 'BRAMLEYBEND_FRONT'

Where: TypeAlias = tuple[str, int]

_listening: Final[dict[Where, socket.socket]] = {}


def listen_early(env: Mapping[str, str]) -> None:
    """Listen where the settings say, if they already say it.

    Wrong or missing settings are left to the program, which reports them.
    """
    where = env.get(FRONT_VARIABLE) or _from_file(env.get(FILE_VARIABLE, ''))
    host, _, port = where.rpartition(':')
    if not host or not port.isdecimal():
        return
    try:
        _listening[host, int(port)] = _listen(host, int(port))
    except (OSError, OverflowError):
        # The program tries again and tells why it cannot.
        return


def open_listener(host: str, port: int) -> socket.socket:
    """Return the socket that listens there, or listen now."""
    early = _listening.pop((host, port), None)
    return _listen(host, port) if early is None else early


def _listen(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(BACKLOG)
        sock.setblocking(False)
    except (OSError, OverflowError):
        sock.close()
        raise
    return sock


def _from_file(path: str) -> str:
    if not path or not os.path.isfile(path):
        return ''
    with open(path, encoding='utf-8', errors='replace') as lines:
        for line in lines:
            name, _, text = line.partition('=')
            if name.strip() == FRONT_VARIABLE:
                return text.strip()
    return ''
