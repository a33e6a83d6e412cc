"""The socket between entry VMs, and the datagrams that wait in it."""

import logging
import socket
from collections.abc import Iterator
from typing import Final, TypeAlias

Endpoint: TypeAlias = tuple[str, int]
Datagram: TypeAlias = tuple[bytes, Endpoint]

LARGEST: Final = 65_535  # bytes of a datagram
# Callers' connections have their turn in between.
MOST_A_TURN: Final = 64

logger = logging.getLogger(__name__)


def bind(address: str, port: int) -> socket.socket:
    """Open a socket that never blocks."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((address, port))
    return sock


def waiting(sock: socket.socket) -> Iterator[Datagram]:
    """Yield the datagrams that have come, those of one turn at most."""
    for _ in range(MOST_A_TURN):
        try:
            yield sock.recvfrom(LARGEST)
        except BlockingIOError:
            return
        except OSError as exc:
            logger.debug('a datagram was refused: %s', exc)
            return
