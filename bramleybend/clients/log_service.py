"""What the system asks of the platform's log service."""

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
    """What one read returned.

    Records below `first_offset` are forgotten; `next_offset` is the offset
    that the stream's next append gets, so a batch that ends just below it
    reaches the tail.
    """

    first_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]


class LogService(Protocol):
    """An append-only log with offsets; down, slow or forgetful at any time."""

    async def append(
        self,
        stream: str,
        records: Sequence[str],
    ) -> Result[int, Problem]:
        """Append records next to each other; return the first one's offset.

        `LOG_UNAVAILABLE` and `LOG_REFUSED` mean that nothing was appended;
        `LOG_REPLY_LOST` means that it may or may not have been.
        """

    async def read(
        self,
        stream: str,
        start: int,
        limit: int = READ_LIMIT,
        wait: timedelta = NO_WAIT,
    ) -> Result[LogBatch, Problem]:
        """Return records from `start` on, waiting up to `wait` for one."""
