"""A job: a run with its profile and service; and what dispatch needs."""

from dataclasses import dataclass
from random import Random
from typing import Final

from bramleybend.clock import Clock
from bramleybend.events import EventLog
from bramleybend.gateway.ask import make_ask
from bramleybend.gateway.floor_round import FloorRounds
from bramleybend.gateway.run import Run
from bramleybend.gateway.slot_client import SlotClient
from bramleybend.gateway.view import ViewFollower
from bramleybend.metrics import Metrics
from bramleybend.models import Profile, Service, SlotRequest, Tier

# A caller stops waiting at its deadline, so the answer is sent a little before:
# by this share of the time left, at most by this many seconds.
ANSWER_MARGIN_SHARE: Final = 0.05
ANSWER_MARGIN_S: Final = 0.2


@dataclass(frozen=True)
class DispatchDeps:
    """The components that dispatch uses, shared by all jobs of a gateway."""

    slot_client: SlotClient
    floor_rounds: FloorRounds
    views: ViewFollower
    clock: Clock
    events: EventLog
    metrics: Metrics
    rng: Random

    def record_event(self, job: 'Job', event: str, **fields: object) -> None:
        """Record an event of one job with its id and tier."""
        self.events.record(
            event,
            job.request_id,
            tier=int(job.tier),
            **fields,
        )

    def answer_deadline(self, job: 'Job') -> float:
        """Return when a caller must be told at the latest that nothing ran."""
        margin_s = min(
            self.remaining_s(job) * ANSWER_MARGIN_SHARE, ANSWER_MARGIN_S
        )
        return job.run.req.deadline - margin_s

    def remaining_s(self, job: 'Job') -> float:
        """Seconds until the job's deadline; 0 after it."""
        return max(job.run.req.deadline - self.clock.monotonic(), 0)


@dataclass(frozen=True)
class Job:
    """One request to be run, under one version of the terms."""

    run: Run
    profile: Profile
    service: Service

    @property
    def request_id(self) -> str:
        """The id of the caller's request."""
        return self.run.req.request_id

    @property
    def tier(self) -> Tier:
        """The tier of the profile."""
        return self.profile.tier

    def make_ask(self) -> SlotRequest:
        """Build the slot request for the owner."""
        return make_ask(self.run.req, self.profile, self.service.kind)
