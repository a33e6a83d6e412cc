"""HTTP client of the platform's metadata store and of other VMs' copies.

A keyed topic is a log that retains the newest record of each key. A reader
asks for the records from an offset on. If the log no longer holds that
offset, the reader gets the newest record of each key instead.
"""

import asyncio
from collections.abc import Mapping
from contextlib import suppress
from functools import partial
from http import HTTPStatus
from typing import Final
from urllib.parse import urlencode

import h11
import msgspec
from result import Err, Ok, Result

from bramleybend.clients.channel import (
    Channel,
    HeaderList,
    OutgoingRequest,
    ResponseHead,
    connect,
)
from bramleybend.clients.message_bounds import MessageBounds
from bramleybend.clock import Clock
from bramleybend.direct.feed_copy import KeyedRecord, Page
from bramleybend.errors import ErrorKind, Problem
from bramleybend.platform.deflate import (
    ACCEPT_ENCODING,
    DEFLATE,
    MAX_INFLATED_BYTES,
    inflate,
)
from bramleybend.platform.record_format import (
    UNPACK_ERRORS,
    pack_record,
    unpack_page,
)

# Limits the wait for a response to begin and each pause within it. The store
# usually responds in 4 ms, and in 60 times that when it is slow. One second
# for the whole response was too short: a VM whose callers used half of its
# 5 Mbit/s link could never read a manifest of 3,000 routes, so it answered
# 404 for as long as it ran.
READ_TIMEOUT_S: Final = 1.0
# Limits a response body that keeps arriving, but too slowly. A link of
# 5 Mbit/s carries 6 MB in this time.
BODY_TIMEOUT_S: Final = 10.0
# Limits a response body sent by another VM. Changes must take effect within
# two seconds, so a reader gives up on a slow VM early enough to read the
# change from the store in the remaining time.
MIRROR_BODY_TIMEOUT_S: Final = 1.5
STORE_BOUNDS: Final = MessageBounds(message_bytes=MAX_INFLATED_BYTES)
JSON_ERRORS: Final = (msgspec.MsgspecError, RecursionError)
RETAINED_ERRORS: Final = (*UNPACK_ERRORS, *JSON_ERRORS)
CALL_ERRORS: Final = (OSError, EOFError, h11.ProtocolError)


class _Item(msgspec.Struct):
    key: str
    value: bytes  # base64 on the wire
    offset: int


class _NewestResponse(msgspec.Struct, rename='camel'):
    items: list[_Item]
    end: int
    has_more: bool = False


class _GoneResponse(msgspec.Struct):
    first: int  # oldest offset retained


_gone_decoder: Final = msgspec.json.Decoder(_GoneResponse)
_newest_decoder: Final = msgspec.json.Decoder(_NewestResponse)


