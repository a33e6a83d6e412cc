"""The declaration file: an institution's terms, fit for version control.

Every process parses the same text and must reach the same verdict, so
parsing does no I/O and looks at nothing but the text.
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

from bramleybend.declarations_engines import (
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
from bramleybend.yaml_lines import LinedData, Path, bad_declaration, read_yaml

# 4,300 workspaces at about 60 bytes each need a quarter of this; gRPC's
# default message limit, under which peers pass the text on, is four times it.
DOCUMENT_LIMIT: Final = 1_048_576
SLOTS_LIMIT: Final = 4096
SHARDS_LIMIT: Final = 64
WEIGHT_LIMIT: Final = 1_000_000
TIMEOUT_LIMIT_S: Final = 86_400
LOWEST_TIER: Final = Tier.BULK.value

SPELLING: Final = 0
OTHER: Final = 1
EXTRA_KEY: Final = 'extra_forbidden'
NAME_REMEDY: Final = 'use up to 63 lower-case letters, digits and hyphens'

# Names stand in HTTP headers, metric labels and log lines.
Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]


class _Declared(BaseModel):
    """Refuses unknown keys and numbers written as text."""

    model_config = ConfigDict(extra='forbid', strict=True)


class ServiceDeclaration(_Declared):
    """A pool of runners."""

    kind: ServiceKind = Field(strict=False)
    slots: int = Field(ge=1, le=SLOTS_LIMIT)
    shards: int = Field(default=1, ge=1, le=SHARDS_LIMIT)
    checks_fence: bool = False
    engines: EnginesDeclaration | None = None

    def to_service(self, name: str) -> Service:
        """Return the model that the system works with."""
        return Service(
            name,
            self.kind,
            self.slots,
            self.shards,
            self.checks_fence,
            self.engines.to_target() if self.engines else None,
        )


class ProfileDeclaration(_Declared):
    """How a class of requests is treated."""

    service: str
    tier: int = Field(ge=1, le=LOWEST_TIER)
    repeat: Repeat = Field(strict=False)
    journal: JournalMode = Field(strict=False)
    timeout_s: float = Field(gt=0, le=TIMEOUT_LIMIT_S, allow_inf_nan=False)
    hedge: bool = False

    def to_profile(self, name: str) -> Profile:
        """Return the model that the system works with."""
        return Profile(
            name,
            self.service,
            Tier(self.tier),
            self.repeat,
            self.journal,
            timedelta(seconds=self.timeout_s),
            self.hedge,
        )


class WorkspaceDeclaration(_Declared):
    """A customer's share."""

    weight: float = Field(gt=0, le=WEIGHT_LIMIT, allow_inf_nan=False)
    profiles: list[str] = Field(min_length=1)

    def to_workspace(self, name: str) -> Workspace:
        """Return the model that the system works with."""
        return Workspace(name, self.weight, frozenset(self.profiles))


class Declaration(_Declared):
    """The whole file."""

    schema_version: Literal[1] = Field(alias='schema')
    institution: Name
    services: dict[Name, ServiceDeclaration] = Field(min_length=1)
    profiles: dict[Name, ProfileDeclaration] = Field(min_length=1)
    workspaces: dict[Name, WorkspaceDeclaration] = Field(min_length=1)
    weight_store: WeightStoreDeclaration = Field(
        default_factory=WeightStoreDeclaration,
    )

    def to_terms(self, version: int) -> Terms:
        """Return the terms under the version that the log gave them."""
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
    """One thing wrong; the smallest is told.

    Misspelt keys go first: each also makes the right key look missing, and
    that second fault would send the operator the wrong way.
    """

    rank: int
    line: int
    fact: str
    remedy: str


def parse_terms(text: str, version: int) -> Result[Terms, Problem]:
    """Return the terms that the text declares, or its first fault."""
    if len(text.encode(errors='replace')) > DOCUMENT_LIMIT:
        return Err(
            bad_declaration(
                1,
                f'the file is larger than {DOCUMENT_LIMIT} bytes',
                'declare less, or take out comments',
            ),
        )
    return read_yaml(text).and_then(lambda lined: _check(lined, version))


