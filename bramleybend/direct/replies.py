"""Complete requests of callers, and complete answers to them."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from math import ceil
from typing import Final

from bramleybend.clients.channel import HeaderList
from bramleybend.direct.header_codec import first_header

HUNDREDTHS: Final = 100
JSON_TYPE: Final = b'application/json'


@dataclass(frozen=True)
class RawRequest:
    """A complete request; header names are spelled as the caller sent them."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    received_at: float  # monotonic seconds; when its head was read

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition(b'?')[0].decode('latin-1')

    @property
    def host(self) -> str:
        """The `Host` header without a port, in lower case."""
        text = first_header(self.headers, b'host').decode('latin-1').strip()
        return text.partition(':')[0].lower()


@dataclass(frozen=True)
class Reply:
    """A complete answer, made by this VM or received from a runner."""

    status: int
    headers: HeaderList = field(default_factory=tuple)
    body: bytes = b''
    must_close: bool = False
    reason: str = ''  # why this VM gave it; for the event log
    # What the decision was based on, for the event log.
    inputs: Mapping[str, str] = field(default_factory=dict)


def own_reply(
    status: HTTPStatus,
    reason: str,
    retry_after_s: float | None = None,
    *,
    must_close: bool = False,
    inputs: Mapping[str, str] | None = None,
) -> Reply:
    """Make an answer that states what was wrong and when to retry."""
    body: dict[str, object] = {'reason': reason}
    headers = [(b'Content-Type', JSON_TYPE)]
    if retry_after_s is not None:
        # Rounded up: a caller that returned a moment too early would be
        # rejected again.
        seconds = ceil(retry_after_s * HUNDREDTHS) / HUNDREDTHS
        headers.append((b'Retry-After', f'{seconds:.2f}'.encode()))
        body['retry_after_s'] = seconds
    return Reply(
        status,
        headers,
        json.dumps(body).encode(),
        must_close,
        reason,
        inputs or {},
    )
