"""Granted runs and runners, as the owner knows them."""

from dataclasses import dataclass, field
from math import ceil

from bramleybend.decisions.cache_view import CacheView
from bramleybend.decisions.concurrency_limit import ConcurrencyLimit
from bramleybend.decisions.failure_share import FailureShare
from bramleybend.decisions.runner_pace import PaceEstimator
from bramleybend.decisions.slow_start import Ramp
from bramleybend.decisions.start_rate import StartRate
from bramleybend.models import SlotRequest, Tier

DECODE_TOKEN_COST = 8  # work of decoding a token, in prompt tokens


@dataclass
class Run:
    """A granted request until its end is reported."""

    ask: SlotRequest
    runner: str
    started_at: float
    prefill_tokens: int  # not taken from a prefix cache
    # Runs in prefill on the runner at the start, including this one.
    prefills_at_start: int = 1
    backlog_tokens: int = 0  # prompt tokens counted in the runner's backlog
    first_token_at: float | None = None
    # Tier for which the preemption of this run was ordered.
    preempted_for: Tier | None = None


@dataclass
class Runner:
    """One runner, with its limits and measured values."""

    name: str
    limit: ConcurrencyLimit
    ramp: Ramp
    pace_estimator: PaceEstimator
    cache: CacheView
    leaving: bool = False
    in_flight: set[str] = field(default_factory=set)
    # Runs past their first token.
    streaming: set[str] = field(default_factory=set)
    mean_run_s: float = 1  # moving average
    # Prompt tokens sent to the runner whose prefill has not been reported.
    backlog_tokens: int = 0
    # ID of the suspect request for which the runner is drained or that it runs.
    reserved_for: str | None = None
    failures: FailureShare = field(default_factory=FailureShare)
    # None unless the runner reports a rate limit.
    start_rate: StartRate | None = None

    def update_start_rate(self, per_s: float | None, now: float) -> bool:
        """Set the maximum starts per second; tell whether it changed."""
        before = self.start_rate.per_s if self.start_rate else None
        if per_s is None:
            self.start_rate = None
        elif self.start_rate is None:
            self.start_rate = StartRate(per_s, now)
        else:
            self.start_rate.set_rate(per_s, now)
        return before != per_s

    def record_start(self, now: float) -> None:
        """Count a start, including starts that another owner granted."""
        if self.start_rate is not None:
            self.start_rate.record_start(now)

    def max_concurrency(self) -> int:
        """Return how many requests may run at once within all limits."""
        if self.start_rate is None:
            return self.limit.value
        at_once = ceil(self.start_rate.per_s * self.mean_run_s)
        return min(self.limit.value, at_once)

    def estimate_wait_s(self, now: float) -> float:
        """Estimate the seconds until a slot is released, if none is free."""
        wait = self.mean_run_s / max(len(self.in_flight), 1)
        return (
            wait
            if self.start_rate is None
            else max(wait, self.start_rate.wait_s(now))
        )

    def release_slot(self, request_id: str) -> None:
        """Release a request's slot; unknown IDs change nothing."""
        self.in_flight.discard(request_id)
        self.streaming.discard(request_id)
        if self.reserved_for == request_id:
            self.reserved_for = None

    def free_slots(self, now: float) -> int:
        """Return how many more requests may start on this runner now."""
        share = self.ramp.share(now)
        if self.leaving or self.reserved_for is not None or not share:
            return 0
        if self.start_rate is not None and self.start_rate.wait_s(now):
            return 0
        allowed = int(self.limit.value * share)
        return max(allowed, 1) - len(self.in_flight)


def run_work(prompt: int, cached: int, completion: int) -> float:
    """Return the work of a run, in prompt-token equivalents."""
    return max(prompt - cached, 0) + max(completion, 0) * DECODE_TOKEN_COST
