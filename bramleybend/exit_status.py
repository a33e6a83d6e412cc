"""Exit codes that all programs share."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """The exit code of a program."""

    OK = 0
    ERROR = 1
    USAGE = 2
    CONFLICT = 3
    INVALID = 4
    UNAVAILABLE = 5
    NOT_FOUND = 6
    TIMEOUT = 7
    INTERRUPTED = 130
