"""Limits the memory that messages in progress may take on a VM.

Failure: many runners send endless answers at once, or many callers large
requests. Each stays under the limit of one message, and together they fill the
VM's memory.

A message may take as much memory as stays free for all others. So a few large
messages fit, and many of them leave room for those of the usual size. The first
`UNCOUNTED_BYTES` of each message are not counted: the number of connections
bounds them.
"""

from typing import Final

from bramleybend.clients.message_bounds import MessageTooLongError

UNCOUNTED_BYTES: Final = 16_384
# The chunks of a message, and the body that is joined from them.
COPIES_PER_MESSAGE: Final = 2


class MemoryFullError(MessageTooLongError):
    """Other messages take the memory for the rest of this one."""


class MessageMemory:
    """The memory that all messages in progress of one kind share."""

    def __init__(self, limit_bytes: float) -> None:
        """Create an unused pool of `limit_bytes`."""
        self.free_bytes = limit_bytes / COPIES_PER_MESSAGE

    def reserve(self) -> 'MemoryReservation':
        """Return an empty reservation for one message."""
        return MemoryReservation(self)


class MemoryReservation:
    """The memory that one message has reserved."""

    def __init__(self, memory: MessageMemory) -> None:
        """Create an empty reservation."""
        self._memory = memory
        self._reserved_bytes = 0

    def resize(self, size: int) -> None:
        """Reserve `size` bytes in total.

        Raises `MemoryFullError` if too little memory is free.
        """
        wanted_bytes = max(size - UNCOUNTED_BYTES, 0)
        free = self._memory.free_bytes + self._reserved_bytes
        if (
            wanted_bytes > self._reserved_bytes
            and wanted_bytes > free - wanted_bytes
        ):
            raise MemoryFullError(
                f'no memory is left for a message of over {size} bytes'
            )
        self._memory.free_bytes = free - wanted_bytes
        self._reserved_bytes = wanted_bytes

    def release(self) -> None:
        """Return the reserved memory to the pool."""
        self._memory.free_bytes += self._reserved_bytes
        self._reserved_bytes = 0
        self._reserved_bytes = 0
