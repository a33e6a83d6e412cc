"""The closed set of answers a caller can get, and their HTTP form."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from http import HTTPStatus
from types import MappingProxyType
from typing import Final


class Outcome(StrEnum):
    """What became of a request; callers act on this and nothing else."""

    DONE = 'done'  # ran to its end, the answer is whole
    NOT_RUN = 'not_run'  # never reached a runner and never will
    FAILED = 'failed'  # ran and ended badly
    CANCELLED = 'cancelled'  # started, then stopped by us
    UNKNOWN = 'unknown'  # may have run; it will not be run again
    REJECTED = 'rejected'  # bad input; nothing ran
    EXPIRED = 'expired'  # the id is older than what is remembered


STATUS: Final = MappingProxyType(
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
    """A final answer without a body from a runner."""

    outcome: Outcome
    reason: str
    remedy: str = ''
    retry_after: timedelta | None = None
    status: HTTPStatus | None = None

    @property
    def http_status(self) -> HTTPStatus:
        """The outcome's status, unless a closer one was named."""
        return self.status or STATUS[self.outcome]


def not_run(reason: str, retry_after: timedelta) -> Answer:
    """Say that nothing ran and when to come back."""
    return Answer(
        Outcome.NOT_RUN,
        reason,
        'send it again under a new id after Retry-After',
        retry_after,
    )


def unknown(reason: str) -> Answer:
    """Say that the request may have run and will not be run again."""
    return Answer(
        Outcome.UNKNOWN,
        reason,
        'check the effect before you send it under a new id',
    )


def rejected(
    reason: str,
    remedy: str,
    status: HTTPStatus = HTTPStatus.BAD_REQUEST,
) -> Answer:
    """Say what is wrong with the input and how to mend it."""
    return Answer(Outcome.REJECTED, reason, remedy, status=status)


def expired(reason: str) -> Answer:
    """Say that the id is too old to be run or answered."""
    return Answer(
        Outcome.EXPIRED,
        reason,
        'ask for a new ticket; the old request will not be run',
    )


def quarantined() -> Answer:
    """Say that the content is refused for good."""
    return rejected(
        'runners crashed while they ran this content',
        'change the content; the same one will not be run again',
        HTTPStatus.UNPROCESSABLE_ENTITY,
    )
