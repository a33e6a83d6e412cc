"""Helpers that abort a command with a problem, and its exit code."""

from types import MappingProxyType
from typing import Final, NoReturn, TypeVar

from result import Err, Ok, Result

from bramleybend.errors import ErrorKind, Problem, ProblemError
from bramleybend.exit_status import ExitStatus

Value = TypeVar('Value')

_EXIT_STATUSES: Final = MappingProxyType(
    {
        ErrorKind.BAD_SETTING: ExitStatus.USAGE,
        ErrorKind.BAD_REQUEST: ExitStatus.USAGE,
        ErrorKind.UNKNOWN_NAME: ExitStatus.NOT_FOUND,
        ErrorKind.BAD_DECLARATION: ExitStatus.INVALID,
        ErrorKind.LOG_REFUSED: ExitStatus.INVALID,
        ErrorKind.CONFLICT: ExitStatus.CONFLICT,
        ErrorKind.LOG_UNAVAILABLE: ExitStatus.UNAVAILABLE,
        ErrorKind.LOG_REPLY_LOST: ExitStatus.UNAVAILABLE,
        ErrorKind.LIST_UNAVAILABLE: ExitStatus.UNAVAILABLE,
        ErrorKind.PEER_UNAVAILABLE: ExitStatus.UNAVAILABLE,
        ErrorKind.TIMEOUT: ExitStatus.TIMEOUT,
    },
)


def exit_status_of(problem: Problem) -> ExitStatus:
    """Return the exit code for a kind of problem."""
    return _EXIT_STATUSES.get(problem.kind, ExitStatus.ERROR)


def fail(kind: ErrorKind, detail: str, remedy: str) -> NoReturn:
    """Abort the command: raise `ProblemError`."""
    raise ProblemError(Problem(kind, detail, remedy))


def unwrap(result: Result[Value, Problem]) -> Value:
    """Return the value, or raise `ProblemError` with the result's problem."""
    match result:
        case Ok(value):
            return value
        case Err(problem):
            raise ProblemError(problem)
