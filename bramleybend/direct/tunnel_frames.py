"""Frames of a tunnel: a connection to a runner through another VM.

The VM that opens a tunnel sends one `OPEN` frame, then the bytes for the runner
unframed. The other VM answers `OPENED` or `REFUSED`, then sends the runner's
bytes in `DATA` frames and why the runner's connection ended in an `END` frame.
A tunnel that ends without one was lost itself, which says nothing about the
runner.
"""

from collections.abc import Iterator
from enum import IntEnum, StrEnum
from struct import Struct
from typing import Final, TypeAlias

import msgspec

# Frames hold what was read at once from a socket.
MAX_FRAME_BYTES: Final = 1_048_576
_HEADER: Final = Struct('>BI')  # type, payload length in bytes


class FrameType(IntEnum):
    """What a frame holds."""

    OPEN = 0  # a `TunnelRequest`
    OPENED = 1  # nothing; the runner is connected
    REFUSED = 2  # a `RefusalReason`
    DATA = 3  # bytes from the runner
    END = 4  # an `EndReason`


class RefusalReason(StrEnum):
    """Why a tunnel was not opened."""

    UNREACHABLE = 'unreachable'  # the runner did not accept a connection
    UNKNOWN_RUNNER = 'unknown_runner'
    BUSY = 'busy'  # too many tunnels are open


class EndReason(StrEnum):
    """How the runner's connection ended."""

    CLOSED = 'closed'  # in an orderly way
    RESET = 'reset'
    TIMEOUT = 'timeout'  # sent bytes were not acknowledged


class TunnelRequest(msgspec.Struct, array_like=True):
    """Names the runner that a tunnel leads to."""

    service: str
    runner: str  # its incarnation


Frame: TypeAlias = tuple[FrameType, bytes]

encode_request: Final = msgspec.msgpack.Encoder().encode
decode_request: Final = msgspec.msgpack.Decoder(TunnelRequest).decode


class FrameError(ValueError):
    """The bytes of a tunnel are not valid frames."""


def encode_frame(kind: FrameType, payload: bytes = b'') -> bytes:
    """Return the bytes of one frame."""
    return _HEADER.pack(kind, len(payload)) + payload


class FrameReader:
    """Splits received bytes into frames."""

    def __init__(self) -> None:
        """Start without bytes."""
        self._buffer = bytearray()

    def feed(self, received: bytes) -> Iterator[Frame]:
        """Yield the frames that are complete; raise `FrameError` if invalid."""
        self._buffer += received
        while len(self._buffer) >= _HEADER.size:
            kind, length = _HEADER.unpack_from(self._buffer)
            if length > MAX_FRAME_BYTES:
                raise FrameError(f'a frame of {length} bytes is too long')
            end = _HEADER.size + length
            if len(self._buffer) < end:
                return
            payload = bytes(self._buffer[_HEADER.size : end])
            self._buffer = self._buffer[end:]
            yield _frame_type(kind), payload


def _frame_type(kind: int) -> FrameType:
    try:
        return FrameType(kind)
    except ValueError:
        raise FrameError(f'no frame has the type {kind}') from None
