"""What the owner knows of each granted run and each runner."""

from dataclasses import dataclass, field
from math import ceil

from bramleybend.decisions.cache_view import CacheView
from bramleybend.decisions.failing import FailureShare
from bramleybend.decisions.limits import ConcurrencyLimit
from bramleybend.decisions.pacing import Ramp
from bramleybend.decisions.rates import StartRate
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
    rate: StartRate | None = None  # while the runner names a limit

    def limit_starts(self, per_s: float | None, now: float) -> bool:
        """Start so many a second from now on; tells whether that is new."""
        before = self.rate.per_s if self.rate else None
        if per_s is None:
            self.rate = None
        elif self.rate is None:
            self.rate = StartRate(per_s, now)
        else:
            self.rate.change(per_s, now)
        return before != per_s

    def started(self, now: float) -> None:
        """Count a start, also one that another owner granted."""
        if self.rate is not None:
            self.rate.started(now)

    def capacity(self) -> int:
        """Return how many requests it runs at once, by all its limits."""
        if self.rate is None:
            return self.limit.value
        at_once = ceil(self.rate.per_s * self.mean_seconds)
        return min(self.limit.value, at_once)

    def wait_s(self, now: float) -> float:
        """Estimate the wait for a slot when none is free."""
        wait = self.mean_seconds / max(len(self.in_flight), 1)
        return wait if self.rate is None else max(wait, self.rate.wait_s(now))

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
        if self.rate is not None and self.rate.wait_s(now):
            return 0
        allowed = int(self.limit.value * share)
        return max(allowed, 1) - len(self.in_flight)


def work_of(prompt: int, cached: int, completion: int) -> float:
    """Return the work a run took, in prompt-token equivalents."""
    return max(prompt - cached, 0) + max(completion, 0) * COMPLETION_COST
