"""What each runner would cost a request, for one round of dispatch.

Load pattern: long prompts on runners that also serve short ones.
Without it: several long prompts are filled on one engine at once. None ends
sooner for that, as one prompt keeps the engine busy; all of them end late,
and no slot is left to order by tier.

A runner takes a prompt while what it still has to fill lasts less than
`FILL_S`, or if the prompt is so short (`SHORT_TOKENS`) that it hardly delays
the others.
"""

from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass
from math import inf
from typing import Final

from bramleybend.decisions.failure_share import FAILURE_COST_S
from bramleybend.decisions.runner_pace import Pace
from bramleybend.decisions.runs import Runner
from bramleybend.decisions.shard import Shard
from bramleybend.models import Ask

MAX_BACKLOG_S = 0.5
SHORT_PREFILL_TOKENS = 512

PREFILL_IMPACT = (
    4.0  # seconds the others lose by a second of prefill at mean pace
)


@dataclass(frozen=True, slots=True)
class TimeLeft:
    """Seconds that remain for a request's answer."""

    first_token_s: float  # until its first token
    total_s: float  # until its last

    def covers(self, prefill_s: float, run_s: float) -> bool:
        """Tell whether a run that takes so long stays within it."""
        return prefill_s < self.first_token_s and run_s < self.total_s


UNLIMITED: Final = TimeLeft(inf, inf)


# Not frozen, with slots: one is made for each runner and start, and a frozen
# one takes longer to make.
@dataclass(slots=True)
class RunnerSnapshot:
    """A runner as it stands now."""

    runner: Runner
    pace: Pace
    mean_pace: Pace  # over the shard's runners
    is_free: bool
    wait_s: float  # for a slot, seconds
    backlog_s: float  # seconds until its prompts are filled
    max_backlog_s: float  # the most of these with which it takes a long prompt
    failure_share: float  # share of its runs that failed lately
    cached_tokens: Callable[[Sequence[str], int], int]  # its cache's estimate

    def prefill_tokens(self, ask: Ask) -> int:
        """Estimate the prompt tokens that are not cached here."""
        prompt = ask.prompt_tokens
        if not ask.prefixes:
            return prompt
        cached = self.cached_tokens(ask.prefixes, prompt)
        return prompt - cached if prompt > cached else 0

    def estimate_run_s(self, ask: Ask) -> float:
        """Estimate how long a request runs here."""
        return self._estimate_s(self.prefill_tokens(ask), decode_work(ask))

    def can_start(self, ask: Ask) -> bool:
        """Tell whether a request may be started here."""
        return self._accepts_prefill(self.prefill_tokens(ask))

    def can_start_in_time(
        self, prefill: int, seconds: float, left: 'TimeLeft'
    ) -> bool:
        """Tell whether a run of so many seconds may be started here.

        It would have to begin to answer and to end in time. An idle runner
        always gets a try: were it believed too slow for ever, nothing would
        run there that could prove otherwise.
        """
        if not self.is_free or not self._accepts_prefill(prefill):
            return False
        prefill_s = self._estimate_s(prefill, 0)
        return left.covers(prefill_s, seconds) or not self.runner.in_flight

    def max_prefill_tokens(self) -> float:
        """Return the longest prefill that may be started here."""
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
    """Where a request would run best now, beside waiting for another place."""

    runner: Runner | None  # none may take it
    cost: float  # there, seconds
    min_cost: float  # of all places, the wait for each included
    prefill: int = 0  # tokens to fill there
    min_cost_prefill: int = 0  # tokens to fill where it costs least


def find_placement(
    snapshots: Sequence[RunnerSnapshot], ask: Ask, left: TimeLeft
) -> Placement:
    """Weigh the places for one request with so much time left.

    A place that would lose with the whole prompt cached is not looked into.
    The sums stand in the loops and not in a method of `Place`: they are done
    for each entry that is weighed and each runner, most of what an owner's
    decisions cost.
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
    ask: Ask,
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
    ask: Ask,
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


def time_left(ask: Ask, now: float) -> TimeLeft:
    """Return the time that remains for a request's answer."""
    return TimeLeft(ask.begin_by - now, ask.deadline - now)


def decode_work(ask: Ask) -> float:
    """Return the work of a request beyond its prompt, at least one."""
    return max(ask.cost - ask.prompt_tokens, 1)


def snapshot_runners(
    shard: Shard, now: float, names: Container[str] | None = None
) -> list[RunnerSnapshot]:
    """Look at the runners, or at those with these names, that get new work."""
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
