"""The software versions at which callers' streams began.

A caller takes a broken stream up at any VM and names the attempt that brought
its first event. While one version serves, nothing needs to be known of it.
While there are several, `StreamRecorder` keeps the origins of all VMs in a log
on the platform, as all VMs may be killed at once. A stream of unknown origin is
not taken up: it may have begun at any of the versions.
"""

import asyncio
import itertools
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from result import Err, Result
from xxhash import xxh3_128_hexdigest

from bramleybend.clock import Clock
from bramleybend.direct.messages import StreamOrigin
from bramleybend.direct.software_versions import SoftwareVersions
from bramleybend.errors import Problem
from bramleybend.events import EventLog

# Reads of the log until an origin counts as unknown, and the pause between
# them, in which another VM's last origins arrive there.
MAX_READS: Final = 3
READ_PAUSE_S: Final = 0.15


@dataclass(frozen=True)
class StreamLogPage:
    """Origins in the order of the log, and the offset to read on from."""

    origins: Sequence[StreamOrigin]
    end: int
    is_empty: bool  # the log holds no records


class StreamLog(Protocol):
    """A log of stream origins that outlives the VMs."""

    async def append(
        self, origins: Sequence[StreamOrigin]
    ) -> Result[None, Problem]:
        """Append origins."""

    async def read(self, start: int) -> Result[StreamLogPage, Problem]:
        """Return the origins from an offset on."""

    async def earlier_versions(
        self,
    ) -> Result[Mapping[str, set[str]] | None, Problem]:
        """Return the versions that the VMs knew before, by service.

        `None` if nothing is known.
        """

    async def trim(self, end: int) -> Result[None, Problem]:
        """Delete the records before an offset."""


@dataclass
class _Known:
    origin: StreamOrigin
    valid_until: float
    is_recorded: bool
    must_record: bool  # for another VM


class StreamOrigins:
    """The origins that this VM knows, and its copy of the log."""

    def __init__(
        self,
        versions: SoftwareVersions,
        log: StreamLog,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Start without origins."""
        self._versions = versions
        self.log = log
        self._clock = clock
        self._events = events
        self._known: dict[str, _Known] = {}  # by attempt
        self._next_offset = 0
        self.has_records = False  # the log may hold records to trim
        self.has_unrecorded = asyncio.Event()  # set when one is added

    def __contains__(self, attempt_key: str) -> bool:
        """Tell whether the origin of an attempt is known."""
        return attempt_key in self._known

    def add(
        self,
        origin: StreamOrigin,
        *,
        is_recorded: bool = False,
        must_record: bool = False,
    ) -> None:
        """Note the version at which a stream begins or goes on."""
        before = self._known.get(origin.attempt_key)
        if before is not None and before.origin == origin:
            is_recorded = is_recorded or before.is_recorded
            must_record = must_record or before.must_record
        valid_until = self._clock.monotonic() + self._versions.memory_s()
        known = _Known(origin, valid_until, is_recorded, must_record)
        self._known[origin.attempt_key] = known
        if self._must_record(known):
            self.has_unrecorded.set()

    def unrecorded(self) -> list[StreamOrigin]:
        """Return the origins that the log should hold, and lacks."""
        return [
            known.origin
            for known in self._known.values()
            if self._must_record(known)
        ]

    def is_recorded(self, attempt_key: str) -> bool:
        """Tell whether the log holds the origin of an attempt."""
        known = self._known.get(attempt_key)
        return known is not None and known.is_recorded

    def mark_recorded(self, attempt_key: str) -> None:
        """Note that the log holds the origin of an attempt."""
        known = self._known.get(attempt_key)
        if known is not None:
            known.is_recorded = True

    def remove_expired(self) -> None:
        """Forget the streams that can't be taken up any more."""
        now = self._clock.monotonic()
        self._known = {
            attempt: known
            for attempt, known in self._known.items()
            if known.valid_until > now
        }

    async def find_version(
        self, attempt_id: str, workspace: str, service: str
    ) -> str | None:
        """Return the version of a stream, or `None` if it isn't known."""
        pauses_s = iter((0, *itertools.repeat(READ_PAUSE_S, MAX_READS - 1)))
        key = key_of(attempt_id)
        while True:
            known = self._known.get(key)
            if known is not None:
                return _version_if_own(known.origin, workspace, service)
            only_version = self._versions.only_version(service)
            pause_s = next(pauses_s, None)
            if only_version is not None or pause_s is None:
                return only_version
            await asyncio.sleep(pause_s)
            await self.read_log()

    async def read_log(self) -> bool:
        """Read on in the log; return whether it answered."""
        page = await self.log.read(self._next_offset)
        if isinstance(page, Err):
            why = str(page.err_value)
            self._events.record('stream_log_unread', why=why)
            return False
        self._next_offset = max(page.ok_value.end, self._next_offset)
        self.has_records = self.has_records or not page.ok_value.is_empty
        for origin in page.ok_value.origins:
            self.add(origin, is_recorded=True)
        return True

    async def trim_log(self) -> None:
        """Delete the records that were read, once none is needed."""
        if await self.read_log():
            trimmed = await self.log.trim(self._next_offset)
            self.has_records = isinstance(trimmed, Err)

    def _must_record(self, known: _Known) -> bool:
        if known.is_recorded:
            return False
        return known.must_record or self._versions.is_mixed(
            known.origin.service
        )


def key_of(attempt_id: str) -> str:
    """Return a short key for an attempt id, which its caller chose."""
    return xxh3_128_hexdigest(attempt_id.encode())


def _version_if_own(
    origin: StreamOrigin, workspace: str, service: str
) -> str | None:
    is_own = (origin.workspace, origin.service) == (workspace, service)
    return origin.version if is_own else None
