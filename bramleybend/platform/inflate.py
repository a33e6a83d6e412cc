"""Deflated bodies, read up to a size."""

import zlib
from typing import Final

ACCEPT_ENCODING: Final = b'Accept-Encoding'
CONTENT_ENCODING: Final = b'Content-Encoding'
DEFLATE: Final = b'deflate'


class InflateError(EOFError):
    """A deflated body is cut, spoilt, or too large."""


def inflate(body: bytes, most: int) -> bytes:
    """Return a body as it was before it was deflated.

    A few bytes may stand for gigabytes, so it is inflated no further than
    `most` bytes.
    """
    inflater = zlib.decompressobj()
    try:
        whole = inflater.decompress(body, most)
    except zlib.error as exc:
        raise InflateError(f'a deflated body cannot be read: {exc}') from exc
    if not inflater.eof:
        raise InflateError(f'a deflated body is cut, or over {most} bytes')
    return whole
