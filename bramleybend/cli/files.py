"""Reads declaration files."""

from pathlib import Path

from bramleybend.cli.constants import STDIN
from bramleybend.cli.context import Context
from bramleybend.cli.exceptions import fail
from bramleybend.errors import ErrorKind


def read_document(ctx: Context, name: str) -> str:
    """Return the text of a file, or of standard input for `-`."""
    try:
        if name == STDIN:
            return ctx.env.stdin.read()
        return Path(name).read_text(encoding='utf-8')
    except OSError as exc:
        fail(
            ErrorKind.UNKNOWN_NAME,
            f'{name} cannot be read: {exc.strerror}',
            'give the path of a declaration file, or - for standard input',
        )
    except UnicodeDecodeError:
        fail(
            ErrorKind.BAD_DECLARATION,
            f'{name} is not text in UTF-8',
            'save it as UTF-8',
        )
