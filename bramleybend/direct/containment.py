"""Requests whose content crashes the runners that run it, over all VMs.

Load pattern: one request ends its runner, and its caller sends it again, to
any VM, with the same content.
Without it: one prompt takes down a service, a runner at a time, with all that
ran beside it.

`CrashBook` keeps the records. Here a request runs alone only from its second
crash on: on a day when runners break many connections, all that broke once
would else wait for an empty runner. An innocent request that was in company
twice runs to its end alone, and is cleared.
"""

from collections.abc import Sequence
from typing import Final

from xxhash import xxh64_hexdigest

from bramleybend.clock import Clock
from bramleybend.decisions.quarantine import CrashBook, CrashRecord, Verdict
from bramleybend.direct.beat_messages import CrashNews
from bramleybend.direct.models import RequestFacts, RunnerEntry
from bramleybend.direct.replies import RawRequest
from bramleybend.events import EventLog

ISOLATE_AFTER_CRASHES: Final = 2  # runners that ended under it
# A record is in the heartbeats of this long, some 25 of them; only what is
# refused is told for good, as VMs that start later have to know it.
BROADCAST_S: Final = 5.0
# Records in a heartbeat: a crash ends what ran on one runner, a few requests.
# About 60 bytes each; the newest come last.
MAX_BROADCAST_RECORDS: Final = 32


class Containment:
    """What this VM knows of content that crashes runners."""

    def __init__(self, clock: Clock, events: EventLog) -> None:
        """Start with nothing suspect."""
        self._clock = clock
        self._events = events
        self._book = CrashBook()

    def fingerprint(self, req: RawRequest, facts: RequestFacts) -> str:
        """Name the content: equal for equal caller, target and body."""
        head = b'\n'.join((req.method, req.target, facts.key.encode()))
        return xxh64_hexdigest(b'\n'.join((head, req.body)))

    def is_refused(self, fingerprint: str) -> bool:
        """Tell whether content is not to be run again."""
        now = self._clock.monotonic()
        return self._book.verdict(fingerprint, now) is Verdict.REFUSED

    def crashed_runners(self, fingerprint: str) -> frozenset[str]:
        """Return the runners that ended under this content."""
        return self._book.runners(fingerprint)

    def runs_alone(self, fingerprint: str) -> bool:
        """Tell whether content gets a runner to itself."""
        return len(self.crashed_runners(fingerprint)) >= ISOLATE_AFTER_CRASHES

    def record_crash(self, fingerprint: str, runner: RunnerEntry) -> None:
        """Note a runner that broke off a run of this content."""
        before = self.crashed_runners(fingerprint)
        self._book.crashed(
            runner.incarnation, (fingerprint,), self._clock.monotonic()
        )
        if len(before | {runner.incarnation}) >= ISOLATE_AFTER_CRASHES:
            self._events.record(
                'content_suspect',
                content=fingerprint,
                crashed=','.join(sorted(before | {runner.incarnation})),
                refused=self.is_refused(fingerprint),
            )

    def record_completion(self, fingerprint: str) -> None:
        """Note a run of this content that came to its end."""
        self._book.finished(fingerprint, self._clock.monotonic())

    def recent_news(self) -> list[CrashNews]:
        """Return what to tell the other VMs."""
        told = self._book.recent(self._clock.monotonic() - BROADCAST_S)
        return [
            CrashNews(
                record.fingerprint,
                record.generation,
                sorted(record.runners),
                record.refused,
            )
            for record in told[-MAX_BROADCAST_RECORDS:]
        ]

    def merge_news(self, news: Sequence[CrashNews]) -> None:
        """Take in what another VM knows."""
        records = [
            CrashRecord(
                one.fingerprint,
                one.generation,
                frozenset(one.runners),
                one.refused,
            )
            for one in news
        ]
        self._book.merge(records, self._clock.monotonic())
