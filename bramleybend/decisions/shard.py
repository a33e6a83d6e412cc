"""The state of one shard as its owner knows it, without any policy."""

from dataclasses import dataclass, field
from math import log
from random import Random

from bramleybend.decisions.decaying_sum import DecayingSum
from bramleybend.decisions.drain_rate import DrainRate
from bramleybend.decisions.overload import UNBOUNDED, OverloadBounds
from bramleybend.decisions.pool import RunnerPool
from bramleybend.decisions.runs import Run, Runner
from bramleybend.decisions.switches import PolicySwitches
from bramleybend.decisions.tier_queue import WaitingEntry
from bramleybend.decisions.waiting_queue import WaitingQueue
from bramleybend.models import SlotRequest, Tier

STARTS_HALF_LIFE_S = 2.0


def _make_start_counter() -> DecayingSum:
    return DecayingSum(STARTS_HALF_LIFE_S)


@dataclass
class Shard:
    """The queues, the runs and the runners of one shard."""

    pool: RunnerPool
    queue: WaitingQueue
    suspects: WaitingQueue
    drain_rate: DrainRate
    rng: Random
    switches: PolicySwitches
    overload: OverloadBounds = UNBOUNDED
    runs: dict[str, Run] = field(default_factory=dict)
    # ID of the preempted run, by the ID of the request that waits for its slot.
    victims: dict[str, str] = field(default_factory=dict)
    # End of the floor of each tier.
    floor_ends: dict[int, float] = field(default_factory=dict)
    # Starts of queued entries, with decay.
    recent_starts: DecayingSum = field(default_factory=_make_start_counter)

    def lowest_startable_tier(self, now: float) -> int:
        """Return the lowest tier that may start now; drops expired floors."""
        self.floor_ends = {
            tier: until
            for tier, until in self.floor_ends.items()
            if until > now
        }
        return min(self.floor_ends, default=Tier.BULK.value)

    def raise_floor(self, tier: int, until: float) -> None:
        """Start nothing below a tier until a time."""
        self.floor_ends[tier] = max(self.floor_ends.get(tier, until), until)

    def drain_per_s(self, now: float) -> float | None:
        """Return the cost per second that the slots can finish, if known."""
        return self.drain_rate.cost_per_s(self.pool.total_capacity(), now)

    def min_starts_per_s(self, now: float) -> float:
        """Return the start rate that a waiting lower tier is guaranteed."""
        per_s = self.recent_starts.value(now) * log(2) / STARTS_HALF_LIFE_S
        return per_s * self.overload.min_share

    def queue_for(self, ask: SlotRequest) -> WaitingQueue:
        """Return the queue that a request belongs to."""
        return self.suspects if ask.suspect else self.queue

    def dequeue(self, request_id: str) -> WaitingEntry | None:
        """Remove a request from whichever queue holds it."""
        entry = self.queue.remove(request_id) or self.suspects.remove(
            request_id,
        )
        self.victims.pop(request_id, None)
        return entry

    def start(self, ask: SlotRequest, runner: Runner, now: float) -> None:
        """Record that a request runs on a runner."""
        entry = self.dequeue(ask.request_id)
        if entry is not None:
            self.queue.record_start(entry)
            self.recent_starts.add(1, now)
        cached = runner.cache.cached_tokens(ask.prefixes, ask.prompt_tokens)
        prefill = max(ask.prompt_tokens - cached, 0)
        prefills = len(runner.in_flight) - len(runner.streaming) + 1
        run = Run(ask, runner.name, now, prefill, prefills)
        run.backlog_tokens = prefill
        runner.backlog_tokens += prefill
        self.runs[ask.request_id] = run
        runner.in_flight.add(ask.request_id)
        runner.record_start(now)
        runner.cache.record_sent(ask.prefixes, now)
        if ask.suspect:
            runner.reserved_for = ask.request_id
        self.queue.charge(ask, ask.cost)

    def adopt(self, ask: SlotRequest, runner_name: str, now: float) -> None:
        """Record a run in progress, on a runner that may not be listed yet.

        The run counts as streaming, since its first token may have been sent
        before and won't be reported again. Otherwise its prompt would stay in
        the runner's backlog until the run ends and keep the runner closed to
        long prompts.
        """
        runner = self.pool.get(runner_name)
        self.dequeue(ask.request_id)
        self.queue.charge(ask, ask.cost)
        self.runs[ask.request_id] = Run(
            ask,
            runner_name,
            now,
            ask.prompt_tokens,
            first_token_at=now,
        )
        if runner is not None:
            runner.in_flight.add(ask.request_id)
            runner.record_start(now)
            runner.streaming.add(ask.request_id)
            runner.cache.record_sent(ask.prefixes, now)
            if ask.suspect:
                runner.reserved_for = ask.request_id

    def end_prefill(self, run: Run) -> None:
        """Remove a run's prompt from its runner's backlog, once."""
        runner = self.pool.get(run.runner)
        if runner is not None and run.backlog_tokens:
            runner.backlog_tokens = max(
                runner.backlog_tokens - run.backlog_tokens, 0
            )
        run.backlog_tokens = 0

    def finish(self, request_id: str) -> Run | None:
        """Remove a run and release its slot."""
        run = self.runs.pop(request_id, None)
        if run is not None:
            self.end_prefill(run)
        for waiting_id, victim in tuple(self.victims.items()):
            if victim == request_id:
                self.victims.pop(waiting_id)
        self._release_slot(request_id, run)
        return run

    def runs_below(self, tier: int) -> list[Run]:
        """Return the runs of lower tiers."""
        return [run for run in self.runs.values() if run.ask.tier > tier]

    def has_run_below(self, tier: int) -> bool:
        """Tell whether a run of a lower tier is in progress."""
        return any(run.ask.tier > tier for run in self.runs.values())

    def _release_slot(self, request_id: str, run: Run | None) -> None:
        if run is None or run.ask.suspect:
            # A runner other than the one it ran on may be reserved for a
            # suspect.
            for runner in self.pool:
                runner.release_slot(request_id)
            return
        ran_on = self.pool.get(run.runner)
        if ran_on is not None:
            ran_on.release_slot(request_id)
