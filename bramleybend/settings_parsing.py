"""Reads a program's settings from flags, environment variables and a file.

A settings model is the only list: flags, variables, `--help` and the page for
operators are all derived from its fields, so none can drift.
"""

import argparse
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import MISSING, dataclass, field, fields
from difflib import get_close_matches
from pathlib import Path
from typing import Any, Final, Generic, NoReturn, TypeVar

from result import Err, Ok, Result

from bramleybend.errors import ErrorKind, Problem, ProblemError
from bramleybend.settings_types import ABOUT, About

ENV_PREFIX: Final = 'BRAMLEYBEND_'
FILE_FIELD: Final = 'settings'  # names the settings file, where there is one

Model = TypeVar('Model')


@dataclass(frozen=True)
class Setting:
    """One field of a settings model."""

    name: str
    about: About
    default: Any
    is_required: bool


@dataclass(frozen=True)
class Program(Generic[Model]):
    """One program and the settings that it offers."""

    name: str
    model: type[Model]  # a dataclass whose fields say what they are `about`
    hidden: frozenset[str] = field(default_factory=frozenset)
    bounded_log: bool = False  # to standard output, by a thread

    def offered(self) -> Iterator[Setting]:
        """Yield the settings that it offers, in the order of the help."""
        return (one for one in self.known() if one.name not in self.hidden)

    def known(self) -> Iterator[Setting]:
        """Yield all settings, also those that only other programs offer."""
        for one in fields(self.model):  # type: ignore[arg-type]
            is_required = one.default is MISSING
            default = None if is_required else one.default
            yield Setting(one.name, one.metadata[ABOUT], default, is_required)


def flag_of(name: str) -> str:
    """Return the one spelling of a field's flag."""
    hyphened = name.replace('_', '-')
    return f'--{hyphened}'


def env_of(name: str) -> str:
    """Return the one spelling of a field's environment variable."""
    return ENV_PREFIX + name.upper()


def parse_program(
    program: Program[Model],
    args: Sequence[str],
    env: Mapping[str, str],
) -> Result[Model, Problem]:
    """Return the settings, or the first wrong one.

    Flags go before variables, and both before the file. `--help` prints and
    leaves through `SystemExit`, as argparse does.
    """
    settings = tuple(program.known())
    unknown = _unknown_variable(settings, env)
    if unknown:
        return Err(unknown)
    try:
        parsed = _parser(program).parse_args(args)
        flags = {one.name: getattr(parsed, one.name, None) for one in settings}
        variables = _with_file(settings, flags.get(FILE_FIELD), env)
        found = {one.name: _read(one, flags, variables) for one in settings}
    except ProblemError as exc:
        return Err(exc.problem)
    return Ok(program.model(**found))


def _read(
    setting: Setting,
    flags: Mapping[str, str | None],
    env: Mapping[str, str],
) -> Any:
    """Return a setting's value; an empty variable counts as not set."""
    flag, variable = flag_of(setting.name), env_of(setting.name)
    example = setting.about.example
    given = flags.get(setting.name)
    spelled = f'{flag} {given}'
    if given is None:
        given = env.get(variable) or None
        spelled = f'{variable}={given}'
    if given is not None:
        try:
            return setting.about.read(given)
        except ValueError as exc:
            raise ProblemError(
                Problem(
                    ErrorKind.BAD_SETTING,
                    f'{spelled}: {exc}',
                    f'write for example {flag} {example}',
                )
            ) from exc
    if setting.is_required:
        raise ProblemError(
            Problem(
                ErrorKind.BAD_SETTING,
                f'{flag} is not set',
                f'give {flag} or set {variable}, for example {flag} {example}',
            )
        )
    return setting.default


class _Parser(argparse.ArgumentParser):
    """Reports a wrong flag instead of ending the process."""

    def error(self, message: str) -> NoReturn:
        problem = Problem(ErrorKind.BAD_SETTING, message, 'see --help')
        raise ProblemError(problem)


def _parser(program: Program[Model]) -> argparse.ArgumentParser:
    parser = _Parser(
        prog=program.name,
        description='Each flag can also be set by its environment variable; '
        'the flag goes first.',
        epilog=_example(program),
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    for setting in program.offered():
        parser.add_argument(
            flag_of(setting.name),
            metavar='VALUE',
            help=_help(setting).replace('%', '%%'),
        )
    return parser


def _help(setting: Setting) -> str:
    shown = f'default: {setting.default}'
    if setting.is_required:
        shown = 'required'
    description, example = setting.about.description, setting.about.example
    return f'{description} ({env_of(setting.name)}; {shown}; e.g. {example})'


def _example(program: Program[Model]) -> str:
    required = (
        f'{flag_of(setting.name)} {setting.about.example}'
        for setting in program.offered()
        if setting.is_required
    )
    flags = ' '.join(required)
    return f'example:\n  {program.name} {flags}'


def _with_file(
    settings: Sequence[Setting],
    named: str | None,
    env: Mapping[str, str],
) -> Mapping[str, str]:
    """Add the file's variables, where a file is named, behind the set ones."""
    path = named or env.get(env_of(FILE_FIELD))
    has_file = any(setting.name == FILE_FIELD for setting in settings)
    if not has_file or not path:
        return env
    try:
        content = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        problem = Problem(
            ErrorKind.BAD_SETTING,
            f'the settings file {path} cannot be read: {exc}',
            f'correct {flag_of(FILE_FIELD)}, or leave it out',
        )
        raise ProblemError(problem) from exc
    return {**file_variables(content), **env}


def file_variables(text: str) -> dict[str, str]:
    """Read lines of the form `BRAMLEYBEND_NAME=value`; others are left out."""
    pairs = (line.partition('=') for line in text.splitlines())
    return {
        name.strip(): content.strip()
        for name, _, content in pairs
        if name.strip().startswith(ENV_PREFIX)
    }


def _unknown_variable(
    settings: Sequence[Setting], env: Mapping[str, str]
) -> Problem | None:
    known = [env_of(setting.name) for setting in settings]
    ours = {variable for variable in env if variable.startswith(ENV_PREFIX)}
    unknown = sorted(ours.difference(known))
    if not unknown:
        return None
    return Problem(
        ErrorKind.BAD_SETTING,
        f'the environment variable {unknown[0]} is not known',
        _nearest(unknown[0], known),
    )


def _nearest(variable: str, known: Iterable[str]) -> str:
    near = get_close_matches(variable, known, n=1)
    return f'did you mean {near[0]}?' if near else 'unset it, or see --help'
