"""How a command ends early, and the exit code it then gives."""

from types import MappingProxyType
from typing import Final, NoReturn, TypeVar

from result import Err, Ok, Result

from bramleybend.errors import ErrorKind, Problem, ProblemError
from bramleybend.status import ExitStatus

Value = TypeVar('Value')

_STATUS: Final = MappingProxyType(
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


def status_of(problem: Problem) -> ExitStatus:
    """Return the exit code that tells a script the kind of problem."""
    return _STATUS.get(problem.kind, ExitStatus.ERROR)


def fail(kind: ErrorKind, detail: str, remedy: str) -> NoReturn:
    """End the command with a problem."""
    raise ProblemError(Problem(kind, detail, remedy))


def unwrap(result: Result[Value, Problem]) -> Value:
    """Return the value, or end the command with its problem."""
    match result:
        case Ok(value):
            return value
        case Err(problem):
            raise ProblemError(problem)
