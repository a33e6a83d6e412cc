"""An argument parser whose errors are problems with a remedy."""

from argparse import ArgumentParser
from typing import NoReturn

from bramleybend.cli.exceptions import fail
from bramleybend.errors import ErrorKind


class Parser(ArgumentParser):
    """Raises instead of ending the process."""

    def error(self, message: str) -> NoReturn:
        """Name what is wrong and where the help is."""
        fail(ErrorKind.BAD_SETTING, message, f'see {self.prog} --help')
