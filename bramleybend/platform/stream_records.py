"""The log of stream origins, in a topic of the platform's store."""

from collections.abc import Iterable, Sequence
from typing import Final

import msgspec
from result import Result

from bramleybend.direct.feed_copy import Page
from bramleybend.direct.messages import StreamOrigin
from bramleybend.direct.stream_origins import StreamLogPage
from bramleybend.errors import Problem
from bramleybend.platform.store_client import StoreClient
from bramleybend.platform.wire_names import STREAM_TOPIC

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(list[StreamOrigin])


class StreamRecords:
    """Keeps the origins of one append in one record."""

    def __init__(self, store: StoreClient) -> None:
        """Keep the records in this store."""
        self._store = store

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

    async def trim(self, end: int) -> Result[None, Problem]:
        """Delete the records before an offset."""
        return await self._store.trim(STREAM_TOPIC, end)


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
    except msgspec.MsgspecError:
        # Streams of an unreadable record are of unknown origin.
        return ()
