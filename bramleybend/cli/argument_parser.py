"""An argument parser that raises `ProblemError` on errors."""

from argparse import ArgumentParser
from typing import NoReturn

from bramleybend.cli.exceptions import fail
from bramleybend.errors import ErrorKind


class Parser(ArgumentParser):
    """Raises `ProblemError` instead of exiting."""

    def error(self, message: str) -> NoReturn:
        """Raise the error with a hint to the help."""
        fail(ErrorKind.BAD_SETTING, message, f'see {self.prog} --help')
