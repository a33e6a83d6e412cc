"""The records of crashing content, in a keyed topic of the platform's store."""

from collections.abc import Sequence
from typing import Final

import msgspec
from result import Result

from bramleybend.direct.containment import SavedCrashes
from bramleybend.direct.feed_copy import Page
from bramleybend.errors import Problem
from bramleybend.platform.store_client import StoreClient
from bramleybend.platform.wire_names import QUARANTINE_TOPIC

_KEY: Final = 'crashes'
_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(list[SavedCrashes])


class QuarantineRecords:
    """Keeps all records in one record of the store."""

    def __init__(self, store: StoreClient) -> None:
        """Keep the records in this store."""
        self._store = store

    async def save(
        self, records: Sequence[SavedCrashes]
    ) -> Result[None, Problem]:
        """Save records in place of the saved ones."""
        content = _encoder.encode(records)
        return await self._store.append_record(QUARANTINE_TOPIC, _KEY, content)

    async def load(self) -> Result[Sequence[SavedCrashes], Problem]:
        """Return the saved records."""
        page = await self._store.fetch_newest(QUARANTINE_TOPIC)
        return page.map(_decode_page)


def _decode_page(page: Page) -> Sequence[SavedCrashes]:
    for record in page.records:
        if record.key == _KEY:
            return _decode(record.content)
    return ()


def _decode(content: bytes) -> Sequence[SavedCrashes]:
    try:
        return _decoder.decode(content)
    except (msgspec.MsgspecError, RecursionError):
        # Another writer's record; the next save replaces it.
        return ()
