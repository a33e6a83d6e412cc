"""Estimated cost of a request on each runner, for one dispatch round.

Load pattern: long prompts on runners that also serve short ones.
Without it: several long prompts are prefilled on one engine at once. None ends
sooner for that, since one prompt keeps the engine busy; all of them end late,
and no slot is left to assign by tier.

A runner accepts a prompt while its prefill backlog is shorter than
`MAX_BACKLOG_S`, or if the prompt is so short (`SHORT_PREFILL_TOKENS`) that it
hardly delays the others.
"""

from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass
from math import inf
from typing import Final

from bramleybend.decisions.failure_share import FAILURE_COST_S
from bramleybend.decisions.runner_pace import Pace
from bramleybend.decisions.runs import Runner
from bramleybend.decisions.shard import Shard
from bramleybend.models import SlotRequest

MAX_BACKLOG_S = 0.5
SHORT_PREFILL_TOKENS = 512

# Seconds that other runs lose per second of prefill at the mean pace.
PREFILL_IMPACT = 4.0


@dataclass(frozen=True, slots=True)
class TimeLeft:
    """Seconds that remain for a request's answer."""

    first_token_s: float  # until the first token
    total_s: float  # until the last token

    def covers(self, prefill_s: float, run_s: float) -> bool:
        """Tell whether a run with these durations ends within the time left."""
        return prefill_s < self.first_token_s and run_s < self.total_s


UNLIMITED: Final = TimeLeft(inf, inf)


# Not frozen, and with slots: an object is created for each runner and start,
# and creating a frozen one takes longer.
@dataclass(slots=True)
class RunnerSnapshot:
    """The state of a runner at the time of a decision."""

    runner: Runner
    pace: Pace
    mean_pace: Pace  # mean of the shard's runners
    is_free: bool
    wait_s: float  # until a slot is free
    backlog_s: float  # until its prompts are prefilled
    max_backlog_s: float  # limit of `backlog_s` for accepting a long prompt
    failure_share: float  # of its recent runs
    # Estimates the cached tokens of a prompt; see `CacheView.cached_tokens`.
    cached_tokens: Callable[[Sequence[str], int], int]

    def prefill_tokens(self, ask: SlotRequest) -> int:
        """Estimate the prompt tokens that are not cached on this runner."""
        prompt = ask.prompt_tokens
        if not ask.prefixes:
            return prompt
        cached = self.cached_tokens(ask.prefixes, prompt)
        return prompt - cached if prompt > cached else 0

    def estimate_run_s(self, ask: SlotRequest) -> float:
        """Estimate the seconds that a request runs on this runner."""
        return self._estimate_s(self.prefill_tokens(ask), decode_work(ask))

    def can_start(self, ask: SlotRequest) -> bool:
        """Tell whether a request may start on this runner."""
        return self._accepts_prefill(self.prefill_tokens(ask))

    def can_start_in_time(
        self, prefill: int, seconds: float, left: 'TimeLeft'
    ) -> bool:
        """Tell whether a run of `seconds` may start on this runner.

        Its first token and its end must be expected in time. An idle runner
        always accepts a run: if it were considered too slow permanently, no run
        could show that it has recovered.
        """
        if not self.is_free or not self._accepts_prefill(prefill):
            return False
        prefill_s = self._estimate_s(prefill, 0)
        return left.covers(prefill_s, seconds) or not self.runner.in_flight

    def max_prefill_tokens(self) -> float:
        """Return the longest prefill that may start, -1 without a free slot."""
        if not self.is_free:
            return -1
        return (
            inf if self.backlog_s < self.max_backlog_s else SHORT_PREFILL_TOKENS
        )

    def _estimate_s(self, prefill: int, decode: float) -> float:
        return self.backlog_s + self.pace.seconds(prefill, decode)

    def _accepts_prefill(self, prefill: int) -> bool:
        if not self.is_free or self.backlog_s < self.max_backlog_s:
            return self.is_free
        return prefill <= SHORT_PREFILL_TOKENS


@dataclass(slots=True)
class Placement:
    """The best free runner for a request, compared with waiting for any runner."""

    runner: Runner | None  # None if no runner may start it
    cost: float  # seconds on `runner`
    min_cost: float  # seconds on the best of all runners, including the wait
    prefill: int = 0  # prompt tokens to compute on `runner`
    # Prompt tokens to compute on the best of all runners.
    min_cost_prefill: int = 0


