"""Data inside the system: what a request, a profile and a runner are."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import IntEnum, StrEnum
from math import inf


class Tier(IntEnum):
    """Rank of a request; a lower number is more important."""

    CRITICAL = 1
    HIGH = 2
    NORMAL = 3
    BULK = 4


class Repeat(StrEnum):
    """How often a request under a profile may be run."""

    NON_IDEMPOTENT = 'non_idempotent'  # runs at most once, never cancelled
    AT_MOST_ONCE = 'at_most_once'  # dispatched at most once, may be cancelled
    IDEMPOTENT = 'idempotent'  # may run again after a failure


class JournalMode(StrEnum):
    """When the intent to dispatch is written to the log."""

    BEFORE_DISPATCH = 'before_dispatch'  # definite answers; stops with the log
    BEHIND = 'behind'  # runs on in an outage; a crash leaves `unknown`


class ServiceKind(StrEnum):
    """What stands behind a service."""

    ENGINE = 'engine'
    PLAIN = 'plain'


class RunnerState(StrEnum):
    """What the VM list says of a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'


class EngineRole(StrEnum):
    """Which half of a request's work an engine takes."""

    MIXED = 'mixed'
    PREFILL = 'prefill'
    DECODE = 'decode'


@dataclass(frozen=True)
class EngineTarget:
    """What the engines of a service should hold."""

    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: EngineRole = EngineRole.MIXED


@dataclass(frozen=True)
class WeightStore:
    """How hard engines may press the store that weights come from."""

    loads_at_once: int = 2
    load_timeout: timedelta = timedelta(minutes=10)


@dataclass(frozen=True)
class Profile:
    """How a class of requests is treated."""

    name: str
    service: str
    tier: Tier
    repeat: Repeat
    journal: JournalMode
    timeout: timedelta
    hedge: bool = False

    @property
    def cancellable(self) -> bool:
        """Whether a run may be stopped to make room for a higher tier."""
        return self.repeat is not Repeat.NON_IDEMPOTENT


@dataclass(frozen=True)
class Service:
    """A pool of runners of one kind."""

    name: str
    kind: ServiceKind
    slots: int  # concurrent requests a runner is first trusted with
    shards: int = 1  # queues the pool is split into, one owner each
    checks_fence: bool = False
    engines: EngineTarget | None = None  # none: no orders are given


@dataclass(frozen=True)
class Workspace:
    """A customer's share of the system."""

    name: str
    weight: float
    profiles: frozenset[str]


@dataclass(frozen=True)
class Terms:
    """One accepted configuration, whole."""

    version: int
    institution: str
    services: dict[str, Service]
    profiles: dict[str, Profile]
    workspaces: dict[str, Workspace]
    weight_store: WeightStore = field(default_factory=WeightStore)


@dataclass(frozen=True)
class Vm:
    """One line of the VM list."""

    name: str
    address: str
    port: int
    service: str
    domain: str
    state: RunnerState

    @property
    def endpoint(self) -> str:
        """Return `ip:port`."""
        return f'{self.address}:{self.port}'


@dataclass(frozen=True)
class SlotRequest:
    """What a gateway asks an owner for: a slot for one request."""

    request_id: str
    service: str
    tier: Tier
    workspace: str
    cost: float  # expected work, in prompt-token equivalents
    prompt_tokens: int
    prefixes: tuple[str, ...]  # hashes of growing prompt prefixes
    deadline: float  # on the deciding process's monotonic clock, seconds
    cancellable: bool
    fingerprint: str = ''  # equal for equal content
    suspect: bool = False  # its content was in flight when a runner crashed
    excluded: frozenset[str] = field(default_factory=frozenset)
    on_time_until: float = inf  # for a start, on the same clock
    begin_by: float = inf  # without an answer begun its caller leaves then
    # Runners to which the asking VM has a free connection.
    connected: frozenset[str] = field(default_factory=frozenset)
