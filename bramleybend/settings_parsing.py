"""Parses a program's settings from flags, environment variables and a file.

Flags, variables, `--help` and the operators' page are all derived from the
fields of a settings dataclass, so they can't diverge.
"""

import argparse
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import MISSING, dataclass, field, fields
from difflib import get_close_matches
from pathlib import Path
from typing import Any, Final, Generic, NoReturn, TypeVar

from result import Err, Ok, Result

from bramleybend.errors import ErrorKind, Problem, ProblemError
from bramleybend.settings_types import INFO_KEY, SettingInfo

ENV_PREFIX: Final = 'BRAMLEYBEND_'
FILE_FIELD: Final = 'settings'  # field with the path of the settings file

Model = TypeVar('Model')


@dataclass(frozen=True)
class Setting:
    """One field of a settings dataclass."""

    name: str
    info: SettingInfo
    default: Any
    is_required: bool


@dataclass(frozen=True)
class Program(Generic[Model]):
    """A program and its settings."""

    name: str
    model: type[Model]  # a dataclass whose fields have `setting_metadata`
    # Settings of other programs: their flags are not offered, but their
    # variables are accepted.
    hidden: frozenset[str] = field(default_factory=frozenset)
    bounded_log: bool = False  # log to standard output through `LineWriter`

    def offered_settings(self) -> Iterator[Setting]:
        """Yield the settings that have a flag, in the order of the help."""
        return (
            item for item in self.all_settings() if item.name not in self.hidden
        )

    def all_settings(self) -> Iterator[Setting]:
        """Yield all settings, including those of other programs."""
        for item in fields(self.model):  # type: ignore[arg-type]
            is_required = item.default is MISSING
            default = None if is_required else item.default
            yield Setting(
                item.name, item.metadata[INFO_KEY], default, is_required
            )


def flag_of(name: str) -> str:
    """Return the flag of a field."""
    hyphened = name.replace('_', '-')
    return f'--{hyphened}'


def env_of(name: str) -> str:
    """Return the environment variable of a field."""
    return ENV_PREFIX + name.upper()


def parse_program(
    program: Program[Model],
    args: Sequence[str],
    env: Mapping[str, str],
) -> Result[Model, Problem]:
    """Return the settings, or the first error.

    Flags override variables, and both override the file. `--help` prints and
    raises `SystemExit`, as argparse does.
    """
    settings = tuple(program.all_settings())
    unknown = _unknown_variable(settings, env)
    if unknown:
        return Err(unknown)
    try:
        parsed = _make_parser(program).parse_args(args)
        flags = {
            item.name: getattr(parsed, item.name, None) for item in settings
        }
        variables = _add_file_variables(settings, flags.get(FILE_FIELD), env)
        values = {
            item.name: _read_setting(item, flags, variables)
            for item in settings
        }
    except ProblemError as exc:
        return Err(exc.problem)
    return Ok(program.model(**values))


def _read_setting(
    setting: Setting,
    flags: Mapping[str, str | None],
    env: Mapping[str, str],
) -> Any:
    """Return a setting's value; an empty variable counts as unset."""
    flag, variable = flag_of(setting.name), env_of(setting.name)
    example = setting.info.example
    text = flags.get(setting.name)
    source = f'{flag} {text}'
    if text is None:
        text = env.get(variable) or None
        source = f'{variable}={text}'
    if text is not None:
        try:
            return setting.info.parse(text)
        except ValueError as exc:
            raise ProblemError(
                Problem(
                    ErrorKind.BAD_SETTING,
                    f'{source}: {exc}',
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
    """Raises `ProblemError` for a wrong flag instead of exiting."""

    def error(self, message: str) -> NoReturn:
        problem = Problem(ErrorKind.BAD_SETTING, message, 'see --help')
        raise ProblemError(problem)


def _make_parser(program: Program[Model]) -> argparse.ArgumentParser:
    parser = _Parser(
        prog=program.name,
        description='Each flag can also be set by its environment variable; '
        'the flag goes first.',
        epilog=_format_example(program),
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    for setting in program.offered_settings():
        parser.add_argument(
            flag_of(setting.name),
            metavar='VALUE',
            help=_format_help(setting).replace('%', '%%'),
        )
    return parser


def _format_help(setting: Setting) -> str:
    shown = f'default: {setting.default}'
    if setting.is_required:
        shown = 'required'
    description, example = setting.info.description, setting.info.example
    return f'{description} ({env_of(setting.name)}; {shown}; e.g. {example})'


def _format_example(program: Program[Model]) -> str:
    required = (
        f'{flag_of(setting.name)} {setting.info.example}'
        for setting in program.offered_settings()
        if setting.is_required
    )
    flags = ' '.join(required)
    return f'example:\n  {program.name} {flags}'


def _add_file_variables(
    settings: Sequence[Setting],
    file_flag: str | None,
    env: Mapping[str, str],
) -> Mapping[str, str]:
    """Return the variables, with unset ones taken from the settings file."""
    path = file_flag or env.get(env_of(FILE_FIELD))
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
    return {**parse_file_variables(content), **env}


def parse_file_variables(text: str) -> dict[str, str]:
    """Parse lines of the form `BRAMLEYBEND_NAME=value`; ignore other lines."""
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
    prefixed = {variable for variable in env if variable.startswith(ENV_PREFIX)}
    unknown = sorted(prefixed.difference(known))
    if not unknown:
        return None
    return Problem(
        ErrorKind.BAD_SETTING,
        f'the environment variable {unknown[0]} is not known',
        _suggest_variable(unknown[0], known),
    )


def _suggest_variable(variable: str, known: Iterable[str]) -> str:
    matches = get_close_matches(variable, known, n=1)
    return (
        f'did you mean {matches[0]}?' if matches else 'unset it, or see --help'
    )
