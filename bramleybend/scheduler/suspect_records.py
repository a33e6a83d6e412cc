"""Crash suspicion on the wire: to gateways and to other schedulers."""

from collections.abc import Iterable
from random import Random

from bramleybend.decisions.quarantine import CrashBook, CrashRecord
from bramleybend.wire.bramleybend_pb2 import SuspectRecord


def export_suspects(book: CrashBook) -> list[SuspectRecord]:
    """Put every record on the wire."""
    return _encode_suspects(book.export())


def merge_suspects(
    book: CrashBook,
    records: Iterable[SuspectRecord],
    now: float,
) -> None:
    """Take in what another scheduler knows."""
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
    """Put a random part of the records on the wire, so messages are bounded."""
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
