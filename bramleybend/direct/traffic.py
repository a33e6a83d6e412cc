"""Counters of the messages and bytes that a VM sends to the others."""

from dataclasses import dataclass
from typing import Final

from bramleybend.events import EventLog

# In one heartbeat interval; a link of 5 Mbit/s transfers it in 0.2 s.
LARGE_BYTES: Final = 131_072


@dataclass
class Traffic:
    """Totals for the metrics, and a log event for each burst."""

    events: EventLog
    sent_messages: int = 0
    sent_bytes: int = 0  # bytes
    # The totals at the end of the last heartbeat interval.
    _messages_before: int = 0
    _size_before: int = 0

    def count(self, payload: bytes) -> None:
        """Count a datagram to be sent."""
        self.sent_messages += 1
        self.sent_bytes += len(payload)

    def log_burst(self, *, is_hub: bool) -> None:
        """Record an event if `LARGE_BYTES` were sent since the last call."""
        size = self.sent_bytes - self._size_before
        if size >= LARGE_BYTES:
            messages = self.sent_messages - self._messages_before
            self.events.record(
                'peer_burst', bytes=size, messages=messages, is_hub=is_hub
            )
        self._messages_before = self.sent_messages
        self._size_before = self.sent_bytes
