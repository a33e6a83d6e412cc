"""What a VM sends to the others, counted."""

from dataclasses import dataclass
from typing import Final

from bramleybend.events import EventLog

# Between two heartbeats; 0.2 s of a link of 5 Mbit/s.
LARGE_BYTES: Final = 131_072


@dataclass
class Traffic:
    """Totals for the metrics; a burst is logged."""

    events: EventLog
    messages: int = 0
    size: int = 0  # bytes
    _messages_before: int = 0  # at the last heartbeat
    _size_before: int = 0

    def count(self, payload: bytes) -> None:
        """Count a datagram."""
        self.messages += 1
        self.size += len(payload)

    def note_beat(self, *, is_hub: bool) -> None:
        """Log what was sent since the last heartbeat, if it is much."""
        size = self.size - self._size_before
        if size >= LARGE_BYTES:
            messages = self.messages - self._messages_before
            self.events.record(
                'peer_burst', bytes=size, messages=messages, is_hub=is_hub
            )
        self._messages_before = self.messages
        self._size_before = self.size
