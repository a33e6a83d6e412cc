"""How much of a VM's memory answers that are still being read may take.

Failure: many runners send answers without end at once. Each stays under the
bound of one answer, and together they fill the VM's memory.

An answer may take as much as is left for all others, so a few large ones fit,
and many endless ones leave room for the usual. The first `SMALL_BYTES` of
each are not counted: they are bounded by the number of connections.
"""

from typing import Final

from bramleybend.clients.message_bounds import MessageTooLongError

UNCOUNTED_BYTES: Final = 16_384
# The parts of an answer and the whole that is joined from them.
COPIES_PER_ANSWER: Final = 2


class AnswerMemory:
    """The memory that all answers of a VM share."""

    def __init__(self, limit_bytes: float) -> None:
        """Start with all of it free."""
        self.free_bytes = limit_bytes / COPIES_PER_ANSWER

    def reserve(self) -> 'MemoryReservation':
        """Begin an answer."""
        return MemoryReservation(self)


class MemoryReservation:
    """What one answer holds."""

    def __init__(self, memory: AnswerMemory) -> None:
        """Hold nothing."""
        self._memory = memory
        self._held = 0

    def resize(self, size: int) -> None:
        """Hold so many bytes; raises `MessageTooLongError`."""
        wanted = max(size - UNCOUNTED_BYTES, 0)
        free = self._memory.free_bytes + self._held
        if wanted > self._held and wanted > free - wanted:
            raise MessageTooLongError(
                f'no memory is left for an answer of over {size} bytes'
            )
        self._memory.free_bytes = free - wanted
        self._held = wanted

    def release(self) -> None:
        """Hold nothing any more."""
        self._memory.free_bytes += self._held
        self._held = 0
