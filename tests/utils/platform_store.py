"""Stand-in for the platform's metadata store, with keyed topics only."""

import asyncio
import base64
import json
import struct
from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from tests.utils.http_server import (
    DropConnectionError,
    HttpRequest,
    HttpResponse,
    HttpServer,
    json_response,
)


@dataclass
class Topic:
    """A topic of one partition.

    `first` is the first retained offset; `newest` has the last offset and
    content of each key.
    """

    records: list[tuple[str, bytes]] = field(default_factory=list)
    first: int = 0
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key: str, content: bytes) -> None:
        """Append a record; empty content deletes the key."""
        offset = len(self.records)
        self.records.append((key, content))
        if content:
            self.newest[key] = (offset, content)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()


class PlatformStore:
    """Serves keyed topics; tests set its faults through its attributes."""

    def __init__(self, host: str) -> None:
        """Set the address; the server listens on a free port."""
        self.topics: dict[str, Topic] = {}
        self.calls: list[str] = []
        self.page_size = 500
        self.silent = False
        self.silent_topics: set[str] = set()
        self.status: int | None = None
        self.server = HttpServer(host, 0, self._handle)

    def topic(self, name: str) -> Topic:
        """Return a topic; the first use creates it."""
        return self.topics.setdefault(name, Topic())

    def put(self, name: str, key: str, value: object) -> None:
        """Append a record with `value` as JSON."""
        self.topic(name).put(key, json.dumps(value).encode())

    async def _handle(self, req: HttpRequest) -> HttpResponse:
        self.calls.append(req.path)
        if req.path == '/log-trim':
            return self._trim(json.loads(req.body))
        if self.silent or req.query['topic'] in self.silent_topics:
            await asyncio.sleep(60)
            raise DropConnectionError
        if self.status is not None:
            return HttpResponse(self.status)
        topic = self.topic(req.query['topic'])
        if req.path == '/log-append':
            return self._append(topic, req.body)
        if req.path == '/log-newest':
            return self._newest(topic, req.query.get('after', ''))
        return await self._read(topic, req.query)

    def _append(self, topic: Topic, body: bytes) -> HttpResponse:
        offset = len(topic.records)
        size = struct.unpack_from('>I', body)[0]
        assert len(body) == size + 4, 'an append must have exactly one record'
        name = body[5 : 5 + body[4]].decode()
        topic.put(name, body[5 + body[4] :])
        return json_response({'offset': offset, 'end': offset + 1})

    def _trim(self, query: Mapping[str, Any]) -> HttpResponse:
        self.topic(query['topic']).first = query['before']
        return json_response({})

    def _newest(self, topic: Topic, after: str) -> HttpResponse:
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                'key': key,
                'value': base64.b64encode(topic.newest[key][1]).decode(),
                'offset': topic.newest[key][0],
            }
            for key in keys[: self.page_size]
        ]
        return json_response(
            {
                'items': items,
                'hasMore': len(keys) > self.page_size,
                'end': len(topic.records),
            }
        )

    async def _read(
        self, topic: Topic, query: Mapping[str, str]
    ) -> HttpResponse:
        start = int(query['from'])
        if start < topic.first:
            return json_response({'first': topic.first}, HTTPStatus.GONE)
        if start >= len(topic.records) and 'waitMs' in query:
            try:
                async with asyncio.timeout(int(query['waitMs']) / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        body = struct.pack('>QQ', len(topic.records), topic.first)
        for key, content in topic.records[start:]:
            name = key.encode()
            record = bytes((len(name),)) + name + content
            body += struct.pack('>I', len(record)) + record
        return HttpResponse(HTTPStatus.OK, body)
