"""One request under way, and the parts that serve it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bramleybend.clock import Clock
from bramleybend.decisions.resends import ResendBudget
from bramleybend.direct.attempt import Attempt, Failure
from bramleybend.direct.book import Book
from bramleybend.direct.channels import RunnerChannels
from bramleybend.direct.containment import Containment
from bramleybend.direct.dialect import HeaderCodec
from bramleybend.direct.intake import Admission, AdmissionControl
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
    admission: Admission
    answer_due_at: float  # monotonic; by then the caller has an answer
    fingerprint: str = ''  # equal for equal content
    excluded: frozenset[str] = frozenset()  # runners that failed it
    possible_runs: int = 0  # runners that may have run it
    refusal_count: int = 0  # runners that surely did not
    last_event_id: str = ''  # the newest that was passed on
    last_failure: Failure | None = None
    runner_error_status: int | None = None  # a runner's own, passed on
    first_event_at: float | None = None  # monotonic
    last_event_at: float | None = None  # monotonic
    caller_left_at: float | None = None  # monotonic; its caller's leaving
    current_attempt: Attempt | None = None  # under way
    framing: str = ''  # of the newest answer; empty before the first
    cut_bytes: int = 0  # after the last whole event of that answer
    is_charged: bool = True  # against its workspace's allotment
    tried_runners: list[str] = field(
        default_factory=list
    )  # runners it was sent to

    @property
    def next_event_due_at(self) -> float:
        """When the caller leaves unless an answer or an event has come."""
        since = self.last_event_at or self.req.received_at
        return min(
            self.answer_due_at, since + self.admission.route.event_patience_s
        )

    @property
    def may_be_running(self) -> bool:
        """Whether a runner may be working on it."""
        return self.current_attempt is not None and self.current_attempt.sent


@dataclass(frozen=True)
class Components:
    """What serving a request needs."""

    book: Book
    intake: AdmissionControl
    placer: Placer
    containment: Containment
    limits: RunnerLimits
    channels: RunnerChannels
    dialect: HeaderCodec
    resends: ResendBudget
    vm_count: Callable[[], int]
    event_tokens: Callable[[str], int]
    clock: Clock
    events: EventLog
    meters: Meters
