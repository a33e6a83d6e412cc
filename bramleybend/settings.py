"""Settings of the serving programs, from flags and environment variables.

The fields of `Settings` are the only list: flags, variables, `--help` and
docs/operators/SETTINGS.md are all derived from it, so none can drift.
"""

import argparse
from collections.abc import Iterable, Iterator, Mapping, Sequence
from difflib import get_close_matches
from enum import StrEnum
from typing import Annotated, Any, Final, Literal, NoReturn

from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
)
from pydantic.fields import FieldInfo
from pydantic_core import ErrorDetails
from result import Err, Ok, Result

from bramleybend.errors import ErrorKind, Problem, ProblemError
from bramleybend.settings_types import (
    Address,
    HostPort,
    Name,
    Port,
    Seconds,
    Url,
    split_host_port,
)

ENV_PREFIX: Final = 'BRAMLEYBEND_'
HTTP_PORT: Final = 8080
GATEWAY_PORT: Final = 7001
SCHEDULER_PORT: Final = 7002
TERMS_STALE_AFTER_S: Final = 10
LIST_POLL_S: Final = 1
# Longer than any request: a planned stop cuts off nothing in flight, and
# ends as soon as the last one has.
DRAIN_TIMEOUT_S: Final = 3600
# Shown by the gateway alone; the scheduler opens no port to callers.
GATEWAY_ONLY: Final = frozenset(('http_port',))


class ProcessKind(StrEnum):
    """Which serving program reads the settings."""

    GATEWAY = 'gateway'
    SCHEDULER = 'scheduler'


class Settings(BaseModel):
    """What one process is told at its start."""

    model_config = ConfigDict(frozen=True, extra='forbid')

    vm: Name = Field(
        description='name of this VM, as in the VM list',
        examples=['entry-walton-1'],
    )
    domain: Name = Field(
        description='failure domain of this VM',
        examples=['walton'],
    )
    address: Address = Field(
        description='IP address to listen on and to give to callers and peers',
        examples=['10.0.1.11'],
    )
    http_port: Port = Field(
        default=HTTP_PORT,
        description='port for callers; the same on every entry VM',
        examples=['8080'],
    )
    gateway_port: Port = Field(
        default=GATEWAY_PORT,
        description='gRPC port of the gateways; the same on every entry VM',
        examples=['7001'],
    )
    scheduler_port: Port = Field(
        default=SCHEDULER_PORT,
        description='gRPC port of the schedulers; the same on every entry VM',
        examples=['7002'],
    )
    log_service: Url = Field(
        description='URL of the log service',
        examples=['http://10.0.9.1:9100'],
    )
    vm_list: Url = Field(
        description='URL of the VM list',
        examples=['http://10.0.9.2:9200'],
    )
    statsd: Annotated[
        HostPort | None,
        BeforeValidator(split_host_port),
    ] = Field(
        default=None,
        description='statsd to send metrics to; none are sent when not set',
        examples=['127.0.0.1:8125'],
    )
    log_level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = Field(
        default='INFO',
        description='least level that is logged; events are INFO',
        examples=['INFO'],
    )
    terms_stale_after_s: Seconds = Field(
        default=TERMS_STALE_AFTER_S,
        description='seconds without word of the terms from the log or a peer '
        'after which nothing new is admitted',
        examples=['10'],
    )
    list_poll_s: Seconds = Field(
        default=LIST_POLL_S,
        description='seconds between two looks at the VM list',
        examples=['1'],
    )
    drain_timeout_s: Seconds = Field(
        default=DRAIN_TIMEOUT_S,
        description='seconds that a planned stop waits at most for requests in flight; it ends with the last of them',
        examples=['3600'],
    )


def flag_of(name: str) -> str:
    """Return the one spelling of a field's flag."""
    hyphened = name.replace('_', '-')
    return f'--{hyphened}'


def env_of(name: str) -> str:
    """Return the one spelling of a field's environment variable."""
    return ENV_PREFIX + name.upper()


def fields_of(kind: ProcessKind) -> Iterator[tuple[str, FieldInfo]]:
    """Yield the fields that a program offers, in the order of the help."""
    for name, info in Settings.model_fields.items():
        if kind is ProcessKind.GATEWAY or name not in GATEWAY_ONLY:
            yield name, info


def parse_settings(
    kind: ProcessKind,
    args: Sequence[str],
    env: Mapping[str, str],
) -> Result[Settings, Problem]:
    """Return the settings, flags before variables, or the first wrong one.

    `--help` prints and leaves through `SystemExit`, as argparse does.
    """
    unknown = _unknown_variable(env)
    if unknown:
        return Err(unknown)
    try:
        parsed = _parser(kind).parse_args(args)
    except ProblemError as exc:
        return Err(exc.problem)
    flags = {
        name: getattr(parsed, name, None) for name in Settings.model_fields
    }
    given = _from_env(env) | {
        name: text for name, text in flags.items() if text is not None
    }
    try:
        return Ok(Settings.model_validate(given))
    except ValidationError as exc:
        return Err(_problem(exc.errors(include_url=False)[0], flags, env))


class _Parser(argparse.ArgumentParser):
    """Reports a wrong flag instead of ending the process."""

    def error(self, message: str) -> NoReturn:
        problem = Problem(ErrorKind.BAD_SETTING, message, 'see --help')
        raise ProblemError(problem)


def _parser(kind: ProcessKind) -> argparse.ArgumentParser:
    parser = _Parser(
        prog=f'bramleybend-{kind.value}',
        description='Each flag can also be set by its environment variable; '
        'the flag goes first.',
        epilog=_example(kind),
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    for name, info in fields_of(kind):
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


def example_of(info: FieldInfo) -> str:
    """Return a field's example, as it is written in a shell."""
    return str((info.examples or [''])[0])


def _example(kind: ProcessKind) -> str:
    required = (
        f'{flag_of(name)} {example_of(info)}'
        for name, info in fields_of(kind)
        if info.is_required()
    )
    flags = ' '.join(required)
    return f'example:\n  bramleybend-{kind.value} {flags}'


def _from_env(env: Mapping[str, str]) -> dict[str, Any]:
    """Take the variables that are set; an empty one counts as not set."""
    given = {name: env.get(env_of(name)) for name in Settings.model_fields}
    return {name: text for name, text in given.items() if text}


def _unknown_variable(env: Mapping[str, str]) -> Problem | None:
    known = [env_of(name) for name in Settings.model_fields]
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
    detail: ErrorDetails,
    flags: Mapping[str, str | None],
    env: Mapping[str, str],
) -> Problem:
    name = str(detail['loc'][0])
    flag, variable = flag_of(name), env_of(name)
    example = example_of(Settings.model_fields[name])
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
