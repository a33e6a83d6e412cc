"""Requests whose content crashes the runners that run it.

Load pattern: one request kills its runner, and its caller sends it again
under a new id.
Without it: one prompt takes down the whole pool, a runner at a time, and all
that was in flight on each.

What was in flight at a crash is suspect and runs alone from then on, so a
further crash points at it. Content is refused for good after crashes on
`CONDEMNED` runners: the first in company, the next two alone. With two, a
runner that dies of itself under an innocent suspect would condemn it; the
third costs one more runner. One runner crashing twice counts once, as it may
be the faulty part; so a suspect goes to a runner that it has not crashed yet,
and in a pool of fewer than `CONDEMNED` runners each crash counts. Finishing
clears, since crashes by content repeat.

Records merge in any order: a clearance raises the generation, and of two
records the higher generation holds; equal ones are united.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum

CONDEMNED = 3
MAX_RECORDS = 10_000
SUSPECT_TTL_S = 3600.0  # without a crash or a finish in between


class Verdict(StrEnum):
    """How a request's content is to be treated."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    REFUSED = 'refused'


@dataclass(frozen=True)
class CrashRecord:
    """What is known of one fingerprint."""

    fingerprint: str
    generation: int = 0
    runners: frozenset[str] = frozenset()
    refused: bool = False


class CrashBook:
    """One process's records, shared with the others by gossip."""

    def __init__(self) -> None:
        """Start with nothing suspect."""
        self._records: OrderedDict[str, CrashRecord] = OrderedDict()
        self._changed_at: dict[str, float] = {}

    def crashed(
        self,
        runner: str,
        fingerprints: Iterable[str],
        now: float,
    ) -> None:
        """Suspect all content that was in flight on a crashed runner."""
        for fingerprint in set(fingerprints):
            record = self._record(fingerprint)
            runners = record.runners | {runner}
            self._store(replace(record, runners=runners), now)

    def finished(self, fingerprint: str, now: float) -> None:
        """Clear content that ran to its end."""
        record = self._record(fingerprint)
        if record.runners and not record.refused:
            cleared = CrashRecord(fingerprint, record.generation + 1)
            self._store(cleared, now)

    def runners(self, fingerprint: str) -> frozenset[str]:
        """Return the runners that crashed with this content in flight."""
        return self._record(fingerprint).runners

    def verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return how content is to be treated now."""
        record = self._record(fingerprint)
        if record.refused:
            return Verdict.REFUSED
        age = now - self._changed_at.get(fingerprint, now)
        if record.runners and age < SUSPECT_TTL_S:
            return Verdict.SUSPECT
        return Verdict.CLEAR

    def export(self) -> list[CrashRecord]:
        """Return the records for the other processes."""
        return list(self._records.values())

    def recent(self, since: float) -> list[CrashRecord]:
        """Return what changed since, and all that is refused."""
        return [
            record
            for fingerprint, record in self._records.items()
            if record.refused or self._changed_at[fingerprint] >= since
        ]

    def merge(self, records: Iterable[CrashRecord], now: float) -> None:
        """Take in the records of another process."""
        for record in records:
            own = self._record(record.fingerprint)
            merged = _merge(own, record)
            if merged != own:
                self._store(merged, now)

    def _record(self, fingerprint: str) -> CrashRecord:
        return self._records.get(fingerprint, CrashRecord(fingerprint))

    def _store(self, record: CrashRecord, now: float) -> None:
        refused = record.refused or len(record.runners) >= CONDEMNED
        fingerprint = record.fingerprint
        self._records[fingerprint] = replace(record, refused=refused)
        self._records.move_to_end(fingerprint)
        self._changed_at[fingerprint] = now
        if len(self._records) > MAX_RECORDS:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        # Refused content goes last: it would crash three runners again.
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


def _generation_of(record: CrashRecord) -> int:
    return record.generation
