"""Crash records on the wire, for gateways and other schedulers."""

from collections.abc import Iterable
from random import Random

from bramleybend.decisions.quarantine import CrashRecord, CrashRegistry
from bramleybend.wire.bramleybend_pb2 import SuspectRecord


def export_suspects(book: CrashRegistry) -> list[SuspectRecord]:
    """Encode every crash record."""
    return _encode_suspects(book.all_records())


def merge_suspects(
    book: CrashRegistry,
    records: Iterable[SuspectRecord],
    now: float,
) -> None:
    """Merge the crash records of another scheduler."""
    book.merge(
        [
            CrashRecord(
                record.fingerprint,
                record.generation,
                frozenset(record.runners),
                record.refused,
            )
            for record in records
        ],
        now,
    )


def sample_suspects(
    book: CrashRegistry, rng: Random, limit: int
) -> list[SuspectRecord]:
    """Encode a random sample of `limit` records, to bound the message size."""
    records = book.all_records()
    return _encode_suspects(rng.sample(records, min(limit, len(records))))


def _encode_suspects(records: Iterable[CrashRecord]) -> list[SuspectRecord]:
    return [
        SuspectRecord(
            fingerprint=record.fingerprint,
            generation=record.generation,
            runners=sorted(record.runners),
            refused=record.refused,
        )
        for record in records
    ]
