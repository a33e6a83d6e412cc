"""Crash records on the wire, for gateways and other schedulers."""

from collections.abc import Iterable
from random import Random

from bramleybend.decisions.quarantine import CrashBook, CrashRecord
from bramleybend.wire.bramleybend_pb2 import SuspectRecord


def export_suspects(book: CrashBook) -> list[SuspectRecord]:
    """Encode every crash record."""
    return _encode_suspects(book.export())


def merge_suspects(
    book: CrashBook,
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
    book: CrashBook, rng: Random, limit: int
) -> list[SuspectRecord]:
    """Encode a random sample of `limit` records, to bound the message size."""
    records = book.export()
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
