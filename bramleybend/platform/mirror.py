"""Serves this VM's copy of the store's logs to the other VMs.

It answers the calls that the store answers, so the same client reads both.
"""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Final
from urllib.parse import parse_qs

import msgspec

from bramleybend.direct.feed_copy import FeedCopy, Page
from bramleybend.direct.replies import RawRequest, Reply, own_reply
from bramleybend.direct.responder import Responder
from bramleybend.platform.records import pack_page

NEWEST: Final = '/log-newest'


class Mirror:
    """The handler of the other VMs' reads."""

    def __init__(self, copies: Mapping[str, FeedCopy]) -> None:
        """Serve copies, by the name of their log."""
        self._copies = copies

    async def handle(self, req: RawRequest, responder: Responder) -> None:
        """Answer one read."""
        await responder.reply(self.answer(req))

    def answer(self, req: RawRequest) -> Reply:
        """Return the answer to one read."""
        text = req.target.partition(b'?')[2].decode('latin-1')
        query = parse_qs(text)
        copy = self._copies.get(query.get('topic', [''])[0])
        if copy is None:
            return own_reply(HTTPStatus.NOT_FOUND, 'that log is not followed')
        if req.path == NEWEST:
            return _newest(copy.newest())
        start = query.get('from', ['0'])[0]
        page = copy.changes(int(start)) if start.isdecimal() else None
        if page is None:
            return own_reply(HTTPStatus.GONE, 'read the newest records')
        return Reply(HTTPStatus.OK, (), pack_page(page))


def _newest(page: Page | None) -> Reply:
    if page is None:
        return own_reply(HTTPStatus.SERVICE_UNAVAILABLE, 'nothing is read yet')
    items = [
        {
            'key': record.key,
            'value': record.content,
            'offset': record.offset,
        }
        for record in page.records
    ]
    body = msgspec.json.encode(
        {'items': items, 'hasMore': False, 'end': page.end}
    )
    return Reply(HTTPStatus.OK, (), body)
