"""Tracks request content that crashes runners, across all VMs.

Load pattern: a request crashes its runner, and its caller sends the same
content again, to any VM. Without containment, one prompt takes down a service,
one runner after another, together with everything that runs beside it.

`CrashRegistry` keeps the records. Here, a request gets a runner to itself only
from its second crash on: on a day when runners drop many connections, every
request whose connection dropped once would otherwise wait for an empty runner.
An innocent request that was running at two crashes then runs alone to its end,
and its record is cleared.
"""

from collections.abc import Sequence
from typing import Final

from xxhash import xxh64_hexdigest

from bramleybend.clock import Clock
from bramleybend.decisions.quarantine import (
    ContentStatus,
    CrashRecord,
    CrashRegistry,
)
from bramleybend.direct.heartbeat_messages import CrashReport
from bramleybend.direct.models import RequestMetadata, RunnerEntry
from bramleybend.direct.replies import RawRequest
from bramleybend.events import EventLog

ISOLATE_AFTER_CRASHES: Final = 2  # crashes after which it runs alone
# Heartbeats carry a record for this long, which is about 25 of them. Only
# records of refused content are sent indefinitely, because VMs that start later
# need them.
BROADCAST_S: Final = 5.0
# Maximum number of records in a heartbeat, about 60 bytes each; the newest are
# kept. A crash ends what ran on one runner, which is a few requests.
MAX_BROADCAST_RECORDS: Final = 32


class Containment:
    """This VM's records of content that crashes runners."""

    def __init__(self, clock: Clock, events: EventLog) -> None:
        """Create an empty set of records."""
        self._clock = clock
        self._events = events
        self._crash_book = CrashRegistry()

    def fingerprint(self, req: RawRequest, facts: RequestMetadata) -> str:
        """Return a hash that is equal for equal caller, target and body."""
        head = b'\n'.join((req.method, req.target, facts.key.encode()))
        return xxh64_hexdigest(b'\n'.join((head, req.body)))

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether content must not be run again."""
        now = self._clock.monotonic()
        return (
            self._crash_book.status_of(fingerprint, now)
            is ContentStatus.REFUSED
        )

    def crashed_runners(self, fingerprint: str) -> frozenset[str]:
        """Return the incarnations of runners that crashed on this content."""
        return self._crash_book.runners(fingerprint)

    def runs_alone(self, fingerprint: str) -> bool:
        """Return whether content gets a runner to itself."""
        return len(self.crashed_runners(fingerprint)) >= ISOLATE_AFTER_CRASHES

    def record_crash(self, fingerprint: str, runner: RunnerEntry) -> None:
        """Record a runner that closed the connection while running content."""
        crashed_before = self.crashed_runners(fingerprint)
        self._crash_book.record_crash(
            runner.incarnation, (fingerprint,), self._clock.monotonic()
        )
        if len(crashed_before | {runner.incarnation}) >= ISOLATE_AFTER_CRASHES:
            self._events.record(
                'content_suspect',
                content=fingerprint,
                crashed=','.join(sorted(crashed_before | {runner.incarnation})),
                refused=self.is_refused(fingerprint),
            )

    def record_completion(self, fingerprint: str) -> None:
        """Record a run of this content that completed."""
        self._crash_book.record_finish(fingerprint, self._clock.monotonic())

    def recent_news(self) -> list[CrashReport]:
        """Return the records that the next heartbeat carries."""
        recent = self._crash_book.changed_records(
            self._clock.monotonic() - BROADCAST_S
        )
        return [
            CrashReport(
                record.fingerprint,
                record.generation,
                sorted(record.runners),
                record.refused,
            )
            for record in recent[-MAX_BROADCAST_RECORDS:]
        ]

    def merge_news(self, news: Sequence[CrashReport]) -> None:
        """Merge the records of another VM's heartbeat."""
        records = [
            CrashRecord(
                record.fingerprint,
                record.generation,
                frozenset(record.runners),
                record.refused,
            )
            for record in news
        ]
        self._crash_book.merge(records, self._clock.monotonic())
