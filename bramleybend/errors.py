"""Typed errors; each message names what is wrong and the remedy."""

from dataclasses import dataclass
from enum import StrEnum


class ErrorKind(StrEnum):
    """Every kind of error the system reports."""

    BAD_SETTING = 'bad_setting'
    BAD_REQUEST = 'bad_request'
    TOO_LARGE = 'too_large'
    UNKNOWN_NAME = 'unknown_name'
    PAST_DEADLINE = 'past_deadline'
    BAD_DECLARATION = 'bad_declaration'
    BAD_RECORD = 'bad_record'
    CONFLICT = 'conflict'
    LOG_UNAVAILABLE = 'log_unavailable'
    LOG_REPLY_LOST = 'log_reply_lost'
    LOG_REFUSED = 'log_refused'
    LIST_UNAVAILABLE = 'list_unavailable'
    PEER_UNAVAILABLE = 'peer_unavailable'
    PEER_VERSION = 'peer_version'
    RUNNER_REFUSED = 'runner_refused'
    RUNNER_BROKEN = 'runner_broken'
    TIMEOUT = 'timeout'


@dataclass(frozen=True)
class Problem:
    """The error half of a `Result`: a kind, the fact and the remedy."""

    kind: ErrorKind
    detail: str
    remedy: str

    def __str__(self) -> str:
        """Read as one sentence for people."""
        return f'{self.detail}; {self.remedy}'


class ProblemError(Exception):
    """Carries a `Problem` where only an exception can pass."""

    def __init__(self, problem: Problem) -> None:
        """Keep the problem for the handler that turns it into an answer."""
        super().__init__(str(problem))
        self.problem = problem
