"""Quarantine of requests and parts of prompts that crash their runners.

Load pattern: requests that share one part of their prompts, and little else,
crash each runner that begins to answer them; or the connections of many runners
that serve one page are reset at once.
Without it: each of these requests counts as a first crash, and they end a pool
runner by runner; or the page is refused for good, although it is sound.

A crash makes the content of all requests in flight suspect, most of which is
sound and shared by many requests. Crashing content never completes, so content
of any request that completed in the last `SOUND_S` is sound, and a record that
another process sends of it is cleared for all. What is left after a few crashes
is the crashing content.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from bramleybend.decisions.quarantine import (
    SUSPECT_TTL_S,
    ContentStatus,
    CrashRecord,
    CrashRegistry,
)

SOUND_S = 30.0
MAX_SOUND = 10_000


class ContentQuarantine:
    """One process's records of content, shared with the others by gossip."""

    def __init__(self, refusal_ttl_s: float | None = None) -> None:
        """Start without records; without a TTL, refusals last for good."""
        self._registry = CrashRegistry(refusal_ttl_s)
        # When a request with some content last completed, the oldest first.
        self._completed_at: OrderedDict[str, float] = OrderedDict()

    def record_crash(
        self, runner: str, parts: Iterable[str], now: float
    ) -> None:
        """Mark the parts of a request that was in flight on a runner."""
        suspects = [part for part in parts if not self._is_sound(part, now)]
        self._registry.record_crash(runner, suspects, now)

    def record_completion(self, parts: Iterable[str], now: float) -> None:
        """Clear the parts of a request that completed."""
        for part in parts:
            self._registry.record_finish(part, now)
            self._completed_at[part] = now
            self._completed_at.move_to_end(part)
        while len(self._completed_at) > MAX_SOUND:
            self._completed_at.popitem(last=False)

    def withdraw(self, part: str, now: float) -> None:
        """Clear a part's record without taking the part for sound."""
        self._registry.record_finish(part, now)

    def merge(self, records: Sequence[CrashRecord], now: float) -> None:
        """Merge the records of another process; clear those of sound parts."""
        self._registry.merge(records, now)
        for record in records:
            if self._is_sound(record.fingerprint, now):
                self._registry.record_finish(record.fingerprint, now)

    def runners(self, part: str) -> frozenset[str]:
        """Return the runners that crashed with this part in flight."""
        return self._registry.runners(part)

    def is_refused(self, part: str, now: float) -> bool:
        """Tell whether requests with this part must not run."""
        return self._registry.status_of(part, now) is ContentStatus.REFUSED

    def changed_records(self, since: float) -> list[CrashRecord]:
        """Return the records changed since a time, and all refused ones."""
        return self._registry.changed_records(since)

    def aged_records(
        self, min_crashes: int, now: float
    ) -> list[tuple[CrashRecord, float]]:
        """Return records and the seconds since each changed.

        Only those with this many crashes or more, and not the expired ones.
        """
        aged = [
            (record, now - (self._registry.changed_at(record.fingerprint) or 0))
            for record in self._registry.all_records()
            if len(record.runners) >= min_crashes
        ]
        return [(record, age) for record, age in aged if age < SUSPECT_TTL_S]

    def _is_sound(self, part: str, now: float) -> bool:
        completed_at = self._completed_at.get(part)
        return completed_at is not None and now - completed_at < SOUND_S
