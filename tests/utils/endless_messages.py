"""Byte sequences of HTTP messages that never end, for limit tests."""

from types import MappingProxyType
from typing import Final

from tests.utils.raw_runner import chunk

OK: Final = b'HTTP/1.1 200 OK\r\n'
CHUNKED: Final = b'Transfer-Encoding: chunked\r\n\r\n'
FRAMED: Final = OK + CHUNKED
READ: Final = 65_536  # bytes passed to the parser per call
PROCESSOR_S: Final = 1.0  # maximum processor time that one message may cost

# Each entry is a prefix that is sent once and a sequence that is repeated.
HEADS: Final = MappingProxyType(
    {
        'one header line': (b'%bX-Long: ' % OK, b'a' * 512),
        'many headers': (OK, b'X-More: 1\r\n' * 50),
        'informational heads': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 20),
    }
)
FRAMING: Final = MappingProxyType(
    {
        'one chunk extension': (b'%b1;' % FRAMED, b'e' * 512),
        'chunk extensions': (FRAMED, b'1;%b\r\n\n\r\n' % (b'e' * 500)),
        'chunks of one byte': (FRAMED, chunk(b'\n') * 90),
        'trailers': (b'%b0\r\n' % FRAMED, b'X-More: 1\r\n' * 50),
    }
)
EVENTS: Final = MappingProxyType(
    {
        'one event': (b'data: ', b'a' * 512),
        'one event of many lines': (b'', b'data: a\n' * 64),
        'comments': (b'', b':\n\n' * 170),
        'blank lines': (b'', b'\n' * 512),
        'events': (b'', b'data:\n\n' * 73),
    }
)
