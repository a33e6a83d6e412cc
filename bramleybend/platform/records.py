"""Encodes and decodes records in the store's binary format."""

import struct
from typing import Final

from bramleybend.direct.feed_copy import KeyedRecord, Page

LENGTH: Final = struct.Struct('>I')  # precedes each record
# The offset after the newest record, and the oldest offset retained.
ENDS: Final = struct.Struct('>QQ')
UNREADABLE: Final = (struct.error, UnicodeDecodeError)


def unpack_page(body: bytes, start: int) -> Page:
    """Decode the response to a read from offset `start`.

    Raises an error of `UNPACK_ERRORS` if the body is malformed.
    """
    end, first = ENDS.unpack_from(body)
    at = ENDS.size
    offset = max(start, first)
    records: list[KeyedRecord] = []
    while at < len(body):
        size = LENGTH.unpack_from(body, at)[0]
        at += LENGTH.size
        records.append(_unpack_keyed(offset, body[at : at + size]))
        at += size
        offset += 1
    # A response may hold only a part of the records; the next read continues
    # behind the last one received.
    read_to = offset if records else max(end, start)
    return Page(tuple(records), read_to, whole=False)


def pack_page(page: Page) -> bytes:
    """Encode records as the store's response to a read."""
    start = page.records[0].offset if page.records else page.end
    parts = [ENDS.pack(page.end, start)]
    for record in page.records:
        parts.append(pack_record(record.key, record.content))
    return b''.join(parts)


def pack_record(key: str, content: bytes) -> bytes:
    """Encode one keyed record, preceded by its length."""
    name = key.encode()
    record = bytes((len(name),)) + name + content
    return LENGTH.pack(len(record)) + record


def _unpack_keyed(offset: int, record: bytes) -> KeyedRecord:
    size = record[0] if record else 0
    key = record[1 : size + 1].decode(errors='replace')
    return KeyedRecord(offset, key, record[size + 1 :])
