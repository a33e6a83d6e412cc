"""Writes the origins of all VMs' streams to the platform's log.

Load pattern: during a release, hundreds of streams a second begin at hundreds
of VMs. If each VM wrote its own, the calls would grow with the streams. One VM,
the same for all that hear it, writes for all, a few times a second.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Final

from result import Err, Ok

from bramleybend.clock import Clock
from bramleybend.direct.catalog import Catalog
from bramleybend.direct.members import Member, Members
from bramleybend.direct.messages import (
    Message,
    StreamOrigin,
    StreamsBegan,
    StreamsRecorded,
)
from bramleybend.direct.ranks import rank_of
from bramleybend.direct.software_versions import SoftwareVersions
from bramleybend.direct.stream_origins import StreamLog, StreamOrigins
from bramleybend.events import EventLog

TASK: Final = 'stream-log'
# Between two writes. Short beside a stream: an origin that is not written when
# all VMs are killed is lost.
MIN_INTERVAL_S: Final = 0.02
CHECK_INTERVAL_S: Final = 0.15  # without new origins
RESEND_AFTER_S: Final = 0.15
# After this time without an answer of the writer, a VM writes by itself.
WRITER_TIMEOUT_S: Final = 0.5
RETRY_S: Final = 0.5  # after the log gave no answer
TRIM_AFTER_S: Final = 2.0
# Origins in one message or record.
MAX_BATCH: Final = 200

Reply = Callable[[Message], None]


class StreamRecorder:
    """Sends this VM's origins to the writer, or writes those of all VMs."""

    def __init__(
        self,
        origins: StreamOrigins,
        versions: SoftwareVersions,
        members: Members,
        send: Callable[[Message, str], None],
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Create a recorder; `send` sends a message to a VM's address."""
        self._origins = origins
        self._versions = versions
        self._members = members
        self._send = send
        self._clock = clock
        self._events = events
        # By attempt, when it was first and last sent to the writer.
        self._first_sent_at: dict[str, float] = {}
        self._last_sent_at: dict[str, float] = {}
        # By attempt of another VM, how to tell it that it is recorded.
        self._replies: dict[str, Reply] = {}
        self._trim_at = inf

    async def run(self, *, is_first_start: bool) -> None:
        """Record origins until cancelled.

        On a start that is not the system's first, versions that this VM never
        saw may have begun streams, if the log has records.
        """
        if not is_first_start:
            await self._read_at_start()
        while True:
            await self._sleep()
            self._forget_expired()
            await self._record(self._origins.unrecorded()[:MAX_BATCH])
            await self._trim_if_unneeded()

    def handle_began(self, message: StreamsBegan, reply: Reply) -> None:
        """Take over the origins that another VM sends."""
        for origin in message.origins:
            self._origins.add(origin, must_record=True)
            if self._origins.is_recorded(origin.attempt_key):
                reply(StreamsRecorded([origin.attempt_key]))
            else:
                self._replies[origin.attempt_key] = reply

    def handle_recorded(self, message: StreamsRecorded) -> None:
        """Note which origins the writer has recorded."""
        self._note_recorded(message.attempt_keys)

    async def _sleep(self) -> None:
        """Wait for an origin to record, or until unanswered ones are due."""
        await asyncio.sleep(MIN_INTERVAL_S)
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self._origins.has_unrecorded.wait()
        except TimeoutError:
            return
        self._origins.has_unrecorded.clear()

    def _forget_expired(self) -> None:
        """Forget the streams that can't be taken up any more."""
        self._origins.remove_expired()
        for kept in (self._first_sent_at, self._last_sent_at, self._replies):
            for key in tuple(kept):
                if key not in self._origins:
                    kept.pop(key)

    async def _read_at_start(self) -> None:
        # Until the log is read, an origin may be missing.
        self._versions.unseen_until = inf
        while not await self._origins.read_log():
            await asyncio.sleep(RETRY_S)
        has_seen_all = not self._origins.has_records
        match await self._origins.log.earlier_versions():
            case Ok(dict() as versions):
                self._versions.note_earlier(versions)
            case Ok(_):
                has_seen_all = False
            case Err(problem):
                has_seen_all = False
                why = str(problem)
                self._events.record('earlier_versions_unread', why=why)
        self._versions.unseen_until = (
            -inf
            if has_seen_all
            else self._clock.monotonic() + self._versions.memory_s()
        )

    async def _record(self, origins: list[StreamOrigin]) -> None:
        writer = self._writer()
        if writer is not None:
            self._send_due(origins, writer)
            origins = [one for one in origins if self._is_overdue(one)]
        if not origins:
            return
        appended = await self._origins.log.append(origins)
        if isinstance(appended, Err):
            self._events.record(
                'stream_log_unwritten', why=str(appended.err_value)
            )
            await asyncio.sleep(RETRY_S)
            return
        self._origins.has_records = True
        self._confirm([origin.attempt_key for origin in origins])

    async def _trim_if_unneeded(self) -> None:
        """Delete the records once all streams are of one version again.

        A VM that starts takes records for a sign of several versions.
        """
        now = self._clock.monotonic()
        if self._versions.is_any_mixed() or not self._origins.has_records:
            self._trim_at = now + TRIM_AFTER_S
        elif now >= self._trim_at and self._writer() is None:
            self._trim_at = now + TRIM_AFTER_S
            await self._origins.trim_log()

    def _send_due(self, origins: list[StreamOrigin], writer: Member) -> None:
        now = self._clock.monotonic()
        due = [
            origin
            for origin in origins
            if now - self._last_sent_at.get(origin.attempt_key, -inf)
            >= RESEND_AFTER_S
        ]
        for origin in due:
            self._first_sent_at.setdefault(origin.attempt_key, now)
            self._last_sent_at[origin.attempt_key] = now
        if due:
            self._send(StreamsBegan(due), writer.address)

    def _is_overdue(self, origin: StreamOrigin) -> bool:
        sent_at = self._first_sent_at.get(origin.attempt_key, inf)
        return self._clock.monotonic() - sent_at > WRITER_TIMEOUT_S

    def _confirm(self, attempt_keys: list[str]) -> None:
        """Tell the VMs whose origins were recorded."""
        self._note_recorded(attempt_keys)
        for attempt_key in attempt_keys:
            reply = self._replies.pop(attempt_key, None)
            if reply is not None:
                reply(StreamsRecorded([attempt_key]))

    def _note_recorded(self, attempt_keys: list[str]) -> None:
        for attempt_key in attempt_keys:
            self._origins.mark_recorded(attempt_key)
            self._first_sent_at.pop(attempt_key, None)
            self._last_sent_at.pop(attempt_key, None)

    def _writer(self) -> Member | None:
        """Return the VM that writes for all; `None` if it is this one."""
        best = max(
            self._members.alive(self._clock.monotonic()),
            key=lambda member: rank_of(TASK, member),
            default=None,
        )
        own_rank = rank_of(TASK, self._members.own)
        if best is None or own_rank > rank_of(TASK, best):
            return None
        return best


@dataclass(frozen=True)
class Streams:
    """What a VM knows of the software versions of streams."""

    versions: SoftwareVersions
    origins: StreamOrigins
    recorder: StreamRecorder


def make_streams(
    catalog: Catalog,
    members: Members,
    log: StreamLog,
    send: Callable[[Message, str], None],
    clock: Clock,
    events: EventLog,
) -> Streams:
    """Make the parts; `recorder.run` is to be run as a task."""
    versions = SoftwareVersions(catalog)
    origins = StreamOrigins(versions, log, clock, events)
    # Streams of the first version are recorded once there is a second.
    versions.on_update = origins.has_unrecorded.set
    recorder = StreamRecorder(origins, versions, members, send, clock, events)
    return Streams(versions, origins, recorder)
