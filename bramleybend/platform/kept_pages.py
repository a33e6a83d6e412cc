"""Pages of the store's logs, kept in a keyed log of our own."""

from typing import Final

from result import Err, Ok, Result

from bramleybend.direct.feed_copy import Page
from bramleybend.errors import ErrorKind, Problem
from bramleybend.platform.names import KEPT_TOPIC
from bramleybend.platform.records import UNREADABLE, pack_page, unpack_page
from bramleybend.platform.store import StoreClient

# A record of the store holds 262,144 bytes, its key included.
MOST_BYTES: Final = 261_000


class KeptPages:
    """Keeps one page a log, under the log's name."""

    def __init__(self, store: StoreClient) -> None:
        """Keep them in this store."""
        self._store = store

    async def keep(self, name: str, page: Page) -> Result[None, Problem]:
        """Keep a log's newest records in place of those kept before."""
        content = pack_page(page)
        if len(content) > MOST_BYTES:
            problem = Problem(
                ErrorKind.BAD_RECORD,
                f'{len(content)} bytes of {name} are too many for one record',
                'VMs that start while that log is away wait for it',
            )
            return Err(problem)
        return await self._store.put(KEPT_TOPIC, name, content)

    async def kept(self, name: str) -> Result[Page | None, Problem]:
        """Return what was kept of a log."""
        answer = await self._store.newest(KEPT_TOPIC)
        if isinstance(answer, Err):
            return answer
        for record in answer.ok_value.records:
            if record.key == name:
                return _unpacked(record.content)
        return Ok(None)


def _unpacked(content: bytes) -> Result[Page | None, Problem]:
    try:
        changes = unpack_page(content, 0)
    except UNREADABLE as exc:
        problem = Problem(
            ErrorKind.BAD_RECORD,
            f'what was kept cannot be read: {exc!r}',
            'it is written again with the next change',
        )
        return Err(problem)
    return Ok(Page(changes.records, changes.end, whole=True))
