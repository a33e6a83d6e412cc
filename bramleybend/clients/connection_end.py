"""Tells an orderly end of a connection from one that cut a request off.

Failure: a peer answers a long upload before it has read it, without a length,
closes its side and then resets the connection. The part of the answer that it
sent would be taken for a whole one, as its end looks like that of an answer.
"""

import asyncio
import fcntl
import logging
import socket
import struct
import termios
from typing import Final

# A reset follows the end of the peer's bytes in this time.
RESET_GRACE_S: Final = 0.1
# A peer that has read the head of a shorter request has read its body, too.
LONG_REQUEST_BYTES: Final = 16_384
_COUNT: Final = struct.Struct('i')

logger = logging.getLogger(__name__)


def unacknowledged_bytes(transport: asyncio.WriteTransport) -> int:
    """Return the bytes that were written and haven't reached the peer."""
    buffered = transport.get_write_buffer_size()
    sock = transport.get_extra_info('socket')
    try:
        packed = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(_COUNT.size))
    except (OSError, ValueError) as exc:
        logger.debug('reading the size of a send queue failed: %s', exc)
        return buffered
    queued: int = _COUNT.unpack(packed)[0]
    return buffered + queued


def was_reset(transport: asyncio.WriteTransport) -> bool:
    """Tell whether the peer has reset a connection that it had ended."""
    sock = transport.get_extra_info('socket')
    try:
        return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
    except OSError as exc:
        logger.debug('reading the error of a socket failed: %s', exc)
        return True


async def require_no_reset(
    transport: asyncio.WriteTransport, sent_bytes: int
) -> None:
    """Raise `ConnectionResetError` if the peer resets what it has ended.

    A peer that has not read a request with a body of `sent_bytes` may have sent
    a part of its answer only.
    """
    if sent_bytes >= LONG_REQUEST_BYTES:
        await asyncio.sleep(RESET_GRACE_S)
    if was_reset(transport):
        raise ConnectionResetError('the connection was reset at its end')
