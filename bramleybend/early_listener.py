"""Opens the listening socket before the program's libraries are loaded.

Load pattern: all VMs lose power and restart under full traffic.
Without it: a VM refuses connections for the 0.45 s of CPU time that its
imports take, and a caller that tries two such VMs has used up its one retry.
With it, connections wait in the kernel's accept queue and their requests are
read as soon as the program runs. If the program dies before that, the kernel
resets the connections with their requests unread, which tells the callers
that nothing was run.

This module imports very little, because its own imports delay the socket.
"""

import os
import socket
from collections.abc import Mapping
from typing import Final, TypeAlias

BACKLOG: Final = 1024
FILE_VARIABLE: Final = 'BRAMLEYBEND_SETTINGS'
FRONT_VARIABLE: Final = 'BRAMLEYBEND_FRONT'

Address: TypeAlias = tuple[str, int]

_listeners: Final[dict[Address, socket.socket]] = {}


def listen_early(env: Mapping[str, str]) -> None:
    """Listen on the address in the variables or in the settings file.

    Invalid or missing settings are ignored; the program reports them later.
    """
    address = env.get(FRONT_VARIABLE) or _read_front_from_file(
        env.get(FILE_VARIABLE, '')
    )
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal():
        return
    try:
        _listeners[host, int(port)] = _listen(host, int(port))
    except (OSError, OverflowError):
        # The program tries again later and reports the error.
        return


def open_listener(host: str, port: int) -> socket.socket:
    """Return the socket opened by `listen_early`, or open one now.

    Raises `OSError` or `OverflowError` if the address can't be bound.
    """
    listener = _listeners.pop((host, port), None)
    return _listen(host, port) if listener is None else listener


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


def _read_front_from_file(path: str) -> str:
    if not path or not os.path.isfile(path):
        return ''
    with open(path, encoding='utf-8', errors='replace') as lines:
        for line in lines:
            name, _, setting = line.partition('=')
            if name.strip() == FRONT_VARIABLE:
                return setting.strip()
    return ''
