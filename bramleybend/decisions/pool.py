"""The runners of a shard and their limits and paces.

Load pattern: different runners with warm and cold caches.
Without it: see `runner_pace` and `cache_view`; here both are combined in one
unit, seconds.
"""

from collections.abc import Iterable, Iterator, Sequence
from math import inf

from bramleybend.decisions.actions import RunnerInfo
from bramleybend.decisions.cache_view import CacheView
from bramleybend.decisions.concurrency_limit import ConcurrencyLimit
from bramleybend.decisions.runner_pace import DEFAULT_PACE, Pace, PaceEstimator
from bramleybend.decisions.runs import Run, Runner
from bramleybend.decisions.slow_start import RAMP_S, Ramp
from bramleybend.decisions.switches import PolicySwitches
from bramleybend.decisions.waiting_queue import MinRunTime
from bramleybend.models import SlotRequest


class RunnerPool:
    """The runners of the current list."""

    def __init__(self, slots: int, switches: PolicySwitches) -> None:
        """Start without runners."""
        self._slots = slots
        self._switches = switches
        self._runners: dict[str, Runner] = {}

    def __iter__(self) -> Iterator[Runner]:
        """Iterate over the runners."""
        return iter(self._runners.values())

    def __len__(self) -> int:
        """Return the number of runners that get new work."""
        return sum(not runner.leaving for runner in self._runners.values())

    def get(self, name: str) -> Runner | None:
        """Return a runner by name, or None if it is unknown."""
        return self._runners.get(name)

    def update(
        self,
        infos: Sequence[RunnerInfo],
        runs: Iterable[Run],
        now: float,
    ) -> None:
        """Apply a list of runners: remove missing ones, add new ones."""
        infos_by_name = {info.name: info for info in infos}
        for gone in self._runners.keys() - infos_by_name.keys():
            self._runners.pop(gone)
        for name, info in infos_by_name.items():
            runner = self._runners.get(name) or self._add_runner(info, now)
            runner.leaving = info.leaving
        for run in runs:
            self._register_run(run)

    def free_runners(self, now: float) -> list[Runner]:
        """Return the runners that may start a request now."""
        return [
            runner
            for runner in self._runners.values()
            if runner.free_slots(now) > 0
        ]

    def has_room(self, now: float) -> bool:
        """Tell whether a runner may start a request now."""
        return any(
            runner.free_slots(now) > 0 for runner in self._runners.values()
        )

    def total_capacity(self) -> int:
        """Return the sum of the limits of runners that get new work."""
        return sum(
            runner.max_concurrency()
            for runner in self._runners.values()
            if not runner.leaving
        )

    def pace_of(self, runner: Runner, mean: Pace) -> Pace:
        """Return the measured pace of a runner, else the mean of its peers."""
        pace = runner.pace_estimator.pace if self._switches.speeds else None
        return pace or mean

    def min_run_time(self, ask: SlotRequest) -> MinRunTime:
        """Estimate the run time of a request on the best idle runner."""
        if not self._switches.expiry:
            return MinRunTime(0, 0)
        decode = max(ask.cost - ask.prompt_tokens, 1)
        mean = self.mean_pace()
        first_token_s = inf
        total_s = inf
        for runner in self._runners.values():
            pace = self.pace_of(runner, mean)
            prefill_s = _prefill_tokens(ask, runner) / pace.prefill_per_s
            first_token_s = min(first_token_s, prefill_s)
            total_s = min(total_s, prefill_s + decode / pace.decode_per_s)
        return (
            MinRunTime(first_token_s, total_s)
            if self._runners
            else MinRunTime(0, 0)
        )

    def mean_pace(self) -> Pace:
        """Return the mean of the measured paces, else the default pace."""
        paces = [
            runner.pace_estimator.pace
            for runner in self._runners.values()
            if runner.pace_estimator.pace is not None
        ]
        if not paces:
            return DEFAULT_PACE
        return Pace(
            sum(pace.prefill_per_s for pace in paces) / len(paces),
            sum(pace.decode_per_s for pace in paces) / len(paces),
        )

    def _register_run(self, run: Run) -> None:
        runner = self._runners.get(run.runner)
        if runner is not None:
            runner.in_flight.add(run.ask.request_id)
            if run.first_token_at is not None:
                runner.streaming.add(run.ask.request_id)
            if run.ask.suspect:
                runner.reserved_for = run.ask.request_id

    def _add_runner(self, info: RunnerInfo, now: float) -> Runner:
        slots = info.slots or self._slots
        ramp_start = now - RAMP_S if info.warm else now
        runner = Runner(
            info.name,
            ConcurrencyLimit(slots, learn=self._switches.limits),
            Ramp(ramp_start, is_enabled=self._switches.pacing),
            PaceEstimator(),
            CacheView(),
        )
        self._runners[info.name] = runner
        return runner


def _prefill_tokens(ask: SlotRequest, runner: Runner) -> int:
    if not ask.prefixes:
        return max(ask.prompt_tokens, 0)
    cached = runner.cache.cached_tokens(ask.prefixes, ask.prompt_tokens)
    return max(ask.prompt_tokens - cached, 0)
