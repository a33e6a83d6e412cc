"""What the raw path needs said in the platform's words."""

from dataclasses import dataclass
from typing import Protocol

from bramleybend.clients.channel import Head, HeaderList
from bramleybend.direct.models import RequestFacts, RunnerEntry


@dataclass(frozen=True)
class AnswerFacts:
    """What a runner's headers say of its answer."""

    attempt_id: str  # of the request that it answers
    has_proof: bool  # it bears the runner's proof
    not_run: bool  # the runner says that it did not run the request
    is_misdirected: bool  # because another one was meant
    limit: str | None  # requests a second it takes; '': all; none: not told


@dataclass(frozen=True)
class ForwardingFacts:
    """What changes in a request's headers on its way to a runner."""

    runner: RunnerEntry
    workspace: str
    remaining_s: float
    resume_after: str


class HeaderCodec(Protocol):
    """Reads and writes the platform's headers."""

    def request_facts(self, headers: HeaderList) -> RequestFacts:
        """Return what a caller says of its request."""

    def runner_headers(
        self, headers: HeaderList, onward: ForwardingFacts
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers that a runner gets, without framing."""

    def answer_facts(self, head: Head) -> AnswerFacts:
        """Return what a runner says of its answer."""

    def caller_headers(self, head: Head) -> list[tuple[bytes, bytes]]:
        """Return the headers that a caller gets, without framing."""

    def is_whole(self, head: Head) -> bool:
        """Tell whether the body can be what the runner meant."""


def first_header(headers: HeaderList, name: bytes) -> bytes:
    """Return a header's first value, or nothing."""
    return next((text for key, text in headers if key.lower() == name), b'')


def hop_by_hop_names(headers: HeaderList) -> frozenset[bytes]:
    """Return the names that concern one connection alone."""
    named = [
        part.strip().lower()
        for key, text in headers
        if key.lower() == b'connection'
        for part in text.split(b',')
    ]
    return HOP_BY_HOP.union(named)


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
