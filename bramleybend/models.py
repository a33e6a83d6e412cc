"""Data types shared by all components: requests, services, configuration."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import IntEnum, StrEnum
from math import inf


class Tier(IntEnum):
    """Priority of a request; a lower number is more important."""

    CRITICAL = 1
    HIGH = 2
    NORMAL = 3
    BULK = 4


class Repeat(StrEnum):
    """Whether a request under a profile may be run again or cancelled."""

    NON_IDEMPOTENT = 'non_idempotent'  # runs at most once, never cancelled
    AT_MOST_ONCE = 'at_most_once'  # dispatched at most once, may be cancelled
    IDEMPOTENT = 'idempotent'  # may run again after a failure


class JournalMode(StrEnum):
    """When the intent to dispatch is written to the log."""

    # The outcome is known after a crash; dispatch stops while the log is down.
    BEFORE_DISPATCH = 'before_dispatch'
    # Dispatch goes on while the log is down; a crash leaves `unknown`.
    BEHIND = 'behind'


class ServiceKind(StrEnum):
    """What kind of runners serve a service."""

    ENGINE = 'engine'
    PLAIN = 'plain'


class RunnerState(StrEnum):
    """State of a VM in the VM list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class EngineRole(StrEnum):
    """Which phases of a request (prefill, decode) an engine processes."""

    MIXED = 'mixed'
    PREFILL = 'prefill'
    DECODE = 'decode'


@dataclass(frozen=True)
class EngineTarget:
    """The model, adapters and role that a service's engines should load."""

    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: EngineRole = EngineRole.MIXED


@dataclass(frozen=True)
class WeightStore:
    """Limits on loads from the store that model weights are read from."""

    loads_at_once: int = 2
    load_timeout: timedelta = timedelta(minutes=10)


@dataclass(frozen=True)
class Profile:
    """How a class of requests is scheduled, logged and retried."""

    name: str
    service: str
    tier: Tier
    repeat: Repeat
    journal: JournalMode
    timeout: timedelta
    hedge: bool = False

    @property
    def cancellable(self) -> bool:
        """Whether a run may be preempted by a request of a higher tier."""
        return self.repeat is not Repeat.NON_IDEMPOTENT


@dataclass(frozen=True)
class Service:
    """A pool of runners of one kind."""

    name: str
    kind: ServiceKind
    slots: int  # initial limit of concurrent requests for each runner
    shards: int = 1  # queues that the pool is split into, one owner each
    checks_fence: bool = False
    engines: EngineTarget | None = None  # `None`: engines get no load orders


@dataclass(frozen=True)
class Workspace:
    """A customer's share of the system."""

    name: str
    weight: float
    profiles: frozenset[str]


@dataclass(frozen=True)
class Terms:
    """One accepted version of the whole configuration."""

    version: int
    institution: str
    services: dict[str, Service]
    profiles: dict[str, Profile]
    workspaces: dict[str, Workspace]
    weight_store: WeightStore = field(default_factory=WeightStore)


@dataclass(frozen=True)
class Vm:
    """One entry of the VM list."""

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
    """A gateway's request to an owner for a slot for one request."""

    request_id: str
    service: str
    tier: Tier
    workspace: str
    cost: float  # expected work, in prompt-token equivalents
    prompt_tokens: int
    prefixes: tuple[str, ...]  # hashes of prompt prefixes, shortest first
    deadline: float  # seconds on the deciding process's monotonic clock
    cancellable: bool
    fingerprint: str = ''  # equal for equal content
    suspect: bool = False  # its content was in flight when a runner crashed
    excluded: frozenset[str] = field(default_factory=frozenset)
    on_time_until: float = inf  # latest start that is on time, same clock
    begin_by: float = inf  # the caller leaves unless an answer begins by then
    # Runners to which the requesting VM has an idle connection.
    connected: frozenset[str] = field(default_factory=frozenset)
