"""Snapshots of the store's logs, saved in a keyed topic of this system.

Snapshots are deflated, as a manifest of 1,400 routes (284 kB) is otherwise
too large for a record of the store. Without compression, the snapshot from
before the routes were added stayed in the topic, and VMs that started applied
it 24 s or more after all other VMs had replaced that version.
"""

from typing import Final

from result import Err, Ok, Result

from bramleybend.direct.feed_copy import Page
from bramleybend.errors import ErrorKind, Problem
from bramleybend.platform.deflate import InflateError, deflate, inflate
from bramleybend.platform.record_format import (
    UNPACK_ERRORS,
    pack_page,
    unpack_page,
)
from bramleybend.platform.store_client import StoreClient
from bramleybend.platform.wire_names import SNAPSHOT_TOPIC

# A record of the store holds up to 262,144 bytes with its key. Deflated,
# 1,400 routes take 23 kB and 5,000 runners take 132 kB.
MAX_SNAPSHOT_BYTES: Final = 261_000
DECODE_ERRORS: Final = (*UNPACK_ERRORS, InflateError)


class SnapshotStore:
    """Saves and loads one snapshot per log, with the log's name as key."""

    def __init__(self, store: StoreClient) -> None:
        """Save the snapshots in this store."""
        self._store = store
        self._deleted: set[str] = set()

    async def save(self, name: str, page: Page) -> Result[None, Problem]:
        """Save a log's newest records, replacing its previous snapshot."""
        content = deflate(pack_page(page))
        if len(content) > MAX_SNAPSHOT_BYTES:
            await self._delete_outdated(name)
            problem = Problem(
                ErrorKind.BAD_RECORD,
                f'{len(content)} bytes of {name} are too many for one record',
                'VMs that start while that log is away wait for it',
            )
            return Err(problem)
        self._deleted.discard(name)
        return await self._store.append_record(SNAPSHOT_TOPIC, name, content)

    async def load(self, name: str) -> Result[Page | None, Problem]:
        """Return the snapshot of a log; `None` if there is none."""
        response = await self._store.fetch_newest(SNAPSHOT_TOPIC)
        if isinstance(response, Err):
            return response
        for record in response.ok_value.records:
            if record.key == name:
                return _unpack_snapshot(record.content)
        return Ok(None)

    async def _delete_outdated(self, name: str) -> None:
        """Delete the snapshot of a log that has grown too large to save.

        A VM that starts would apply the outdated snapshot. Without one, it
        waits for the log and rejects requests until it has read it. If the
        store refuses the deletion, the next attempt to save repeats it.
        """
        if name in self._deleted:
            return
        deletion = await self._store.append_record(SNAPSHOT_TOPIC, name, b'')
        if deletion.is_ok():
            self._deleted.add(name)


def _unpack_snapshot(content: bytes) -> Result[Page | None, Problem]:
    try:
        page = unpack_page(inflate(content), 0)
    except DECODE_ERRORS as exc:
        problem = Problem(
            ErrorKind.BAD_RECORD,
            f'what was kept cannot be read: {exc!r}',
            'it is written again with the next change',
        )
        return Err(problem)
    return Ok(Page(page.records, page.end, is_snapshot=True))
