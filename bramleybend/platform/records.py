"""The store's binary form of records, read and written."""

import struct
from typing import Final

from bramleybend.direct.feed_copy import KeyedRecord, Page

LENGTH: Final = struct.Struct('>I')  # before each record
ENDS: Final = struct.Struct('>QQ')  # the end, and the first offset kept
UNREADABLE: Final = (struct.error, UnicodeDecodeError)


def unpack_page(body: bytes, start: int) -> Page:
    """Read the answer to a read from an offset."""
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
    # An answer may hold less than all there is; the next read goes on.
    read_to = offset if records else max(end, start)
    return Page(tuple(records), read_to, whole=False)


def pack_page(page: Page) -> bytes:
    """Write records as the store does."""
    start = page.records[0].offset if page.records else page.end
    parts = [ENDS.pack(page.end, start)]
    for record in page.records:
        parts.append(pack_record(record.key, record.content))
    return b''.join(parts)


def pack_record(key: str, content: bytes) -> bytes:
    """Write one keyed record with its length."""
    name = key.encode()
    record = bytes((len(name),)) + name + content
    return LENGTH.pack(len(record)) + record


def _unpack_keyed(offset: int, record: bytes) -> KeyedRecord:
    size = record[0] if record else 0
    key = record[1 : size + 1].decode(errors='replace')
    return KeyedRecord(offset, key, record[size + 1 :])
