"""Reads a program's settings from flags, environment variables and a file.

A settings model is the only list: flags, variables, `--help` and the page for
operators are all derived from its fields, so none can drift.
"""

import argparse
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from difflib import get_close_matches
from pathlib import Path
from typing import Any, Final, Generic, NoReturn, TypeVar

from pydantic import BaseModel, ValidationError
from pydantic.fields import FieldInfo
from pydantic_core import ErrorDetails
from result import Err, Ok, Result

from bramleybend.errors import ErrorKind, Problem, ProblemError

ENV_PREFIX: Final = 'BRAMLEYBEND_'
FILE_FIELD: Final = 'settings'  # names the settings file, where there is one

Model = TypeVar('Model', bound=BaseModel)


@dataclass(frozen=True)
class Program(Generic[Model]):
    """One program and the settings that it offers."""

    name: str
    model: type[Model]
    hidden: frozenset[str] = field(default_factory=frozenset)
    bounded_log: bool = False  # to standard output, by a thread

    def fields(self) -> Iterator[tuple[str, FieldInfo]]:
        """Yield the fields that it offers, in the order of the help."""
        for name, info in self.model.model_fields.items():
            if name not in self.hidden:
                yield name, info


def flag_of(name: str) -> str:
    """Return the one spelling of a field's flag."""
    hyphened = name.replace('_', '-')
    return f'--{hyphened}'


def env_of(name: str) -> str:
    """Return the one spelling of a field's environment variable."""
    return ENV_PREFIX + name.upper()


def example_of(info: FieldInfo) -> str:
    """Return a field's example, as it is written in a shell."""
    return str((info.examples or [''])[0])


def parse_program(
    program: Program[Model],
    args: Sequence[str],
    env: Mapping[str, str],
) -> Result[Model, Problem]:
    """Return the settings, or the first wrong one.

    Flags go before variables, and both before the file. `--help` prints and
    leaves through `SystemExit`, as argparse does.
    """
    model = program.model
    unknown = _unknown_variable(model, env)
    if unknown:
        return Err(unknown)
    try:
        parsed = _parser(program).parse_args(args)
        flags = {
            name: getattr(parsed, name, None) for name in model.model_fields
        }
        variables = _with_file(model, flags.get(FILE_FIELD), env)
    except ProblemError as exc:
        return Err(exc.problem)
    given = _from_env(model, variables) | {
        name: text for name, text in flags.items() if text is not None
    }
    try:
        return Ok(model.model_validate(given))
    except ValidationError as exc:
        detail = exc.errors(include_url=False)[0]
        return Err(_problem(model, detail, flags, variables))


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
    for name, info in program.fields():
        parser.add_argument(
            flag_of(name),
            metavar='VALUE',
            help=_help(name, info).replace('%', '%%'),
        )
    return parser


def _help(name: str, info: FieldInfo) -> str:
    default = 'required' if info.is_required() else f'default: {info.default}'
    example = example_of(info)
    return f'{info.description} ({env_of(name)}; {default}; e.g. {example})'


def _example(program: Program[Model]) -> str:
    required = (
        f'{flag_of(name)} {example_of(info)}'
        for name, info in program.fields()
        if info.is_required()
    )
    flags = ' '.join(required)
    return f'example:\n  {program.name} {flags}'


def _with_file(
    model: type[BaseModel],
    named: str | None,
    env: Mapping[str, str],
) -> Mapping[str, str]:
    """Add the file's variables, where a file is named, behind the set ones."""
    path = named or env.get(env_of(FILE_FIELD))
    if FILE_FIELD not in model.model_fields or not path:
        return env
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        problem = Problem(
            ErrorKind.BAD_SETTING,
            f'the settings file {path} cannot be read: {exc}',
            f'correct {flag_of(FILE_FIELD)}, or leave it out',
        )
        raise ProblemError(problem) from exc
    return {**file_variables(text), **env}


def file_variables(text: str) -> dict[str, str]:
    """Read lines of the form `BRAMLEYBEND_NAME=value`; others are left out."""
    pairs = (line.partition('=') for line in text.splitlines())
    return {
        name.strip(): content.strip()
        for name, _, content in pairs
        if name.strip().startswith(ENV_PREFIX)
    }


def _from_env(model: type[BaseModel], env: Mapping[str, str]) -> dict[str, Any]:
    """Take the variables that are set; an empty one counts as not set."""
    given = {name: env.get(env_of(name)) for name in model.model_fields}
    return {name: text for name, text in given.items() if text}


def _unknown_variable(
    model: type[BaseModel], env: Mapping[str, str]
) -> Problem | None:
    known = [env_of(name) for name in model.model_fields]
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


def _problem(
    model: type[BaseModel],
    detail: ErrorDetails,
    flags: Mapping[str, str | None],
    env: Mapping[str, str],
) -> Problem:
    name = str(detail['loc'][0])
    flag, variable = flag_of(name), env_of(name)
    example = example_of(model.model_fields[name])
    if detail['type'] == 'missing':
        fact = f'{flag} is not set'
        remedy = f'give {flag} or set {variable}, for example {flag} {example}'
        return Problem(ErrorKind.BAD_SETTING, fact, remedy)
    if flags.get(name) is None:
        spelled = f'{variable}={env[variable]}'
    else:
        spelled = f'{flag} {flags[name]}'
    message = detail['msg']
    return Problem(
        ErrorKind.BAD_SETTING,
        f'{spelled}: {message}',
        f'write for example {flag} {example}',
    )
