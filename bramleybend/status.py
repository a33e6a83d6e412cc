"""Exit codes of every program."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """What a program's exit tells a script."""

    OK = 0
    ERROR = 1
    USAGE = 2
    CONFLICT = 3
    INVALID = 4
    UNAVAILABLE = 5
    NOT_FOUND = 6
    TIMEOUT = 7
    INTERRUPTED = 130
