"""The state of a request in progress, and the components that serve it."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bramleybend.clock import Clock
from bramleybend.decisions.allotment_models import Charge
from bramleybend.decisions.resends import ResendBudget
from bramleybend.direct.admission import Admission, AdmissionControl
from bramleybend.direct.attempt import Attempt, Failure
from bramleybend.direct.catalog import Catalog
from bramleybend.direct.channels import RunnerChannels
from bramleybend.direct.containment import Containment, ContentIds
from bramleybend.direct.crash_check import CrashCheck
from bramleybend.direct.header_codec import HeaderCodec
from bramleybend.direct.meters import Meters
from bramleybend.direct.models import RequestMetadata
from bramleybend.direct.placement import Placer
from bramleybend.direct.replies import RawRequest
from bramleybend.direct.runner_limits import RunnerLimits
from bramleybend.direct.software_versions import SoftwareVersions
from bramleybend.direct.stream_origins import StreamOrigins
from bramleybend.events import EventLog


@dataclass
class Job:
    """An admitted request until it is answered."""

    req: RawRequest
    facts: RequestMetadata
    admission: Admission
    answer_due_at: float  # monotonic; when the caller times out
    content: ContentIds
    excluded: frozenset[str] = frozenset()  # incarnations of tried runners
    possible_runs: int = 0  # attempts that may have run it
    refusal_count: int = 0  # by runners, `MOVED` ones not included
    last_event_id: str = ''  # id of the last event that was relayed
    # Software version of the runners that may run it; none: any.
    version: str | None = None
    placed_version: str | None = None  # of the runner of its last slot
    last_failure: Failure | None = None
    runner_error_status: int | None = None  # the latest, 500 or above
    first_event_at: float | None = None  # monotonic
    last_event_at: float | None = None  # monotonic
    caller_left_at: float | None = None  # monotonic
    current_attempt: Attempt | None = None  # the one in progress
    framing: str = ''  # of the latest answer; empty before the first
    cut_bytes: int = 0  # of an incomplete event at its end
    # Of its tries, in order; those beyond the possible runs are refunded.
    charges: list[Charge] = field(default_factory=list)
    tried_runners: list[str] = field(default_factory=list)  # names, in order

    @property
    def next_event_due_at(self) -> float:
        """When the caller gives up unless an answer or event has arrived."""
        since = self.last_event_at or self.req.received_at
        return min(
            self.answer_due_at, since + self.admission.route.event_timeout_s
        )

    @property
    def may_be_resumed(self) -> bool:
        """Whether its stream may go on at another runner or in a take-up."""
        route = self.admission.route
        return route.streaming and route.resumable

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the caller must have its answer."""
        return self.answer_due_at - now

    @property
    def charged_units(self) -> int:
        """Return the units that its tries took from the allotment so far."""
        return int(sum(charge.units for charge in self.charges))

    @property
    def may_be_running(self) -> bool:
        """Whether the request was sent to a runner and is not answered yet."""
        return self.current_attempt is not None and self.current_attempt.is_sent


@dataclass(frozen=True)
class Components:
    """The components that serve requests."""

    catalog: Catalog
    admission_control: AdmissionControl
    placer: Placer
    containment: Containment
    crash_check: CrashCheck
    runner_limits: RunnerLimits
    channels: RunnerChannels
    header_codec: HeaderCodec
    resend_budget: ResendBudget
    versions: SoftwareVersions
    origins: StreamOrigins
    vm_count: Callable[[], int]
    event_tokens: Callable[[str], int]
    clock: Clock
    events: EventLog
    meters: Meters
