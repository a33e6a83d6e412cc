"""Error types; each error states what is wrong and how to correct it."""

from dataclasses import dataclass
from enum import StrEnum


class ErrorKind(StrEnum):
    """Every kind of error that the programs report."""

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
    """The error value of a `Result`: kind, detail and remedy."""

    kind: ErrorKind
    detail: str
    remedy: str

    def __str__(self) -> str:
        """Return the detail and the remedy as one sentence."""
        return f'{self.detail}; {self.remedy}'


class ProblemError(Exception):
    """Carries a `Problem` where an error can't be returned."""

    def __init__(self, problem: Problem) -> None:
        """Keep the problem for the handler that reports it."""
        super().__init__(str(problem))
        self.problem = problem
