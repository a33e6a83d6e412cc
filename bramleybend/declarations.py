"""Parses and validates the declaration file, an institution's configuration.

Every process parses the same text and must reach the same verdict, so
parsing does no I/O and depends on nothing but the text.
"""

import reprlib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import timedelta
from difflib import get_close_matches
from typing import Annotated, Final, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic_core import ErrorDetails
from result import Err, Ok, Result

from bramleybend.engine_declarations import (
    EnginesDeclaration,
    WeightStoreDeclaration,
)
from bramleybend.errors import Problem
from bramleybend.models import (
    JournalMode,
    Profile,
    Repeat,
    Service,
    ServiceKind,
    Terms,
    Tier,
    Workspace,
)
from bramleybend.yaml_lines import (
    DataWithLines,
    Path,
    bad_declaration,
    read_yaml,
)

# A quarter of this holds 4,300 workspaces of about 60 bytes each. Peers
# forward the text in gRPC messages, whose default limit is four times this.
MAX_DOCUMENT_BYTES: Final = 1_048_576
MAX_SLOTS: Final = 4096
MAX_SHARDS: Final = 64
MAX_WEIGHT: Final = 1_000_000
MAX_TIMEOUT_S: Final = 86_400
LOWEST_TIER: Final = Tier.BULK.value

MISSPELT_KEY_RANK: Final = 0
OTHER_RANK: Final = 1
EXTRA_KEY_ERROR: Final = 'extra_forbidden'
NAME_REMEDY: Final = 'use up to 63 lower-case letters, digits and hyphens'

# Names are used in HTTP headers, metric labels and log lines.
Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]


class _StrictModel(BaseModel):
    """Rejects unknown keys and numbers written as text."""

    model_config = ConfigDict(extra='forbid', strict=True)


class ServiceDeclaration(_StrictModel):
    """Declares a service, a pool of runners of one kind."""

    kind: ServiceKind = Field(strict=False)
    slots: int = Field(ge=1, le=MAX_SLOTS)
    shards: int = Field(default=1, ge=1, le=MAX_SHARDS)
    checks_fence: bool = False
    engines: EnginesDeclaration | None = None

    def to_service(self, name: str) -> Service:
        """Convert to the internal data type."""
        return Service(
            name,
            self.kind,
            self.slots,
            self.shards,
            self.checks_fence,
            self.engines.to_target() if self.engines else None,
        )


class ProfileDeclaration(_StrictModel):
    """Declares how a class of requests is treated."""

    service: str
    tier: int = Field(ge=1, le=LOWEST_TIER)
    repeat: Repeat = Field(strict=False)
    journal: JournalMode = Field(strict=False)
    timeout_s: float = Field(gt=0, le=MAX_TIMEOUT_S, allow_inf_nan=False)
    hedge: bool = False

    def to_profile(self, name: str) -> Profile:
        """Convert to the internal data type."""
        return Profile(
            name,
            self.service,
            Tier(self.tier),
            self.repeat,
            self.journal,
            timedelta(seconds=self.timeout_s),
            self.hedge,
        )


class WorkspaceDeclaration(_StrictModel):
    """Declares a customer's share and the profiles it may use."""

    weight: float = Field(gt=0, le=MAX_WEIGHT, allow_inf_nan=False)
    profiles: list[str] = Field(min_length=1)

    def to_workspace(self, name: str) -> Workspace:
        """Convert to the internal data type."""
        return Workspace(name, self.weight, frozenset(self.profiles))


class Declaration(_StrictModel):
    """The whole declaration file."""

    schema_version: Literal[1] = Field(alias='schema')
    institution: Name
    services: dict[Name, ServiceDeclaration] = Field(min_length=1)
    profiles: dict[Name, ProfileDeclaration] = Field(min_length=1)
    workspaces: dict[Name, WorkspaceDeclaration] = Field(min_length=1)
    weight_store: WeightStoreDeclaration = Field(
        default_factory=WeightStoreDeclaration,
    )

    def to_terms(self, version: int) -> Terms:
        """Return the terms under the version that the log assigned to them."""
        return Terms(
            version,
            self.institution,
            {
                name: item.to_service(name)
                for name, item in self.services.items()
            },
            {
                name: item.to_profile(name)
                for name, item in self.profiles.items()
            },
            {
                name: item.to_workspace(name)
                for name, item in self.workspaces.items()
            },
            self.weight_store.to_store(),
        )


@dataclass(frozen=True, order=True)
class _Fault:
    """One fault of a file; the one that sorts first is reported.

    Misspelt keys sort first: each also makes the correct key look missing,
    and reporting that second fault would mislead the operator.
    """

    rank: int
    line: int
    message: str
    remedy: str


