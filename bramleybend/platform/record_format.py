"""Encodes and decodes records in the store's binary format."""

import struct
from typing import Final

from bramleybend.direct.feed_copy import KeyedRecord, Page

RECORD_LENGTH: Final = struct.Struct('>I')  # precedes each record
# The offset after the newest record, and the oldest offset retained.
PAGE_HEADER: Final = struct.Struct('>QQ')
MAX_KEY_BYTES: Final = 255
UNPACK_ERRORS: Final = (struct.error, UnicodeDecodeError)


def unpack_page(body: bytes, start: int) -> Page:
    """Decode the response to a read from offset `start`.

    Raises an error of `UNPACK_ERRORS` if the body is malformed.
    """
    end, first_offset = PAGE_HEADER.unpack_from(body)
    position = PAGE_HEADER.size
    offset = max(start, first_offset)
    records: list[KeyedRecord] = []
    while position < len(body):
        size = RECORD_LENGTH.unpack_from(body, position)[0]
        position += RECORD_LENGTH.size
        records.append(_unpack_record(offset, body[position : position + size]))
        position += size
        offset += 1
    # A response may hold only a part of the records; the next read continues
    # behind the last one received.
    next_offset = offset if records else max(end, start)
    return Page(tuple(records), next_offset, is_snapshot=False)


def pack_page(page: Page) -> bytes:
    """Encode records as the store's response to a read."""
    start = page.records[0].offset if page.records else page.end
    parts = [PAGE_HEADER.pack(page.end, start)]
    for record in page.records:
        parts.append(pack_record(record.key, record.content))
    return b''.join(parts)


def pack_record(key: str, content: bytes) -> bytes:
    """Encode one keyed record, preceded by its length.

    A key that was not text grows when it is decoded; its end is cut off.
    """
    key_bytes = key.encode(errors='replace')[:MAX_KEY_BYTES]
    record = bytes((len(key_bytes),)) + key_bytes + content
    return RECORD_LENGTH.pack(len(record)) + record


def _unpack_record(offset: int, record: bytes) -> KeyedRecord:
    size = record[0] if record else 0
    key = record[1 : size + 1].decode(errors='replace')
    return KeyedRecord(offset, key, record[size + 1 :])
