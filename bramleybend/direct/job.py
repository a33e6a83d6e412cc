"""One request under way, and the parts that serve it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bramleybend.clock import Clock
from bramleybend.decisions.resends import ResendBudget
from bramleybend.direct.attempt import Attempt, Failure
from bramleybend.direct.book import Book
from bramleybend.direct.channels import RunnerChannels
from bramleybend.direct.containment import Containment
from bramleybend.direct.dialect import Dialect
from bramleybend.direct.intake import Admitted, Intake
from bramleybend.direct.meters import Meters
from bramleybend.direct.models import RequestFacts
from bramleybend.direct.placing import Placer
from bramleybend.direct.replies import RawRequest
from bramleybend.direct.runner_limits import RunnerLimits
from bramleybend.events import EventLog


@dataclass
class Job:
    """A request that was let in, until it is answered."""

    req: RawRequest
    facts: RequestFacts
    terms: Admitted
    ends_at: float  # monotonic; by then the caller has an answer
    fingerprint: str = ''  # equal for equal content
    excluded: frozenset[str] = frozenset()  # runners that failed it
    ran_on: int = 0  # runners that may have run it
    refusals: int = 0  # runners that surely did not
    last_event: str = ''  # the newest that was passed on
    last_failure: Failure | None = None
    failure_status: int | None = None  # a runner's own, passed on
    first_event_at: float | None = None  # monotonic
    last_event_at: float | None = None  # monotonic
    left_at: float | None = None  # monotonic; its caller's leaving
    attempt: Attempt | None = None  # under way
    framing: str = ''  # of the newest answer; empty before the first
    cut_bytes: int = 0  # after the last whole event of that answer
    is_counted: bool = True  # against its workspace's allotment
    trail: list[str] = field(default_factory=list)  # runners it was sent to

    @property
    def event_by(self) -> float:
        """When the caller leaves unless an answer or an event has come."""
        since = self.last_event_at or self.req.received_at
        return min(self.ends_at, since + self.terms.route.event_patience_s)

    @property
    def is_at_runner(self) -> bool:
        """Whether a runner may be working on it."""
        return self.attempt is not None and self.attempt.sent


@dataclass(frozen=True)
class Parts:
    """What serving a request needs."""

    book: Book
    intake: Intake
    placer: Placer
    containment: Containment
    limits: RunnerLimits
    channels: RunnerChannels
    dialect: Dialect
    resends: ResendBudget
    vm_count: Callable[[], int]
    event_tokens: Callable[[str], int]
    clock: Clock
    events: EventLog
    meters: Meters
