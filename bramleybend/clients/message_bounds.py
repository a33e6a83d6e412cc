"""How much one peer may send for one message.

Failure: a peer sends bytes that are no answer, without end: informational
heads, comments, chunk extensions, a body without a length. Read to their end,
they fill memory and take the processor from all other callers.

Content is bounded by `message_bytes`. Filler, which is what carries none of
it, is bounded by `filler_bytes` beyond as much as there is content, since
framing and comments grow with it. Each part counts as `PART_BYTES` more than it
has, as it costs processor time whatever its length.
"""

from dataclasses import dataclass
from typing import Final

import h11

ANSWER_BYTES: Final = 8_388_608
EVENT_BYTES: Final = 1_048_576
FILLER_BYTES: Final = 65_536
PART_BYTES: Final = 128


class MessageTooLongError(EOFError):
    """A message was read no further, as it may have no end."""


@dataclass(frozen=True)
class MessageBounds:
    """The most that is read of one message, in bytes."""

    message_bytes: float = ANSWER_BYTES
    event_bytes: int = EVENT_BYTES  # of one event of a stream
    filler_bytes: int = FILLER_BYTES


USUAL_BOUNDS: Final = MessageBounds()


def head_bytes(head: h11.InformationalResponse) -> int:
    """Count the bytes of a head's fields."""
    return sum(len(name) + len(text) for name, text in head.headers)


class MessageMeter:
    """Counts the bytes of one message."""

    def __init__(self, bounds: MessageBounds) -> None:
        """Start before its first byte."""
        self._bounds = bounds
        self._content = 0
        self._filler = 0
        self._cost = 0  # of the content

    def add_content(self, size: int) -> None:
        """Count a part of the content; raises `MessageTooLongError`."""
        self._content += size
        self._cost += size + PART_BYTES
        most = self._bounds.message_bytes
        if self._cost > most:
            raise MessageTooLongError(f'the message is over {most} bytes')

    def add_filler(self, size: int) -> None:
        """Count a part that carries none; raises `MessageTooLongError`."""
        self._filler += size + PART_BYTES
        self._check_filler(self._filler - self._cost)

    def note_received(self, size: int) -> None:
        """Compare with all bytes that came; raises `MessageTooLongError`.

        What is no content is framing.
        """
        self._check_filler(size - 2 * self._content)

    def _check_filler(self, beyond: int) -> None:
        most = self._bounds.filler_bytes
        if beyond > most:
            raise MessageTooLongError(
                f'over {most} bytes of the message carry nothing'
            )