class StoreClient:
    """Reads and writes keyed topics over pooled connections."""

    def __init__(
        self,
        address: str,
        port: int,
        clock: Clock,
        headers: HeaderList = (),
        body_timeout_s: float = BODY_TIMEOUT_S,
    ) -> None:
        """Set the store's address; connections are opened on demand.

        `body_timeout_s` limits the time from a response's head to its end.
        """
        self.address = address
        self._body_timeout_s = body_timeout_s
        self.port = port
        self._clock = clock
        host = f'{address}:{port}'.encode()
        self._headers = [(b'Host', host), *headers]
        self._idle_channels: list[Channel] = []
        self.call_count = 0

    async def fetch_newest(self, topic: str) -> Result[Page, Problem]:
        """Return the newest record of each key.

        The store may change between two of its pages, so the result's `end`
        is that of the first page: reading on from there returns all changes
        made since.
        """
        first_result = await self._read_newest_page(topic, '')
        if isinstance(first_result, Err):
            return first_result
        page = first_result.ok_value
        items = list(page.items)
        while page.has_more and page.items:
            next_result = await self._read_newest_page(
                topic, page.items[-1].key
            )
            if isinstance(next_result, Err):
                return next_result
            page = next_result.ok_value
            items.extend(page.items)
        records = tuple(_make_record(item) for item in items)
        return Ok(Page(records, first_result.ok_value.end, is_snapshot=True))

    async def fetch_changes(
        self,
        topic: str,
        start: int,
        wait_s: float,
    ) -> Result[Page, Problem]:
        """Return the records from an offset on.

        Waits up to `wait_s` seconds for one to be appended. Returns the
        newest record of each key if older records are no longer retained.
        """
        query = {'topic': topic, 'part': '0', 'from': str(start)}
        if wait_s:
            query['waitMs'] = str(int(wait_s * 1000))
        response = await self._call('/log-read', query, wait_s)
        if isinstance(response, Err):
            return response
        status, body = response.ok_value
        if status == HTTPStatus.GONE:
            return await self.fetch_newest(topic)
        try:
            return Ok(unpack_page(body, start))
        except UNPACK_ERRORS as exc:
            return Err(_decode_problem(exc))

    async def fetch_retained(
        self, topic: str, start: int
    ) -> Result[Page, Problem]:
        """Return the records from an offset on, or from the first retained."""
        query = {'topic': topic, 'part': '0', 'from': str(start)}
        response = await self._call('/log-read', query)
        if isinstance(response, Err):
            return response
        status, body = response.ok_value
        try:
            if status != HTTPStatus.GONE:
                return Ok(unpack_page(body, start))
            first = _gone_decoder.decode(body).first
        except RETAINED_ERRORS as exc:
            return Err(_decode_problem(exc))
        if first <= start:
            return Err(_decode_problem(ValueError(f'first offset {first}')))
        return await self.fetch_retained(topic, first)

    async def trim(self, topic: str, before: int) -> Result[None, Problem]:
        """Delete the records of a topic before an offset."""
        body = msgspec.json.encode(
            {'topic': topic, 'part': 0, 'before': before}
        )
        response = await self._call('/log-trim', {}, body=body)
        return response.map(_discard_body)

    async def append_record(
        self, topic: str, key: str, content: bytes
    ) -> Result[None, Problem]:
        """Append a record; after an error, it may have been appended."""
        query = {'topic': topic, 'part': '0'}
        body = pack_record(key, content)
        response = await self._call('/log-append', query, body=body)
        return response.map(_discard_body)

    def close(self) -> None:
        """Abort the idle connections."""
        for channel in self._idle_channels:
            channel.abort()
        self._idle_channels.clear()

    async def _read_newest_page(
        self, topic: str, after: str
    ) -> Result[_NewestResponse, Problem]:
        query = {'topic': topic, 'part': '0'}
        if after:
            query['after'] = after
        response = await self._call('/log-newest', query)
        if isinstance(response, Err):
            return response
        try:
            return Ok(_newest_decoder.decode(response.ok_value[1]))
        except JSON_ERRORS as exc:
            return Err(_decode_problem(exc))

    async def _call(
        self,
        path: str,
        query: Mapping[str, str],
        extra_timeout_s: float = 0,
        body: bytes = b'',
    ) -> Result[tuple[int, bytes], Problem]:
        self.call_count += 1
        target = f'{path}?{urlencode(query)}'.rstrip('?').encode()
        method = b'POST' if body else b'GET'
        outgoing = OutgoingRequest(method, target, self._headers, body)
        try:
            async with asyncio.timeout(
                READ_TIMEOUT_S + extra_timeout_s
            ) as read_timeout:
                return await self._exchange(outgoing, read_timeout)
        except CALL_ERRORS as exc:
            return Err(self._no_response_problem(exc))

    async def _exchange(
        self, outgoing: OutgoingRequest, read_timeout: asyncio.Timeout
    ) -> Result[tuple[int, bytes], Problem]:
        channel = await self._acquire_channel()
        is_reusable = False
        try:
            head, content = await self._read_response(
                channel, outgoing, read_timeout
            )
            is_reusable = channel.release()
        finally:
            self._release_channel(channel, is_reusable)
        if head.status not in {HTTPStatus.OK, HTTPStatus.GONE}:
            return Err(self._status_problem(head.status))
        if head.get('content-encoding') == DEFLATE.decode():
            content = inflate(content)
        return Ok((head.status, content))

    async def _read_response(
        self,
        channel: Channel,
        outgoing: OutgoingRequest,
        read_timeout: asyncio.Timeout,
    ) -> tuple[ResponseHead, bytes]:
        await channel.send(outgoing)
        head = await channel.read_head()
        body_deadline = _loop_time() + self._body_timeout_s
        on_growth = partial(_extend_timeout, read_timeout, body_deadline)
        return head, await channel.read_body(MAX_INFLATED_BYTES, on_growth)

    async def _acquire_channel(self) -> Channel:
        while self._idle_channels:
            channel = self._idle_channels.pop()
            if channel.is_usable:
                return channel
            channel.abort()
        return await connect(
            self.address, self.port, self._clock, bounds=STORE_BOUNDS
        )

    def _release_channel(self, channel: Channel, is_reusable: bool) -> None:
        if is_reusable:
            self._idle_channels.append(channel)
            return
        # After a failed exchange, the peer may never send another byte.
        with suppress(OSError):
            channel.abort()

    def _no_response_problem(self, exc: Exception) -> Problem:
        return Problem(
            ErrorKind.LOG_UNAVAILABLE,
            f'the store at {self.address}:{self.port} gave no answer: '
            f'{exc or type(exc).__name__}',
            'what is known stays in force; see whether other VMs reach it',
        )

    def _status_problem(self, status: int) -> Problem:
        return Problem(
            ErrorKind.LOG_REFUSED,
            f'the store answered {status}',
            'it is asked again soon; see whether it is overloaded',
        )


def make_mirror_client(address: str, port: int, clock: Clock) -> StoreClient:
    """Make a client that reads another VM's copy, in deflated responses."""
    headers = [(ACCEPT_ENCODING, DEFLATE)]
    return StoreClient(address, port, clock, headers, MIRROR_BODY_TIMEOUT_S)


def _extend_timeout(
    read_timeout: asyncio.Timeout, body_deadline: float, size: int
) -> None:
    """Restart the read timeout, up to the end of the body timeout."""
    read_timeout.reschedule(min(_loop_time() + READ_TIMEOUT_S, body_deadline))


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


def _make_record(item: _Item) -> KeyedRecord:
    return KeyedRecord(item.offset, item.key, item.value)


def _decode_problem(exc: Exception) -> Problem:
    return Problem(
        ErrorKind.BAD_RECORD,
        f'the store sent what cannot be read: {exc!r}',
        'see whether its version and ours fit',
    )


def _discard_body(_: object) -> None:
    """Discard a response whose body carries no information."""
