"""The interface through which the raw path reads and writes headers."""

from dataclasses import dataclass
from typing import Protocol

from bramleybend.clients.channel import HeaderList, ResponseHead
from bramleybend.direct.models import RequestMetadata, RunnerEntry


@dataclass(frozen=True)
class AnswerFacts:
    """What the headers of a runner's answer state."""

    attempt_id: str  # echoed id of the answered request; may be empty
    has_proof: bool  # carries the runner's proof of the answer
    not_run: bool  # the runner states that it did not run the request
    is_misdirected: bool  # not run because it was meant for another runner
    # max requests per second; '' if unlimited, `None` if not stated
    limit: str | None


@dataclass(frozen=True)
class ForwardingFacts:
    """The values of headers that are rewritten on the way to a runner."""

    runner: RunnerEntry
    workspace: str
    remaining_s: float
    resume_after: str


class HeaderCodec(Protocol):
    """Reads and writes headers in the platform's format."""

    def request_facts(self, headers: HeaderList) -> RequestMetadata:
        """Return what the headers of a caller's request state."""

    def runner_headers(
        self, headers: HeaderList, forwarding: ForwardingFacts
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers to send to a runner, without framing headers."""

    def answer_facts(self, head: ResponseHead) -> AnswerFacts:
        """Return what the headers of a runner's answer state."""

    def caller_headers(self, head: ResponseHead) -> list[tuple[bytes, bytes]]:
        """Return the headers to send to a caller, without framing headers."""

    def is_whole(self, head: ResponseHead) -> bool:
        """Return whether the answer's headers show that its body is intact."""


def first_header(headers: HeaderList, name: bytes) -> bytes:
    """Return the first value of a header, or an empty one."""
    return next((text for key, text in headers if key.lower() == name), b'')


def hop_by_hop_names(headers: HeaderList) -> frozenset[bytes]:
    """Return the lower-case names of a message's hop-by-hop headers."""
    connection_options = [
        part.strip().lower()
        for key, text in headers
        if key.lower() == b'connection'
        for part in text.split(b',')
    ]
    return HOP_BY_HOP.union(connection_options)


HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
