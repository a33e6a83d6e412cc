"""HTTP requests and answers on callers' connections."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Final

from bramleybend.answers import Answer

JSON_TYPE: Final = 'application/json'
EVENT_TYPE: Final = 'text/event-stream'
OUTCOME_HEADER: Final = 'Bramleybend-Outcome'


@dataclass(frozen=True)
class HttpRequest:
    """A complete HTTP request; header names are in lower case."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class HttpAnswer:
    """An HTTP answer with one body, or with `parts` that are streamed."""

    status: int
    content_type: str = JSON_TYPE
    body: bytes = b''
    parts: AsyncIterator[bytes] | None = None
    headers: Mapping[str, str] = field(default_factory=dict)


Handler = Callable[[HttpRequest], Awaitable[HttpAnswer]]


def make_http_answer(answer: Answer) -> HttpAnswer:
    """Return the HTTP answer for an answer that has no runner's body."""
    headers = {OUTCOME_HEADER: str(answer.outcome)}
    if answer.retry_after is not None:
        seconds = max(round(answer.retry_after.total_seconds()), 1)
        headers['Retry-After'] = str(seconds)
    return HttpAnswer(
        answer.http_status,
        JSON_TYPE,
        json.dumps(make_payload(answer)).encode(),
        headers=headers,
    )


def make_payload(answer: Answer) -> dict[str, object]:
    """Return the JSON object that describes an answer."""
    after = answer.retry_after
    return {
        'outcome': answer.outcome,
        'reason': answer.reason,
        'remedy': answer.remedy,
        'retry_after_s': after.total_seconds() if after else None,
    }
