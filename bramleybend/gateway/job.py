"""A run with the terms it runs under, and what carries it."""

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
from bramleybend.models import Ask, Profile, Service, Tier

# A caller stops listening at its deadline; what is told then reaches nobody.
ANSWER_MARGIN_SHARE: Final = 0.05
ANSWER_MARGIN_S: Final = 0.2


@dataclass(frozen=True)
class DispatchDeps:
    """What a gateway's runs are carried with."""

    slot_client: SlotClient
    floor_rounds: FloorRounds
    views: ViewFollower
    clock: Clock
    events: EventLog
    metrics: Metrics
    rng: Random

    def record_event(self, job: 'Job', event: str, **fields: object) -> None:
        """Record an event of one job."""
        self.events.record(
            event,
            job.request_id,
            tier=int(job.tier),
            **fields,
        )

    def answer_deadline(self, job: 'Job') -> float:
        """Return by when to tell a job that it was not run."""
        margin_s = min(
            self.remaining_s(job) * ANSWER_MARGIN_SHARE, ANSWER_MARGIN_S
        )
        return job.run.req.deadline - margin_s

    def remaining_s(self, job: 'Job') -> float:
        """Seconds to the job's deadline; 0 once it has passed."""
        return max(job.run.req.deadline - self.clock.monotonic(), 0)


@dataclass(frozen=True)
class Job:
    """One request to be run, under one version of the terms."""

    run: Run
    profile: Profile
    service: Service

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.run.req.request_id

    @property
    def tier(self) -> Tier:
        """The request's rank."""
        return self.profile.tier

    def make_ask(self) -> Ask:
        """Return what an owner needs to decide about it."""
        return make_ask(self.run.req, self.profile, self.service.kind)
