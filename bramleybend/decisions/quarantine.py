"""Quarantine of requests whose content crashes their runners.

Load pattern: a request crashes its runner, and its caller sends it again under
a new ID.
Without it: one prompt crashes the whole pool, runner by runner, with all
requests in flight on each.

Content that was in flight at a crash is suspect and runs alone from then on, so
a further crash identifies it. Content is refused permanently after crashes on
`REFUSAL_CRASHES` runners: the first among other requests, the next two alone.
With a limit of two, a runner that crashes by itself under an innocent suspect
would get it refused; the third crash costs one more runner. Several crashes of
one runner count once, since the runner may be faulty; so a suspect is sent to a
runner that it has not crashed yet. In a pool of fewer than `REFUSAL_CRASHES`
runners, each crash counts. A run that ends normally clears its content, since
crashes by content repeat.

Records merge in any order: clearing raises the generation, and of two records
the one with the higher generation wins; equal generations are united.

With `refusal_ttl_s`, a refusal can be revised: it ends after this time without
a further crash, or with a run that ends normally. Then a single run at a time
tells whether the content still crashes runners.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum
from math import inf

REFUSAL_CRASHES = 3
MAX_RECORDS = 10_000
SUSPECT_TTL_S = 3600.0  # after the last change of the record


class ContentStatus(StrEnum):
    """How a request with this content is treated."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    REFUSED = 'refused'


@dataclass(frozen=True)
class CrashRecord:
    """The known crashes of one content fingerprint."""

    fingerprint: str
    generation: int = 0
    runners: frozenset[str] = frozenset()
    refused: bool = False


class CrashRegistry:
    """One process's crash records, shared with the others by gossip."""

    def __init__(self, refusal_ttl_s: float | None = None) -> None:
        """Start without records; without a TTL, refusals last for good."""
        self._refusal_ttl_s = refusal_ttl_s
        self._records: OrderedDict[str, CrashRecord] = OrderedDict()
        self._changed_at: dict[str, float] = {}

    def record_crash(
        self,
        runner: str,
        fingerprints: Iterable[str],
        now: float,
    ) -> None:
        """Mark all content that was in flight on a crashed runner as suspect."""
        for fingerprint in set(fingerprints):
            record = self._record(fingerprint)
            runners = record.runners | {runner}
            self._store(replace(record, runners=runners), now)

    def record_finish(self, fingerprint: str, now: float) -> None:
        """Clear content whose run ended normally."""
        record = self._record(fingerprint)
        if record.refused and not self._is_revisable:
            return
        if record.runners:
            cleared = CrashRecord(fingerprint, record.generation + 1)
            self._store(cleared, now)

    def runners(self, fingerprint: str) -> frozenset[str]:
        """Return the runners that crashed with this content in flight."""
        return self._record(fingerprint).runners

    def status_of(self, fingerprint: str, now: float) -> ContentStatus:
        """Return how content is treated now."""
        record = self._record(fingerprint)
        age = now - self._changed_at.get(fingerprint, now)
        if record.refused and age < (self._refusal_ttl_s or inf):
            return ContentStatus.REFUSED
        if record.runners and age < SUSPECT_TTL_S:
            return ContentStatus.SUSPECT
        return ContentStatus.CLEAR

    def all_records(self) -> list[CrashRecord]:
        """Return the records for the other processes."""
        return list(self._records.values())

    def changed_records(self, since: float) -> list[CrashRecord]:
        """Return the records changed since a time, and all refused ones."""
        return [
            record
            for fingerprint, record in self._records.items()
            if record.refused or self._changed_at[fingerprint] >= since
        ]

    def changed_at(self, fingerprint: str) -> float | None:
        """Return when a record last changed, or `None` without a record."""
        return self._changed_at.get(fingerprint)

    def merge(self, records: Iterable[CrashRecord], now: float) -> None:
        """Merge the records of another process."""
        for record in records:
            own_record = self._record(record.fingerprint)
            merged = _merge(own_record, record)
            if self._is_revisable:
                merged = replace(merged, refused=False)
            if _differ(merged, own_record):
                self._store(merged, now)

    @property
    def _is_revisable(self) -> bool:
        return self._refusal_ttl_s is not None

    def _record(self, fingerprint: str) -> CrashRecord:
        return self._records.get(fingerprint, CrashRecord(fingerprint))

    def _store(self, record: CrashRecord, now: float) -> None:
        refused = record.refused or len(record.runners) >= REFUSAL_CRASHES
        fingerprint = record.fingerprint
        self._records[fingerprint] = replace(record, refused=refused)
        self._records.move_to_end(fingerprint)
        self._changed_at[fingerprint] = now
        if len(self._records) > MAX_RECORDS:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        # Records of refused content are dropped last: without its record, the
        # content would crash three runners again.
        oldest = next(
            (name for name, rec in self._records.items() if not rec.refused),
            next(iter(self._records)),
        )
        self._records.pop(oldest)
        self._changed_at.pop(oldest)


def _merge(one: CrashRecord, other: CrashRecord) -> CrashRecord:
    newest = max(one, other, key=_generation_of)
    runners = newest.runners
    if one.generation == other.generation:
        runners = one.runners | other.runners
    refused = one.refused or other.refused
    return replace(newest, runners=runners, refused=refused)


def _differ(one: CrashRecord, other: CrashRecord) -> bool:
    if one.refused and not other.refused:
        return True
    return (one.generation, one.runners) != (other.generation, other.runners)


def _generation_of(record: CrashRecord) -> int:
    return record.generation
