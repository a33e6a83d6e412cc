"""The log of stream origins, in a topic of the platform's store."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import msgspec
from result import Ok, Result

from bramleybend.direct.feed_copy import Page
from bramleybend.direct.messages import StreamOrigin
from bramleybend.direct.stream_origins import StreamLogPage
from bramleybend.errors import Problem
from bramleybend.platform.runner_entry import decode_runner
from bramleybend.platform.snapshot_store import SnapshotStore
from bramleybend.platform.store_client import StoreClient
from bramleybend.platform.wire_names import RUNNER_TOPIC, STREAM_TOPIC

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(list[StreamOrigin])


class StreamRecords:
    """Keeps the origins of one append in one record."""

    def __init__(self, store: StoreClient) -> None:
        """Keep the records in this store."""
        self._store = store
        self._backups = SnapshotStore(store)

    async def append(
        self, origins: Sequence[StreamOrigin]
    ) -> Result[None, Problem]:
        """Append origins."""
        content = _encoder.encode(origins)
        return await self._store.append_record(STREAM_TOPIC, '', content)

    async def read(self, start: int) -> Result[StreamLogPage, Problem]:
        """Return the origins from an offset on."""
        page = await self._store.fetch_retained(STREAM_TOPIC, start)
        return page.map(_decode_page)

    async def earlier_versions(
        self,
    ) -> Result[Mapping[str, set[str]] | None, Problem]:
        """Return the versions in the backup of the list of runners."""
        page = await self._backups.load(RUNNER_TOPIC)
        return page.map(_versions_in)

    async def trim(self, end: int) -> Result[None, Problem]:
        """Delete the records before an offset."""
        return await self._store.trim(STREAM_TOPIC, end)


def _versions_in(page: Page | None) -> dict[str, set[str]] | None:
    if page is None:
        return None
    versions: dict[str, set[str]] = defaultdict(set)
    for record in page.records:
        decoded = decode_runner(record.key, record.content)
        if isinstance(decoded, Ok):
            entry = decoded.ok_value
            versions[entry.service].add(entry.version)
    return dict(versions)


def _decode_page(page: Page) -> StreamLogPage:
    origins = [
        origin
        for record in page.records
        for origin in _decode_record(record.content)
    ]
    return StreamLogPage(origins, page.end, is_empty=not page.records)


def _decode_record(content: bytes) -> Iterable[StreamOrigin]:
    try:
        return _decoder.decode(content)
    except (msgspec.MsgspecError, RecursionError):
        # Streams of an unreadable record are of unknown origin.
        return ()
