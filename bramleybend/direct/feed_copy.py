"""The local copy of a keyed log, and its records."""

from collections import deque
from dataclasses import dataclass
from typing import Final

# Recent records kept for other VMs; 2,000 are one minute of the heartbeats of
# 40 runners.
MAX_RECENT_RECORDS: Final = 2000


@dataclass(frozen=True)
class KeyedRecord:
    """One change of a key; an empty content deletes the key."""

    offset: int
    key: str
    content: bytes

    @property
    def is_deleted(self) -> bool:
        """Whether the record deletes its key."""
        return not self.content


@dataclass(frozen=True)
class Page:
    """Records in log order, and the offset to continue from."""

    records: tuple[KeyedRecord, ...]
    end: int
    is_snapshot: bool  # newest record of every key, not only changes

    @property
    def size(self) -> int:
        """Bytes of content in the records."""
        return sum(len(record.content) for record in self.records)


class FeedCopy:
    """The part of a log that was read and can be served to other VMs."""

    def __init__(self) -> None:
        """Create an empty copy."""
        self.end: int | None = None
        self._newest: dict[str, KeyedRecord] = {}
        self._recent: deque[KeyedRecord] = deque(maxlen=MAX_RECENT_RECORDS)

    def apply(self, page: Page) -> None:
        """Add a page that was read."""
        if page.is_snapshot:
            self._newest.clear()
            self._recent.clear()
        for record in page.records:
            self._newest[record.key] = record
            if not page.is_snapshot:
                self._recent.append(record)
        # The record of a deleted key is kept, to tell others of the deletion.
        self.end = page.end

    def changes(self, start: int) -> Page | None:
        """Return the records from an offset on.

        Returns `None` if they are no longer kept or were not read yet.
        """
        if self.end is None or start > self.end:
            return None
        first = self._recent[0].offset if self._recent else self.end
        if start < first:
            return None
        records = tuple(
            record for record in self._recent if record.offset >= start
        )
        return Page(records, self.end, is_snapshot=False)

    def newest(self) -> Page | None:
        """Return the newest record of each existing key.

        Returns `None` before the first read.
        """
        if self.end is None:
            return None
        records = tuple(
            record for record in self._newest.values() if not record.is_deleted
        )
        return Page(records, self.end, is_snapshot=True)