def parse_terms(text: str, version: int) -> Result[Terms, Problem]:
    """Return the terms that the text declares, or its most relevant fault."""
    if len(text.encode(errors='replace')) > MAX_DOCUMENT_BYTES:
        return Err(
            bad_declaration(
                1,
                f'the file is larger than {MAX_DOCUMENT_BYTES} bytes',
                'declare less, or take out comments',
            ),
        )
    return read_yaml(text).and_then(
        lambda document: _validate(document, version)
    )


def _validate(document: DataWithLines, version: int) -> Result[Terms, Problem]:
    try:
        declaration = Declaration.model_validate(document.value)
    except ValidationError as exc:
        details = exc.errors(include_url=False)
        return Err(
            _report_first(_validation_fault(document, item) for item in details)
        )
    faults = list(_reference_faults(document, declaration))
    if faults:
        return Err(_report_first(faults))
    return Ok(declaration.to_terms(version))


def _report_first(faults: Iterable[_Fault]) -> Problem:
    ordered = sorted(faults)
    first = ordered[0]
    message = first.message
    if ordered[1:]:
        others = len(ordered) - 1
        message = f'{message} (and {others} more)'
    return bad_declaration(first.line, message, first.remedy)


def _validation_fault(document: DataWithLines, detail: ErrorDetails) -> _Fault:
    path: Path = tuple(part for part in detail['loc'] if part != '[key]')
    location = '.'.join(str(part) for part in path) or 'the file'
    message, remedy = _describe_error(path, location, detail)
    rank = (
        MISSPELT_KEY_RANK if detail['type'] == EXTRA_KEY_ERROR else OTHER_RANK
    )
    return _Fault(rank, document.line_of(path), message, remedy)


def _describe_error(
    path: Path, location: str, detail: ErrorDetails
) -> tuple[str, str]:
    shown_input = reprlib.repr(detail['input'])
    match detail['type']:
        case 'extra_forbidden':
            remedy = _suggest_name(str(path[-1]), _valid_keys(path))
            return f'unknown key {location}', remedy
        case 'missing':
            key = path[-1]
            return f'key {location} is missing', f'add `{key}:`'
        case 'string_pattern_mismatch':
            return f'{location} is not a name', NAME_REMEDY
        case 'literal_error':
            return (
                f'schema {shown_input} is not known here',
                'write `schema: 1`',
            )
    return f'{location}: {shown_input} is not allowed', detail['msg'].lower()


def _reference_faults(
    document: DataWithLines,
    declaration: Declaration,
) -> Iterator[_Fault]:
    yield from _service_faults(document, declaration)
    for name, profile in declaration.profiles.items():
        path: Path = ('profiles', name)
        if profile.service not in declaration.services:
            yield _Fault(
                OTHER_RANK,
                document.line_of((*path, 'service')),
                f'profile {name} names the service {profile.service!r}, '
                'which is not declared',
                _suggest_name(profile.service, declaration.services),
            )
        if profile.hedge and profile.repeat is not Repeat.IDEMPOTENT:
            yield _Fault(
                OTHER_RANK,
                document.line_of((*path, 'hedge')),
                f'profile {name} runs at most once and cannot be hedged',
                'write `hedge: false`, or `repeat: idempotent` if it is',
            )
    for name, workspace in declaration.workspaces.items():
        yield from _workspace_faults(document, declaration, name, workspace)


def _service_faults(
    document: DataWithLines,
    declaration: Declaration,
) -> Iterator[_Fault]:
    for name, service in declaration.services.items():
        if service.engines and service.kind is not ServiceKind.ENGINE:
            yield _Fault(
                OTHER_RANK,
                document.line_of(('services', name, 'engines')),
                f'service {name} is not of engines, so none can be ordered',
                'write `kind: engine`, or take `engines:` out',
            )


def _workspace_faults(
    document: DataWithLines,
    declaration: Declaration,
    name: str,
    workspace: WorkspaceDeclaration,
) -> Iterator[_Fault]:
    for index, profile in enumerate(workspace.profiles):
        if profile not in declaration.profiles:
            yield _Fault(
                OTHER_RANK,
                document.line_of(('workspaces', name, 'profiles', index)),
                f'workspace {name} names the profile {profile!r}, '
                'which is not declared',
                _suggest_name(profile, declaration.profiles),
            )


def _valid_keys(path: Path) -> list[str]:
    models: Mapping[object, type[BaseModel]] = {
        'services': ServiceDeclaration,
        'profiles': ProfileDeclaration,
        'workspaces': WorkspaceDeclaration,
        'weight_store': WeightStoreDeclaration,
    }
    model = models[path[0]] if path[1:] else Declaration
    if 'engines' in path[2:-1]:
        model = EnginesDeclaration
    fields = model.model_fields.items()
    return [info.alias or name for name, info in fields]


def _suggest_name(word: str, valid: Iterable[str]) -> str:
    names = list(valid)
    matches = get_close_matches(word, names, n=1)
    if matches:
        return f'did you mean `{matches[0]}`?'
    choices = ', '.join(names)
    return f'use one of: {choices}'
