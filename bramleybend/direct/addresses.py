"""Which of several entries at one address is the runner that is there.

The entry of a runner that crashed stands until it lapses, and its successor
may be listed before that, at the same address.
"""

from collections.abc import Collection, Container
from typing import TypeAlias

from bramleybend.direct.models import RunnerEntry

Address: TypeAlias = tuple[str, int]


def drop_replaced_entries(
    entries: Collection[RunnerEntry], services: Container[str]
) -> list[RunnerEntry]:
    """Drop the entries that another one at their address has replaced.

    Only a runner of one of the `services`, by the start that it tells,
    replaces another.
    """
    newest: dict[Address, int] = {}
    for named in entries:
        if named.service in services:
            at = _address_of(named)
            newest[at] = max(newest.get(at, 0), named.started_ms)
    return [
        entry
        for entry in entries
        if not entry.started_ms
        or entry.started_ms >= newest.get(_address_of(entry), 0)
    ]


def _address_of(entry: RunnerEntry) -> Address:
    return (entry.address, entry.port)
