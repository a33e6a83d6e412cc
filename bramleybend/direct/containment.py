"""Tracks request content that crashes runners, across all VMs.

Load pattern: a request crashes its runner, and its caller sends the same
content again, to any VM; or many requests share a part of their prompts that
crashes runners.
Without containment, they take down a service, one runner after another,
together with everything that runs beside them.

One `ContentQuarantine` keeps the records of whole requests, another those of
parts. Here, a request gets a runner to itself only from its second crash on: on
a day when runners drop many connections, every request whose connection dropped
once would otherwise wait for an empty runner. An innocent request that was
running at two crashes then runs alone to its end, and its record is cleared.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import cycle, islice
from typing import Final

from xxhash import xxh64_hexdigest

from bramleybend.clock import Clock
from bramleybend.decisions.content_quarantine import ContentQuarantine
from bramleybend.decisions.quarantine import (
    REFUSAL_CRASHES,
    SUSPECT_TTL_S,
    CrashRecord,
)
from bramleybend.direct.heartbeat_messages import CrashReport
from bramleybend.direct.models import RequestMetadata, RunnerEntry
from bramleybend.direct.replies import RawRequest
from bramleybend.events import MS_PER_S, EventLog

ISOLATE_AFTER_CRASHES: Final = 2  # crashes after which it runs alone
# Heartbeats carry a record for this long, which is about 25 of them. Only
# records of refused content are sent indefinitely, because VMs that start later
# need them.
BROADCAST_S: Final = 5.0
# Maximum number of records in a heartbeat, about 60 bytes each. A crash ends
# what ran on one runner, which is a few requests of a few parts each.
MAX_BROADCAST_RECORDS: Final = 32
# Of these, so many are always those of the most crashes. The others take turns.
FIRST_RECORDS: Final = 16
# Thousands of requests may share a part, and a new version of a model may cure
# it. So its refusal ends, and single runs tell whether it was right.
PART_REFUSAL_TTL_S: Final = 600.0
# Records that are saved for VMs that start, about 100 bytes each.
MAX_SAVED_RECORDS: Final = 256
PART_PREFIX: Final = 'p:'  # of a part's fingerprint


class SavedCrashes(CrashReport, array_like=True):
    """A crash record as it is saved for VMs that start."""

    changed_ms: int = 0  # since the epoch


@dataclass(frozen=True)
class ContentIds:
    """Identifies the content of a request: the whole, and what it shares."""

    whole: str  # equal for equal caller, target and body
    parts: tuple[str, ...] = ()  # fingerprints of its prompt's shared parts


class Containment:
    """This VM's records of content that crashes runners."""

    def __init__(self, clock: Clock, events: EventLog) -> None:
        """Create an empty set of records."""
        self._clock = clock
        self._events = events
        self._requests = ContentQuarantine()
        self._parts = ContentQuarantine(PART_REFUSAL_TTL_S)
        self._turn = 0  # of the records that take turns

    def identify(self, req: RawRequest, facts: RequestMetadata) -> ContentIds:
        """Return what identifies the content of a request."""
        head = b'\n'.join((req.method, req.target, facts.key.encode()))
        return ContentIds(
            xxh64_hexdigest(b'\n'.join((head, req.body))),
            tuple(PART_PREFIX + part for part in facts.shared_parts),
        )

    def is_refused(self, content: ContentIds) -> bool:
        """Return whether content must not be run again."""
        now = self._clock.monotonic()
        return self._requests.is_refused(content.whole, now) or any(
            self._parts.is_refused(part, now) for part in content.parts
        )

    def crashed_runners(self, content: ContentIds) -> frozenset[str]:
        """Return the incarnations of runners that crashed on this content."""
        return frozenset().union(*self._crashes(content).values())

    def runs_alone(self, content: ContentIds) -> bool:
        """Return whether content gets a runner to itself."""
        return any(
            len(runners) >= ISOLATE_AFTER_CRASHES
            for runners in self._crashes(content).values()
        )

    def record_crash(self, content: ContentIds, runner: RunnerEntry) -> None:
        """Record a runner that closed the connection while running content."""
        now = self._clock.monotonic()
        name = runner.incarnation
        self._requests.record_crash(name, (content.whole,), now)
        self._parts.record_crash(name, content.parts, now)
        for fingerprint, runners in self._crashes(content).items():
            if name in runners and len(runners) >= ISOLATE_AFTER_CRASHES:
                self._events.record(
                    'content_suspect',
                    content=fingerprint,
                    crashed=','.join(sorted(runners)),
                    refused=self.is_refused(content),
                )

    def withdraw_crash(self, content: ContentIds, runner: RunnerEntry) -> None:
        """Clear records after a crash that turned out to be none.

        Records can't be reduced by one crash, as VMs merge them in any order.
        Those of true crashes come back with the next one.
        """
        now = self._clock.monotonic()
        self._requests.withdraw(content.whole, now)
        for part in content.parts:
            self._parts.withdraw(part, now)
        self._events.record(
            'crash_withdrawn', content=content.whole, runner=runner.name
        )

    def record_completion(self, content: ContentIds) -> None:
        """Record a run of this content that completed."""
        now = self._clock.monotonic()
        self._requests.record_completion((content.whole,), now)
        self._parts.record_completion(content.parts, now)

    def recent_news(self) -> list[CrashReport]:
        """Return the records that the next heartbeat carries."""
        since = self._clock.monotonic() - BROADCAST_S
        recent = [
            *self._requests.changed_records(since),
            *self._parts.changed_records(since),
        ]
        recent.sort(key=_crash_count, reverse=True)
        return [
            CrashReport(
                record.fingerprint,
                record.generation,
                sorted(record.runners),
                record.refused,
            )
            for record in self._select(recent)
        ]

    def merge_news(self, news: Sequence[CrashReport]) -> None:
        """Merge the records of another VM's heartbeat."""
        now = self._clock.monotonic()
        records = list(map(_record_of, news))
        self._requests.merge([one for one in records if not _is_part(one)], now)
        self._parts.merge([one for one in records if _is_part(one)], now)

    def records_to_save(self) -> list[SavedCrashes]:
        """Return the records that VMs that start need, the worst first.

        Content that crashed one runner is left out: most of it only ran beside
        the content that did.
        """
        now = self._clock.monotonic()
        aged = [
            *self._requests.aged_records(ISOLATE_AFTER_CRASHES, now),
            *self._parts.aged_records(ISOLATE_AFTER_CRASHES, now),
        ]
        aged.sort(key=lambda one: (not one[0].refused, one[1]))
        wall_s = self._clock.now().timestamp()
        return [
            SavedCrashes(
                record.fingerprint,
                record.generation,
                sorted(record.runners)[:REFUSAL_CRASHES],
                record.refused,
                round((wall_s - age_s) * MS_PER_S),
            )
            for record, age_s in aged[:MAX_SAVED_RECORDS]
        ]

    def recall(self, saved: Sequence[SavedCrashes]) -> None:
        """Merge saved records, as old as they are."""
        wall_ms = self._clock.now().timestamp() * MS_PER_S
        for one in saved:
            age_s = max(wall_ms - one.changed_ms, 0) / MS_PER_S
            if age_s < SUSPECT_TTL_S:
                table = self._parts if _is_part(one) else self._requests
                record = _record_of(one)
                table.merge([record], self._clock.monotonic() - age_s)

    def _crashes(self, content: ContentIds) -> dict[str, frozenset[str]]:
        """Return the runners that crashed, by fingerprint."""
        return {
            content.whole: self._requests.runners(content.whole),
            **{part: self._parts.runners(part) for part in content.parts},
        }

    def _select(self, records: Sequence[CrashRecord]) -> Iterator[CrashRecord]:
        """Yield as many records as a heartbeat carries."""
        if len(records) <= MAX_BROADCAST_RECORDS:
            yield from records
            return
        yield from records[:FIRST_RECORDS]
        others = records[FIRST_RECORDS:]
        count = MAX_BROADCAST_RECORDS - FIRST_RECORDS
        start = self._turn % len(others)
        self._turn += count
        yield from islice(cycle(others), start, start + count)


def _record_of(report: CrashReport) -> CrashRecord:
    return CrashRecord(
        report.fingerprint,
        report.generation,
        frozenset(report.runners),
        report.refused,
    )


def _crash_count(record: CrashRecord) -> int:
    return len(record.runners)


def _is_part(record: CrashRecord | CrashReport) -> bool:
    return record.fingerprint.startswith(PART_PREFIX)
