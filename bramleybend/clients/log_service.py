"""Interface of the platform's log service, and its records."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Final, Protocol

from result import Result

from bramleybend.errors import Problem

TERMS_STREAM: Final = 'terms'
NO_WAIT: Final = timedelta(0)
READ_LIMIT: Final = 500


@dataclass(frozen=True)
class LogRecord:
    """One record and its offset within its stream."""

    offset: int
    data: str


@dataclass(frozen=True)
class LogBatch:
    """The result of one read.

    Records before `first_offset` are no longer retained. `next_offset` is the
    offset of the stream's next append, so a batch whose last record is just
    before it reaches the end of the stream.
    """

    first_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]


class LogService(Protocol):
    """An append-only log of records, with an offset for each.

    It may be unavailable or slow at any time, and may drop old records.
    """

    async def append(
        self,
        stream: str,
        records: Sequence[str],
    ) -> Result[int, Problem]:
        """Append records at consecutive offsets; return the first offset.

        After `LOG_UNAVAILABLE` and `LOG_REFUSED`, nothing was appended; after
        `LOG_REPLY_LOST`, the records may have been appended.
        """

    async def read(
        self,
        stream: str,
        start: int,
        limit: int = READ_LIMIT,
        wait: timedelta = NO_WAIT,
    ) -> Result[LogBatch, Problem]:
        """Return up to `limit` records from offset `start` on.

        Waits up to `wait` for one to be appended.
        """
