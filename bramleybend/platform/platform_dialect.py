"""Parses and builds the platform's HTTP headers for proxied requests."""

from typing import Final

from bramleybend.clients.channel import HeaderList, ResponseHead
from bramleybend.direct.header_codec import (
    AnswerFacts,
    ForwardingFacts,
    HeaderCodec,
    first_header,
    hop_by_hop_names,
)
from bramleybend.direct.models import RequestMetadata
from bramleybend.platform.prompt_parts import shared_parts
from bramleybend.platform.wire_names import (
    ATTEMPT_ID,
    AUTHORIZATION,
    EXPECT_RUNNER,
    LAST_EVENT_ID,
    LENGTH_HINT,
    NOT_EXECUTED,
    RESPONSE_STAMP,
    RESUMES,
    SYSTEM_HEADERS,
    TIMEOUT_MS,
    TOKEN_COUNTS,
    WORKSPACE,
)
from bramleybend.platform.wire_types import MAX_SAFE_INTEGER

MILLISECONDS: Final = 1000
KEY_SCHEME: Final = 'token '
MISDIRECTED: Final = 421
ENCODING: Final = 'content-encoding'
RUNNER_LIMIT: Final = 'server-limit'
_DROPPED_HEADERS: Final = frozenset(name.encode() for name in SYSTEM_HEADERS)


class PlatformHeaderCodec:
    """Headers as the platform's documentation defines them."""

    def request_facts(self, headers: HeaderList) -> RequestMetadata:
        """Return what the headers state about a caller's request."""
        prompt_count, most_output = _parse_token_counts(
            _header_text(headers, TOKEN_COUNTS)
        )
        timeout_ms = _parse_number(_header_text(headers, TIMEOUT_MS))
        length_hint = _parse_number(_header_text(headers, LENGTH_HINT))
        return RequestMetadata(
            attempt_id=_header_text(headers, ATTEMPT_ID),
            key=_api_key(_header_text(headers, AUTHORIZATION)),
            timeout_s=None if timeout_ms is None else timeout_ms / MILLISECONDS,
            prompt_tokens=prompt_count,
            max_output_tokens=most_output,
            output_tokens_hint=None
            if length_hint is None
            else int(length_hint),
            last_event_id=_header_text(headers, LAST_EVENT_ID),
            resumed_attempt=_header_text(headers, RESUMES),
            shared_parts=shared_parts(headers),
        )

    def runner_headers(
        self, headers: HeaderList, forwarding: ForwardingFacts
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers to send to a runner, without framing."""
        dropped = _DROPPED_HEADERS | hop_by_hop_names(headers)
        kept = [
            (key, text) for key, text in headers if key.lower() not in dropped
        ]
        remaining_ms = max(int(forwarding.remaining_s * MILLISECONDS), 1)
        added = [
            (TIMEOUT_MS, str(remaining_ms)),
            (EXPECT_RUNNER, forwarding.runner.name),
        ]
        if forwarding.workspace:
            added.append((WORKSPACE, forwarding.workspace))
        if forwarding.resume_after:
            added.append((LAST_EVENT_ID, forwarding.resume_after))
        return kept + [(key.encode(), text.encode()) for key, text in added]

    def answer_facts(self, head: ResponseHead) -> AnswerFacts:
        """Return what the headers state about a runner's response."""
        is_marked = head.get(NOT_EXECUTED) is not None
        # A runner other than the one addressed received the request.
        is_misdirected = head.status == MISDIRECTED
        return AnswerFacts(
            head.get(ATTEMPT_ID) or '',
            bool(head.get(RESPONSE_STAMP)),
            is_marked or is_misdirected,
            is_misdirected,
            None if is_misdirected else head.get(RUNNER_LIMIT) or '',
        )

    def caller_headers(self, head: ResponseHead) -> list[tuple[bytes, bytes]]:
        """Return the headers to send to a caller, without framing."""
        dropped = hop_by_hop_names(head.headers)
        return [
            (key, text)
            for key, text in head.headers
            if key.lower() not in dropped
        ]

    def is_whole(self, head: ResponseHead) -> bool:
        """Tell whether the body can be the one that the runner sent.

        Callers request bodies without a content encoding, so an encoded body
        was altered in transit.
        """
        return head.get(ENCODING) is None


def make_header_codec() -> HeaderCodec:
    """Make the implementation of the platform's headers."""
    return PlatformHeaderCodec()


def _header_text(headers: HeaderList, name: str) -> str:
    return first_header(headers, name.encode()).decode('latin-1').strip()


def _api_key(credentials: str) -> str:
    if credentials.lower().startswith(KEY_SCHEME):
        return credentials[len(KEY_SCHEME) :].strip()
    return ''


def _parse_number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number <= MAX_SAFE_INTEGER else None


def _parse_token_counts(text: str) -> tuple[int, int]:
    """Parse prompt tokens and maximum output tokens; 0 if not stated."""
    parts = [_parse_number(part) or 0 for part in text.split(',')]
    prompt_count, output_count, *_ = [*parts, 0, 0]
    return int(prompt_count), int(output_count)
