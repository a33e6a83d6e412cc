"""What was read of a keyed log, and its records."""

from collections import deque
from dataclasses import dataclass
from typing import Final

# Records kept for other VMs; 2,000 are a minute of 40 runners' heartbeats.
MAX_RECENT_RECORDS: Final = 2000


@dataclass(frozen=True)
class KeyedRecord:
    """One change of a key; without content the key is gone."""

    offset: int
    key: str
    content: bytes

    @property
    def gone(self) -> bool:
        """Whether the record drops its key."""
        return not self.content


@dataclass(frozen=True)
class Page:
    """Records in order, and the offset to read on from."""

    records: tuple[KeyedRecord, ...]
    end: int
    whole: bool  # the newest of every key, not only what changed

    @property
    def size(self) -> int:
        """Bytes of content."""
        return sum(len(record.content) for record in self.records)


class FeedCopy:
    """What was read of a log, as far as it may be asked for again."""

    def __init__(self) -> None:
        """Start with nothing read."""
        self.end: int | None = None
        self._newest: dict[str, KeyedRecord] = {}
        self._recent: deque[KeyedRecord] = deque(maxlen=MAX_RECENT_RECORDS)

    def apply(self, page: Page) -> None:
        """Add what was read."""
        if page.whole:
            self._newest.clear()
            self._recent.clear()
        for record in page.records:
            self._newest[record.key] = record
            if not page.whole:
                self._recent.append(record)
        # A key without content is kept: it tells others that it is gone.
        self.end = page.end

    def changes(self, start: int) -> Page | None:
        """Return what came since, or nothing if that is no longer held."""
        if self.end is None or start > self.end:
            return None
        first = self._recent[0].offset if self._recent else self.end
        if start < first:
            return None
        records = tuple(one for one in self._recent if one.offset >= start)
        return Page(records, self.end, whole=False)

    def newest(self) -> Page | None:
        """Return the newest record of each key that is there."""
        if self.end is None:
            return None
        records = tuple(one for one in self._newest.values() if not one.gone)
        return Page(records, self.end, whole=True)
