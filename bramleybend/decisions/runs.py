"""What the owner knows of each granted run and each runner."""

from dataclasses import dataclass, field

from bramleybend.decisions.cache_view import CacheView
from bramleybend.decisions.failing import FailureShare
from bramleybend.decisions.limits import ConcurrencyLimit
from bramleybend.decisions.pacing import Ramp
from bramleybend.decisions.speeds import Speed
from bramleybend.models import Ask, Tier

COMPLETION_COST = 8  # work of a decoded token, in prompt tokens


@dataclass
class Run:
    """A granted request until its end is reported."""

    ask: Ask
    runner: str
    started: float
    prefill_tokens: int  # computed or being computed for this run alone
    filling: int = 1  # runs being prefilled there when it started
    in_backlog: int = 0  # tokens counted in its runner's backlog
    first_token_at: float | None = None
    yields_to: Tier | None = None  # a preemption was ordered


@dataclass
class Runner:
    """One runner and all that was learned of it."""

    name: str
    limit: ConcurrencyLimit
    ramp: Ramp
    speed: Speed
    cache: CacheView
    leaving: bool = False
    in_flight: set[str] = field(default_factory=set)
    streams: set[str] = field(default_factory=set)  # past the first token
    mean_seconds: float = 1  # of a run
    backlog: int = 0  # prompt tokens sent there and not known as filled
    alone: str | None = None  # the suspect that runs here by itself
    failing: FailureShare = field(default_factory=FailureShare)

    def wait_s(self) -> float:
        """Estimate the wait for a slot when all are taken."""
        return self.mean_seconds / max(len(self.in_flight), 1)

    def forget(self, request_id: str) -> None:
        """Free a slot; unknown ids change nothing."""
        self.in_flight.discard(request_id)
        self.streams.discard(request_id)
        if self.alone == request_id:
            self.alone = None

    def room(self, now: float) -> int:
        """Return how many more requests may start here now."""
        share = self.ramp.share(now)
        if self.leaving or self.alone is not None or not share:
            return 0
        allowed = int(self.limit.value * share)
        return max(allowed, 1) - len(self.in_flight)


def work_of(prompt: int, cached: int, completion: int) -> float:
    """Return the work a run took, in prompt-token equivalents."""
    return max(prompt - cached, 0) + max(completion, 0) * COMPLETION_COST
