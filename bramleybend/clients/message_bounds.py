"""Limits on the bytes that a peer may send for one HTTP message.

Failure: a peer never stops sending bytes that are not part of a response,
such as informational (1xx) responses, comments, chunk extensions or a body
without a length. Reading all of them exhausts memory and takes CPU time from
all other callers.

Content is limited to `message_bytes`. All other bytes are filler. As framing
and comments grow with the content, filler may exceed it by `filler_bytes`.
Each part counts as `PART_OVERHEAD_BYTES` more than its length, because it
costs CPU time however short it is.
"""

from dataclasses import dataclass
from typing import Final

import h11

DEFAULT_MESSAGE_BYTES: Final = 8_388_608
DEFAULT_EVENT_BYTES: Final = 1_048_576
DEFAULT_FILLER_BYTES: Final = 65_536
PART_OVERHEAD_BYTES: Final = 128


class MessageTooLongError(EOFError):
    """A message exceeds its bounds; the rest of it was not read."""


@dataclass(frozen=True)
class MessageBounds:
    """Maximum bytes to read of one message."""

    message_bytes: float = DEFAULT_MESSAGE_BYTES
    event_bytes: int = DEFAULT_EVENT_BYTES  # of one event of a stream
    filler_bytes: int = DEFAULT_FILLER_BYTES


DEFAULT_BOUNDS: Final = MessageBounds()


def head_bytes(head: h11.InformationalResponse) -> int:
    """Return the bytes of an informational response's headers."""
    return sum(len(name) + len(text) for name, text in head.headers)


class MessageMeter:
    """Counts the bytes of one message and enforces its bounds."""

    def __init__(self, bounds: MessageBounds) -> None:
        """Start before the message's first byte."""
        self._bounds = bounds
        self._content_bytes = 0
        self._filler_bytes = 0
        self._content_cost = 0  # content and its parts' overhead

    def add_content(self, size: int) -> None:
        """Count a part of the content.

        Raises `MessageTooLongError` beyond the bound.
        """
        self._content_bytes += size
        self._content_cost += size + PART_OVERHEAD_BYTES
        max_bytes = self._bounds.message_bytes
        if self._content_cost > max_bytes:
            raise MessageTooLongError(f'the message is over {max_bytes} bytes')

    def add_filler(self, size: int) -> None:
        """Count a part without content, such as a comment.

        Raises `MessageTooLongError` beyond the bound.
        """
        self._filler_bytes += size + PART_OVERHEAD_BYTES
        self._check_filler(self._filler_bytes - self._content_cost)

    def check_framing(self, size: int) -> None:
        """Check the framing, given all bytes received for the message.

        Bytes that are not content are framing. Raises `MessageTooLongError`
        if they exceed the content by more than the bound on filler.
        """
        self._check_filler(size - 2 * self._content_bytes)

    def _check_filler(self, excess: int) -> None:
        max_bytes = self._bounds.filler_bytes
        if excess > max_bytes:
            raise MessageTooLongError(
                f'over {max_bytes} bytes of the message carry nothing'
            )
