"""The UDP socket between entry VMs, and the datagrams that wait in it."""

import logging
import socket
from collections.abc import Callable
from typing import Final, TypeAlias

from bramleybend.clock import Clock

Endpoint: TypeAlias = tuple[str, int]
Datagram: TypeAlias = tuple[bytes, Endpoint]

MAX_DATAGRAM_BYTES: Final = 65_535
# A bound for one pass, so that the event loop also serves callers' connections
# between the datagrams of a burst.
MAX_DATAGRAMS_PER_READ: Final = 64
# The socket is read in each heartbeat interval, if not by its events.
MAX_UNREAD_S: Final = 0.3

logger = logging.getLogger(__name__)


def bind_socket(address: str, port: int) -> socket.socket:
    """Open a non-blocking UDP socket at a local address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((address, port))
    return sock


class ReceivedDatagrams:
    """Reads a socket, and bounds how long its datagrams waited to be read.

    While a VM is suspended or its event loop is late, datagrams wait in the
    socket. What they tell is as old as that wait, and nothing in them shows it.
    """

    def __init__(
        self, receive: Callable[[], Datagram | None], clock: Clock
    ) -> None:
        """Read by `receive`, which returns `None` if no datagram waits."""
        self._receive = receive
        self._clock = clock
        self._emptied_at = clock.monotonic()

    def read(self, handle: Callable[[bytes, str], None]) -> None:
        """Handle `MAX_DATAGRAMS_PER_READ` datagrams at most.

        `handle` gets the payload and the address of the sender.
        """
        for _ in range(MAX_DATAGRAMS_PER_READ):
            asked_at = self._clock.monotonic()
            datagram = self._receive()
            if datagram is None:
                self._emptied_at = asked_at
                return
            payload, sender = datagram
            handle(payload, sender[0])

    def received_since(self) -> float:
        """Return a time before which no unread datagram had arrived.

        It is the present unless the socket was not read for `MAX_UNREAD_S`.
        """
        now = self._clock.monotonic()
        if now - self._emptied_at <= MAX_UNREAD_S:
            return now
        return self._emptied_at


def receive_from(sock: socket.socket) -> Datagram | None:
    """Return the next datagram, or `None` if none waits."""
    try:
        return sock.recvfrom(MAX_DATAGRAM_BYTES)
    except BlockingIOError:
        return None
    except OSError as exc:
        logger.debug('receiving a datagram failed: %s', exc)
        return None


def receive_nothing() -> None:
    """Stand in for a socket that is not bound yet."""
