"""The final answers that a caller can get, and their HTTP status codes."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from http import HTTPStatus
from types import MappingProxyType
from typing import Final


class Outcome(StrEnum):
    """Outcome of a request; callers decide on retries by this alone."""

    DONE = 'done'  # ran to completion; the answer is complete
    NOT_RUN = 'not_run'  # never reached a runner and never will
    FAILED = 'failed'  # ran and failed
    CANCELLED = 'cancelled'  # started, then stopped by the scheduler
    UNKNOWN = 'unknown'  # may have run; it will not be run again
    REJECTED = 'rejected'  # bad input; nothing ran
    EXPIRED = 'expired'  # the id is older than the retention of request ids


HTTP_STATUSES: Final = MappingProxyType(
    {
        Outcome.DONE: HTTPStatus.OK,
        Outcome.NOT_RUN: HTTPStatus.SERVICE_UNAVAILABLE,
        Outcome.FAILED: HTTPStatus.BAD_GATEWAY,
        Outcome.CANCELLED: HTTPStatus.GATEWAY_TIMEOUT,
        Outcome.UNKNOWN: HTTPStatus.INTERNAL_SERVER_ERROR,
        Outcome.REJECTED: HTTPStatus.BAD_REQUEST,
        Outcome.EXPIRED: HTTPStatus.GONE,
    }
)


@dataclass(frozen=True)
class Answer:
    """A final answer that carries no body from a runner."""

    outcome: Outcome
    reason: str
    remedy: str = ''
    retry_after: timedelta | None = None
    status: HTTPStatus | None = None

    @property
    def http_status(self) -> HTTPStatus:
        """The outcome's status, unless a more specific one is set."""
        return self.status or HTTP_STATUSES[self.outcome]


def answer_not_run(reason: str, retry_after: timedelta) -> Answer:
    """Return the answer for a request that did not run and may be retried."""
    return Answer(
        Outcome.NOT_RUN,
        reason,
        'send it again under a new id after Retry-After',
        retry_after,
    )


def answer_unknown(reason: str) -> Answer:
    """Return the answer for a request that may have run."""
    return Answer(
        Outcome.UNKNOWN,
        reason,
        'check the effect before you send it under a new id',
    )


def answer_rejected(
    reason: str,
    remedy: str,
    status: HTTPStatus = HTTPStatus.BAD_REQUEST,
) -> Answer:
    """Return the answer to invalid input, with the remedy."""
    return Answer(Outcome.REJECTED, reason, remedy, status=status)


def answer_expired(reason: str) -> Answer:
    """Return the answer for an id that is too old to be run or answered."""
    return Answer(
        Outcome.EXPIRED,
        reason,
        'ask for a new ticket; the old request will not be run',
    )


def answer_quarantined() -> Answer:
    """Return the answer to content that is refused permanently."""
    return answer_rejected(
        'runners crashed while they ran this content',
        'change the content; the same one will not be run again',
        HTTPStatus.UNPROCESSABLE_ENTITY,
    )