def _check(lined: LinedData, version: int) -> Result[Terms, Problem]:
    try:
        declared = Declaration.model_validate(lined.value)
    except ValidationError as exc:
        details = exc.errors(include_url=False)
        return Err(_problem(_shape_fault(lined, item) for item in details))
    faults = list(_reference_faults(lined, declared))
    if faults:
        return Err(_problem(faults))
    return Ok(declared.to_terms(version))


def _problem(faults: Iterable[_Fault]) -> Problem:
    ordered = sorted(faults)
    first = ordered[0]
    fact = first.fact
    if ordered[1:]:
        others = len(ordered) - 1
        fact = f'{fact} (and {others} more)'
    return bad_declaration(first.line, fact, first.remedy)


def _shape_fault(lined: LinedData, detail: ErrorDetails) -> _Fault:
    path: Path = tuple(part for part in detail['loc'] if part != '[key]')
    place = '.'.join(str(part) for part in path) or 'the file'
    fact, remedy = _wording(path, place, detail)
    rank = SPELLING if detail['type'] == EXTRA_KEY else OTHER
    return _Fault(rank, lined.line_of(path), fact, remedy)


def _wording(path: Path, place: str, detail: ErrorDetails) -> tuple[str, str]:
    found = reprlib.repr(detail['input'])
    match detail['type']:
        case 'extra_forbidden':
            remedy = _nearest(str(path[-1]), _valid_keys(path))
            return f'unknown key {place}', remedy
        case 'missing':
            key = path[-1]
            return f'key {place} is missing', f'add `{key}:`'
        case 'string_pattern_mismatch':
            return f'{place} is not a name', NAME_REMEDY
        case 'literal_error':
            return f'schema {found} is not known here', 'write `schema: 1`'
    return f'{place}: {found} is not allowed', detail['msg'].lower()


def _reference_faults(
    lined: LinedData,
    declared: Declaration,
) -> Iterator[_Fault]:
    yield from _service_faults(lined, declared)
    for name, profile in declared.profiles.items():
        path: Path = ('profiles', name)
        if profile.service not in declared.services:
            yield _Fault(
                OTHER,
                lined.line_of((*path, 'service')),
                f'profile {name} names the service {profile.service!r}, '
                'which is not declared',
                _nearest(profile.service, declared.services),
            )
        if profile.hedge and profile.repeat is not Repeat.IDEMPOTENT:
            yield _Fault(
                OTHER,
                lined.line_of((*path, 'hedge')),
                f'profile {name} runs at most once and cannot be hedged',
                'write `hedge: false`, or `repeat: idempotent` if it is',
            )
    for name, workspace in declared.workspaces.items():
        yield from _workspace_faults(lined, declared, name, workspace)


def _service_faults(
    lined: LinedData,
    declared: Declaration,
) -> Iterator[_Fault]:
    for name, service in declared.services.items():
        if service.engines and service.kind is not ServiceKind.ENGINE:
            yield _Fault(
                OTHER,
                lined.line_of(('services', name, 'engines')),
                f'service {name} is not of engines, so none can be ordered',
                'write `kind: engine`, or take `engines:` out',
            )


def _workspace_faults(
    lined: LinedData,
    declared: Declaration,
    name: str,
    workspace: WorkspaceDeclaration,
) -> Iterator[_Fault]:
    for index, profile in enumerate(workspace.profiles):
        if profile not in declared.profiles:
            yield _Fault(
                OTHER,
                lined.line_of(('workspaces', name, 'profiles', index)),
                f'workspace {name} names the profile {profile!r}, '
                'which is not declared',
                _nearest(profile, declared.profiles),
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


def _nearest(word: str, valid: Iterable[str]) -> str:
    names = list(valid)
    near = get_close_matches(word, names, n=1)
    if near:
        return f'did you mean `{near[0]}`?'
    choice = ', '.join(names)
    return f'use one of: {choice}'
