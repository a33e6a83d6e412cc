"""The UDP socket between entry VMs, and reads of its pending datagrams."""

import logging
import socket
from collections.abc import Iterator
from typing import Final, TypeAlias

Endpoint: TypeAlias = tuple[str, int]
Datagram: TypeAlias = tuple[bytes, Endpoint]

MAX_DATAGRAM_BYTES: Final = 65_535
# A bound for one pass, so that the event loop also serves callers' connections
# between the datagrams of a burst.
MAX_DATAGRAMS_PER_READ: Final = 64

logger = logging.getLogger(__name__)


def bind_socket(address: str, port: int) -> socket.socket:
    """Open a non-blocking UDP socket at a local address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((address, port))
    return sock


def pending_datagrams(sock: socket.socket) -> Iterator[Datagram]:
    """Yield received datagrams, `MAX_DATAGRAMS_PER_READ` at most."""
    for _ in range(MAX_DATAGRAMS_PER_READ):
        try:
            yield sock.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            logger.debug('receiving a datagram failed: %s', exc)
            return
