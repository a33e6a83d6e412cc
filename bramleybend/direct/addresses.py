"""Selects the current runner among several entries with one address.

The entry of a crashed runner stays listed until it expires, and its successor
at the same address may be listed before that.
"""

from collections.abc import Collection, Container
from typing import TypeAlias

from bramleybend.direct.models import RunnerEntry

Address: TypeAlias = tuple[str, int]


def drop_replaced_entries(
    entries: Collection[RunnerEntry], services: Container[str]
) -> list[RunnerEntry]:
    """Drop entries that a newer entry with the same address replaces.

    Only an entry of one of `services` replaces others; the one with the latest
    `started_ms` stays, and so do entries without it.
    """
    newest: dict[Address, int] = {}
    for replacing in entries:
        if replacing.service in services:
            address = _address_of(replacing)
            newest[address] = max(newest.get(address, 0), replacing.started_ms)
    return [
        entry
        for entry in entries
        if not entry.started_ms
        or entry.started_ms >= newest.get(_address_of(entry), 0)
    ]


def _address_of(entry: RunnerEntry) -> Address:
    return (entry.address, entry.port)
