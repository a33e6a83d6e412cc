"""Bytes that are no message and have no end."""

from types import MappingProxyType
from typing import Final

from tests.utils.raw_runner import chunk

OK: Final = b'HTTP/1.1 200 OK\r\n'
CHUNKED: Final = b'Transfer-Encoding: chunked\r\n\r\n'
FRAMED: Final = OK + CHUNKED
READ: Final = 65_536  # bytes that are fed at once
PROCESSOR_S: Final = 1.0  # that one message may cost, whatever is sent

# What comes first, and what then comes for ever.
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