def find_placement(
    snapshots: Sequence[RunnerSnapshot], ask: SlotRequest, left: TimeLeft
) -> Placement:
    """Compare the runners for one request with this time left.

    The cache of a runner that would lose even with the whole prompt cached is
    not looked up. The sums are written out in the loops instead of in a method
    of `RunnerSnapshot`: they are computed for each pair of an evaluated entry
    and a runner, and are most of the cost of an owner's decisions.
    """
    decode = decode_work(ask)
    placement = Placement(None, inf, inf)
    free = [snapshot for snapshot in snapshots if snapshot.is_free]
    _evaluate_free(free, ask, decode, left, placement)
    if len(free) < len(snapshots):
        _evaluate_busy(snapshots, ask, decode, placement)
    return placement


def _evaluate_free(
    snapshots: Sequence[RunnerSnapshot],
    ask: SlotRequest,
    decode: float,
    left: TimeLeft,
    placement: Placement,
) -> None:
    for snapshot in snapshots:
        decode_s = decode / snapshot.pace.decode_per_s
        failure_s = snapshot.failure_share * FAILURE_COST_S
        if snapshot.backlog_s + decode_s + failure_s >= placement.cost:
            continue
        prefill = snapshot.prefill_tokens(ask)
        seconds = snapshot.backlog_s + (
            prefill / snapshot.pace.prefill_per_s + decode_s
        )
        cost = (
            seconds
            + prefill / snapshot.mean_pace.prefill_per_s * PREFILL_IMPACT
            + failure_s
        )
        if cost < placement.min_cost:
            placement.min_cost = cost
            placement.min_cost_prefill = prefill
        if cost < placement.cost and snapshot.can_start_in_time(
            prefill, seconds, left
        ):
            placement.runner = snapshot.runner
            placement.cost = cost
            placement.prefill = prefill


def _evaluate_busy(
    snapshots: Sequence[RunnerSnapshot],
    ask: SlotRequest,
    decode: float,
    placement: Placement,
) -> None:
    for snapshot in snapshots:
        if snapshot.is_free:
            continue
        decode_s = decode / snapshot.pace.decode_per_s
        failure_s = snapshot.failure_share * FAILURE_COST_S
        if (
            snapshot.backlog_s + decode_s + failure_s + snapshot.wait_s
            >= placement.min_cost
        ):
            continue
        prefill = snapshot.prefill_tokens(ask)
        seconds = snapshot.backlog_s + (
            prefill / snapshot.pace.prefill_per_s + decode_s
        )
        impact_s = prefill / snapshot.mean_pace.prefill_per_s * PREFILL_IMPACT
        cost = seconds + impact_s + failure_s + snapshot.wait_s
        if cost < placement.min_cost:
            placement.min_cost = cost
            placement.min_cost_prefill = prefill


def time_left(ask: SlotRequest, now: float) -> TimeLeft:
    """Return the time that remains for a request's answer."""
    return TimeLeft(ask.begin_by - now, ask.deadline - now)


def decode_work(ask: SlotRequest) -> float:
    """Return the work of a request beyond its prompt, at least 1."""
    return max(ask.cost - ask.prompt_tokens, 1)


def snapshot_runners(
    shard: Shard, now: float, names: Container[str] | None = None
) -> list[RunnerSnapshot]:
    """Return snapshots of the runners that get new work, optionally by name."""
    mean_pace = shard.pool.mean_pace()
    max_backlog_s = MAX_BACKLOG_S if shard.switches.filling else inf
    return [
        _snapshot_runner(
            runner,
            shard.pool.pace_of(runner, mean_pace),
            mean_pace,
            max_backlog_s,
            now,
        )
        for runner in shard.pool
        if not runner.leaving and (names is None or runner.name in names)
    ]


def _snapshot_runner(
    runner: Runner,
    pace: Pace,
    mean_pace: Pace,
    max_backlog_s: float,
    now: float,
) -> RunnerSnapshot:
    is_free = runner.free_slots(now) > 0
    wait_s = 0 if is_free else runner.estimate_wait_s(now)
    return RunnerSnapshot(
        runner,
        pace,
        mean_pace,
        is_free,
        wait_s,
        runner.backlog_tokens / pace.prefill_per_s,
        max_backlog_s,
        runner.failures.value(now),
        runner.cache.cached_tokens,
    )
