"""Limits the memory that answers in progress may take on a VM.

Failure: many runners send endless answers at once. Each stays under the limit
of one answer, and together they fill the VM's memory.

An answer may take as much memory as stays free for all others. So a few large
answers fit, and many endless ones leave room for answers of the usual size. The
first `UNCOUNTED_BYTES` of each answer are not counted: the number of
connections bounds them.
"""

from typing import Final

from bramleybend.clients.message_bounds import MessageTooLongError

UNCOUNTED_BYTES: Final = 16_384
# The chunks of an answer, and the body that is joined from them.
COPIES_PER_ANSWER: Final = 2


class AnswerMemory:
    """The memory that all answers in progress on a VM share."""

    def __init__(self, limit_bytes: float) -> None:
        """Create an unused pool of `limit_bytes`."""
        self.free_bytes = limit_bytes / COPIES_PER_ANSWER

    def reserve(self) -> 'MemoryReservation':
        """Return an empty reservation for one answer."""
        return MemoryReservation(self)


class MemoryReservation:
    """The memory that one answer has reserved."""

    def __init__(self, memory: AnswerMemory) -> None:
        """Create an empty reservation."""
        self._memory = memory
        self._reserved_bytes = 0

    def resize(self, size: int) -> None:
        """Reserve `size` bytes in total.

        Raises `MessageTooLongError` if too little memory is free.
        """
        wanted_bytes = max(size - UNCOUNTED_BYTES, 0)
        free = self._memory.free_bytes + self._reserved_bytes
        if (
            wanted_bytes > self._reserved_bytes
            and wanted_bytes > free - wanted_bytes
        ):
            raise MessageTooLongError(
                f'no memory is left for an answer of over {size} bytes'
            )
        self._memory.free_bytes = free - wanted_bytes
        self._reserved_bytes = wanted_bytes

    def release(self) -> None:
        """Return the reserved memory to the pool."""
        self._memory.free_bytes += self._reserved_bytes
        self._reserved_bytes = 0
