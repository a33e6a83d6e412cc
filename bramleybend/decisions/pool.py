"""The runners of a shard, and which of them a request is sent to.

Load pattern: unlike runners with warm and cold caches.
Without it: see `speeds` and `cache_view`; here the two are weighed in one
unit, seconds.
"""

from collections.abc import Iterable, Iterator, Sequence
from math import inf

from bramleybend.decisions.actions import RunnerInfo
from bramleybend.decisions.cache_view import CacheView
from bramleybend.decisions.limits import ConcurrencyLimit
from bramleybend.decisions.pacing import RAMP_S, Ramp
from bramleybend.decisions.queueing import LeastTime
from bramleybend.decisions.runs import Run, Runner
from bramleybend.decisions.speeds import FIRST_PACE, Pace, Speed
from bramleybend.decisions.switches import Switches
from bramleybend.models import Ask


class RunnerPool:
    """The runners as now known."""

    def __init__(self, slots: int, switches: Switches) -> None:
        """Start without runners."""
        self._slots = slots
        self._switches = switches
        self._runners: dict[str, Runner] = {}

    def __iter__(self) -> Iterator[Runner]:
        """Go over the runners."""
        return iter(self._runners.values())

    def __len__(self) -> int:
        """Count the runners that get new work."""
        return sum(not runner.leaving for runner in self._runners.values())

    def get(self, name: str) -> Runner | None:
        """Return a runner, if it is known."""
        return self._runners.get(name)

    def update(
        self,
        infos: Sequence[RunnerInfo],
        runs: Iterable[Run],
        now: float,
    ) -> None:
        """Take in the list: drop what is gone, add what is new."""
        known = {info.name: info for info in infos}
        for gone in self._runners.keys() - known.keys():
            self._runners.pop(gone)
        for name, info in known.items():
            runner = self._runners.get(name) or self._add(info, now)
            runner.leaving = info.leaving
        for run in runs:
            self._count(run)

    def free(self, now: float) -> list[Runner]:
        """Return the runners that may start something now."""
        return [
            runner for runner in self._runners.values() if runner.room(now) > 0
        ]

    def has_room(self, now: float) -> bool:
        """Tell whether anything may start now."""
        return any(runner.room(now) > 0 for runner in self._runners.values())

    def limit(self) -> int:
        """Sum the limits of runners that get new work."""
        return sum(
            runner.capacity()
            for runner in self._runners.values()
            if not runner.leaving
        )

    def pace_of(self, runner: Runner, mean: Pace) -> Pace:
        """Return the learned pace, else the mean of the peers."""
        pace = runner.speed.pace if self._switches.speeds else None
        return pace or mean

    def least_time(self, ask: Ask) -> LeastTime:
        """Estimate how long a request takes on the best idle runner."""
        if not self._switches.expiry:
            return LeastTime(0, 0)
        decode = max(ask.cost - ask.prompt_tokens, 1)
        mean = self.mean_pace()
        begin = inf
        end = inf
        for runner in self._runners.values():
            pace = self.pace_of(runner, mean)
            filled = _prefill(ask, runner) / pace.prefill
            begin = min(begin, filled)
            end = min(end, filled + decode / pace.decode)
        return LeastTime(begin, end) if self._runners else LeastTime(0, 0)

    def mean_pace(self) -> Pace:
        """Return the peers' mean, or a guess before any run has ended."""
        paces = [
            runner.speed.pace
            for runner in self._runners.values()
            if runner.speed.pace is not None
        ]
        if not paces:
            return FIRST_PACE
        return Pace(
            sum(pace.prefill for pace in paces) / len(paces),
            sum(pace.decode for pace in paces) / len(paces),
        )

    def _count(self, run: Run) -> None:
        runner = self._runners.get(run.runner)
        if runner is not None:
            runner.in_flight.add(run.ask.request_id)
            if run.first_token_at is not None:
                runner.streams.add(run.ask.request_id)
            if run.ask.suspect:
                runner.alone = run.ask.request_id

    def _add(self, info: RunnerInfo, now: float) -> Runner:
        slots = info.slots or self._slots
        begun = now - RAMP_S if info.warm else now
        runner = Runner(
            info.name,
            ConcurrencyLimit(slots, learn=self._switches.limits),
            Ramp(begun, switched_on=self._switches.pacing),
            Speed(),
            CacheView(),
        )
        self._runners[info.name] = runner
        return runner


def _prefill(ask: Ask, runner: Runner) -> int:
    if not ask.prefixes:
        return max(ask.prompt_tokens, 0)
    cached = runner.cache.cached_tokens(ask.prefixes, ask.prompt_tokens)
    return max(ask.prompt_tokens - cached, 0)
