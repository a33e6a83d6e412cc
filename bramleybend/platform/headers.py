"""Reads and writes the platform's headers for the raw path."""

from typing import Final

from bramleybend.clients.channel import Head, HeaderList
from bramleybend.direct.header_codec import (
    AnswerFacts,
    ForwardingFacts,
    HeaderCodec,
    first_header,
    hop_by_hop_names,
)
from bramleybend.direct.models import RequestFacts
from bramleybend.platform.names import (
    ATTEMPT_ID,
    AUTHORIZATION,
    EXPECT_RUNNER,
    KEY_SCHEME,
    LAST_EVENT_ID,
    LENGTH_HINT,
    NOT_EXECUTED,
    PATIENCE_MS,
    STAMP,
    SYSTEM_HEADERS,
    TOKEN_COUNTS,
    WORKSPACE,
)

MILLISECONDS: Final = 1000
MISDIRECTED: Final = 421
ENCODING: Final = 'content-encoding'
RUNNER_LIMIT: Final = 'server-limit'
_DROPPED: Final = frozenset(name.encode() for name in SYSTEM_HEADERS)


class PlatformHeaderCodec:
    """The headers as the platform's pages name them."""

    def request_facts(self, headers: HeaderList) -> RequestFacts:
        """Return what a caller says of its request."""
        prompt, most_output = _token_counts(_text(headers, TOKEN_COUNTS))
        patience_ms = _number(_text(headers, PATIENCE_MS))
        hint = _number(_text(headers, LENGTH_HINT))
        return RequestFacts(
            attempt_id=_text(headers, ATTEMPT_ID),
            key=_key(_text(headers, AUTHORIZATION)),
            patience_s=None
            if patience_ms is None
            else patience_ms / MILLISECONDS,
            prompt_tokens=prompt,
            most_output=most_output,
            likely_output=None if hint is None else int(hint),
            resume_after=_text(headers, LAST_EVENT_ID),
        )

    def runner_headers(
        self, headers: HeaderList, forwarding: ForwardingFacts
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers that a runner gets, without framing."""
        dropped = _DROPPED | hop_by_hop_names(headers)
        kept = [
            (key, text) for key, text in headers if key.lower() not in dropped
        ]
        left_ms = max(int(forwarding.remaining_s * MILLISECONDS), 1)
        ours = [
            (PATIENCE_MS, str(left_ms)),
            (EXPECT_RUNNER, forwarding.runner.name),
        ]
        if forwarding.workspace:
            ours.append((WORKSPACE, forwarding.workspace))
        if forwarding.resume_after:
            ours.append((LAST_EVENT_ID, forwarding.resume_after))
        return kept + [(key.encode(), text.encode()) for key, text in ours]

    def answer_facts(self, head: Head) -> AnswerFacts:
        """Return what a runner says of its answer."""
        said = head.get(NOT_EXECUTED) is not None
        # Another runner answers in place of the one that was asked.
        is_misdirected = head.status == MISDIRECTED
        return AnswerFacts(
            head.get(ATTEMPT_ID) or '',
            bool(head.get(STAMP)),
            said or is_misdirected,
            is_misdirected,
            None if is_misdirected else head.get(RUNNER_LIMIT) or '',
        )

    def caller_headers(self, head: Head) -> list[tuple[bytes, bytes]]:
        """Return the headers that a caller gets, without framing."""
        dropped = hop_by_hop_names(head.headers)
        return [
            (key, text)
            for key, text in head.headers
            if key.lower() not in dropped
        ]

    def is_whole(self, head: Head) -> bool:
        """Tell whether the body can be what the runner meant.

        Callers ask for bodies without any encoding, so an encoded one was
        changed on its way.
        """
        return head.get(ENCODING) is None


def make_header_codec() -> HeaderCodec:
    """Make the dialect of the platform."""
    return PlatformHeaderCodec()


def _text(headers: HeaderList, name: str) -> str:
    return first_header(headers, name.encode()).decode('latin-1').strip()


def _key(credentials: str) -> str:
    if credentials.lower().startswith(KEY_SCHEME):
        return credentials[len(KEY_SCHEME) :].strip()
    return ''


def _number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if number >= 0 else None


def _token_counts(text: str) -> tuple[int, int]:
    """Return prompt tokens and the most output tokens; 0 where not told."""
    parts = [_number(part) or 0 for part in text.split(',')]
    prompt, output, *_ = [*parts, 0, 0]
    return int(prompt), int(output)
