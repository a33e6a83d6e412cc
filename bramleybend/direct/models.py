"""What a manifest declares and what the store says of the runners."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType

from bramleybend.decisions.runs import COMPLETION_COST
from bramleybend.models import Repeat, Tier


@dataclass(frozen=True)
class Target:
    """A service that a route sends to, with its weight in the split."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """How requests of one host and path prefix are treated."""

    name: str
    host: str
    prefix: str  # begins and ends with a slash
    repeat: Repeat
    streaming: bool
    resumable: bool  # a stream that may go on at another runner
    timeout_s: float  # the longest that a caller is kept waiting
    objective_s: float  # latency within which an answer is on time
    event_patience_s: float  # callers leave a stream that is silent so long
    tier: Tier
    targets: tuple[Target, ...]
    most_runners: int  # that one request may run on
    public: bool  # needs no key

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run can go to another runner."""
        return self.resumable or self.repeat is Repeat.IDEMPOTENT


@dataclass(frozen=True)
class Allotment:
    """What a workspace may use over all VMs, in tokens or requests."""

    rate_per_s: float
    burst: float
    by_tokens: bool
    plain_tokens: float  # what a request without token counts counts as


@dataclass(frozen=True)
class KeyHolder:
    """A workspace as its callers' keys name it."""

    name: str
    tier: Tier | None  # declared; requests are ranked by their route
    allotment: Allotment | None  # none: no limit


@dataclass(frozen=True)
class ServiceFacts:
    """A service as declared."""

    name: str
    max_connections: int  # a runner takes, from all VMs together
    is_engine: bool
    event_tokens: int  # tokens that one event of a stream holds


@dataclass(frozen=True)
class IngressLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Manifest:
    """One accepted configuration, whole."""

    version: int
    routes: Mapping[str, tuple[Route, ...]]  # by host, longest prefix first
    services: Mapping[str, ServiceFacts]
    key_holders: Mapping[str, KeyHolder]  # by key
    keyed: bool  # callers need a key, but on public routes
    limits: IngressLimits = field(default_factory=IngressLimits)

    def route_of(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of the path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class RunnerState(StrEnum):
    """What a runner says of itself in the store."""

    READY = 'ready'
    LEAVING = 'leaving'


@dataclass(frozen=True)
class RunnerEntry:
    """One start of a runner."""

    name: str  # unique for each process, unless it says `started_ms` anew
    started_ms: int  # 0: not told
    service: str
    address: str
    port: int
    domain: str
    slots: int
    state: RunnerState

    @property
    def incarnation(self) -> str:
        """Name this start; a runner may start again under its name."""
        return (
            f'{self.name}.{self.started_ms}' if self.started_ms else self.name
        )


@dataclass(frozen=True)
class RequestFacts:
    """What a caller's headers say of its request."""

    attempt_id: str
    key: str
    patience_s: float | None  # how long the caller waits
    prompt_tokens: int
    most_output: int
    likely_output: int | None
    resume_after: str  # the last event that the caller has

    @property
    def expected_output(self) -> int:
        """Return the tokens that the answer is likely to have."""
        return self.likely_output or self.most_output

    @property
    def expected_work(self) -> float:
        """Return the work of a run, in prompt-token equivalents."""
        work = self.prompt_tokens + self.expected_output * COMPLETION_COST
        return float(max(work, 1))

    def units(self, allotment: Allotment) -> float:
        """Return what the request counts as against an allotment."""
        if not allotment.by_tokens:
            return 1
        tokens = self.prompt_tokens + self.most_output
        return tokens or allotment.plain_tokens


NO_RUNNERS: Mapping[str, RunnerEntry] = MappingProxyType({})
