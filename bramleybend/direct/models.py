"""Data of the entry VMs: manifest, runner entries and request metadata."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType

from bramleybend.decisions.runs import DECODE_TOKEN_COST
from bramleybend.models import Idempotency, Tier


@dataclass(frozen=True)
class Target:
    """A service of a route and its weight in the traffic split."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """The settings for requests with one host and path prefix."""

    name: str
    host: str
    prefix: str  # begins and ends with a slash
    repeat: Idempotency
    streaming: bool
    resumable: bool  # a broken stream may continue at another runner
    timeout_s: float  # the longest time until an answer is complete
    target_latency_s: float  # latency up to which an answer is on time
    event_timeout_s: float  # silence of a stream after which callers leave
    tier: Tier
    targets: tuple[Target, ...]
    max_runners: int  # maximum number of runners that may run one request
    public: bool  # callers need no key

    @property
    def can_run_again(self) -> bool:
        """Whether a request that may have run may run at another runner."""
        return self.resumable or self.repeat is Idempotency.IDEMPOTENT


@dataclass(frozen=True)
class Allotment:
    """The rate limit of a workspace over all VMs, in units.

    A unit is a token or a request.
    """

    rate_per_s: float
    burst: float
    counts_tokens: bool  # units are tokens; else requests
    default_tokens: float  # charged for a request that declares no token counts


@dataclass(frozen=True)
class KeyedWorkspace:
    """The workspace that a caller's key belongs to."""

    name: str
    tier: Tier | None  # as declared; the tier of a request is its route's
    allotment: Allotment | None  # none: unlimited


@dataclass(frozen=True)
class DeclaredService:
    """A service as the manifest declares it."""

    name: str
    max_connections: int  # to one runner, from all VMs together
    is_engine: bool  # one owner dispatches all of its requests
    event_tokens: int  # number of tokens in one event of a stream


@dataclass(frozen=True)
class IngressLimits:
    """Limits for callers' requests and connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0  # without a request on a connection


@dataclass(frozen=True)
class Manifest:
    """One accepted version of the whole configuration."""

    version: int
    routes: Mapping[str, tuple[Route, ...]]  # by host, longest prefix first
    services: Mapping[str, DeclaredService]
    workspaces_by_key: Mapping[str, KeyedWorkspace]  # by key
    requires_key: bool  # callers need a key except on public routes
    limits: IngressLimits = field(default_factory=IngressLimits)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route whose prefix matches most of the path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class RunnerState(StrEnum):
    """The state that a runner declares in the store."""

    READY = 'ready'
    LEAVING = 'leaving'


@dataclass(frozen=True)
class RunnerEntry:
    """A runner's entry in the store, for one start of its process."""

    name: str  # unique per process if `started_ms` is 0
    started_ms: int  # start of the process; 0: unknown
    service: str
    address: str
    port: int
    domain: str
    slots: int
    state: RunnerState
    version: str = ''  # of its software; empty if it states none

    @property
    def incarnation(self) -> str:
        """Identify this start; a restarted runner may keep its name."""
        return (
            f'{self.name}.{self.started_ms}' if self.started_ms else self.name
        )


@dataclass(frozen=True)
class RequestMetadata:
    """A request's metadata, from the headers that its caller sent."""

    attempt_id: str
    key: str
    timeout_s: float | None  # how long the caller waits for the answer
    prompt_tokens: int
    max_output_tokens: int
    output_tokens_hint: int | None
    last_event_id: str  # ID of the last event that the caller has received
    # The attempt that brought the first event of the stream that this request
    # takes up.
    resumed_attempt: str = ''
    # IDs of the prompt's parts that other requests may share.
    shared_parts: tuple[str, ...] = ()

    @property
    def expected_output_tokens(self) -> int:
        """Return the number of tokens that the answer is likely to have."""
        return self.output_tokens_hint or self.max_output_tokens

    @property
    def expected_work(self) -> float:
        """Return the expected work of a run, in prompt-token equivalents."""
        work = (
            self.prompt_tokens + self.expected_output_tokens * DECODE_TOKEN_COST
        )
        return float(max(work, 1))

    def allotment_units(self, allotment: Allotment) -> float:
        """Return the units that the request takes from an allotment."""
        if not allotment.counts_tokens:
            return 1
        tokens = self.prompt_tokens + self.max_output_tokens
        return tokens or allotment.default_tokens


NO_RUNNERS: Mapping[str, RunnerEntry] = MappingProxyType({})
