"""Pages of the store's logs, kept in a keyed log of our own.

They are deflated: a manifest of 1,400 routes (284 kB) fits no record of the
store otherwise. VMs that started then put in force what had been kept before
the routes were added, 24 s and more after all others had left it behind.
"""

from typing import Final

from result import Err, Ok, Result

from bramleybend.direct.feed_copy import Page
from bramleybend.errors import ErrorKind, Problem
from bramleybend.platform.deflate import InflateError, deflate, inflate
from bramleybend.platform.names import KEPT_TOPIC
from bramleybend.platform.records import UNREADABLE, pack_page, unpack_page
from bramleybend.platform.store import StoreClient

# A record of the store holds 262,144 bytes, its key included. Deflated,
# 1,400 routes take 23 kB and 5,000 runners 132.
MOST_BYTES: Final = 261_000
SPOILT: Final = (*UNREADABLE, InflateError)


class KeptPages:
    """Keeps one page a log, under the log's name."""

    def __init__(self, store: StoreClient) -> None:
        """Keep them in this store."""
        self._store = store
        self._dropped: set[str] = set()

    async def save(self, name: str, page: Page) -> Result[None, Problem]:
        """Keep a log's newest records in place of those kept before."""
        content = deflate(pack_page(page))
        if len(content) > MOST_BYTES:
            await self._drop(name)
            problem = Problem(
                ErrorKind.BAD_RECORD,
                f'{len(content)} bytes of {name} are too many for one record',
                'VMs that start while that log is away wait for it',
            )
            return Err(problem)
        self._dropped.discard(name)
        return await self._store.put(KEPT_TOPIC, name, content)

    async def load(self, name: str) -> Result[Page | None, Problem]:
        """Return what was kept of a log."""
        answer = await self._store.newest(KEPT_TOPIC)
        if isinstance(answer, Err):
            return answer
        for record in answer.ok_value.records:
            if record.key == name:
                return _unpacked(record.content)
        return Ok(None)

    async def _drop(self, name: str) -> None:
        """Drop what was kept before of a log that has grown too large.

        A VM that starts would put in force what all others have left long
        ago; without it, it waits for the log, and refuses till then. Where
        the store doesn't take it, the next try to keep the page drops it.
        """
        if name in self._dropped:
            return
        dropped = await self._store.put(KEPT_TOPIC, name, b'')
        if dropped.is_ok():
            self._dropped.add(name)


def _unpacked(content: bytes) -> Result[Page | None, Problem]:
    try:
        changes = unpack_page(inflate(content), 0)
    except SPOILT as exc:
        problem = Problem(
            ErrorKind.BAD_RECORD,
            f'what was kept cannot be read: {exc!r}',
            'it is written again with the next change',
        )
        return Err(problem)
    return Ok(Page(changes.records, changes.end, whole=True))
