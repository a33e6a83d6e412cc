"""The runners of a shard, and which of them a request is sent to.

Load pattern: unlike runners with warm and cold caches.
Without it: see `speeds` and `cache_view`; here the two are weighed in one
unit, seconds.
"""

from collections.abc import Iterable, Iterator, Sequence

from bramleybend.decisions.actions import RunnerInfo
from bramleybend.decisions.cache_view import CacheView
from bramleybend.decisions.limits import ConcurrencyLimit
from bramleybend.decisions.pacing import Ramp
from bramleybend.decisions.runs import Run, Runner
from bramleybend.decisions.speeds import Speed
from bramleybend.decisions.switches import Switches
from bramleybend.models import Ask

FIRST_SPEED = 2000.0  # work units a second, before any run has ended


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
            runner = self._runners.get(name) or self._add(name, now)
            runner.leaving = info.leaving
        for run in runs:
            self._count(run)

    def free(self, now: float) -> list[Runner]:
        """Return the runners that may start something now."""
        return [
            runner for runner in self._runners.values() if runner.room(now) > 0
        ]

    def limit(self) -> int:
        """Sum the limits of runners that get new work."""
        return sum(
            runner.limit.value
            for runner in self._runners.values()
            if not runner.leaving
        )

    def speed_of(self, runner: Runner) -> float:
        """Return the learned speed, else the mean of the peers."""
        if runner.speed.value is not None:
            return runner.speed.value
        speeds = [
            peer.speed.value
            for peer in self._runners.values()
            if peer.speed.value is not None
        ]
        return sum(speeds) / len(speeds) if speeds else FIRST_SPEED

    def best_speed(self) -> float:
        """Return the speed of the fastest runner."""
        speeds = [self.speed_of(runner) for runner in self._runners.values()]
        return max(speeds, default=FIRST_SPEED)

    def seconds_on(self, ask: Ask, runner: Runner) -> float:
        """Estimate how long a request runs there, cached prefixes left out."""
        cached = runner.cache.cached_tokens(ask.prefixes, ask.prompt_tokens)
        return max(ask.cost - cached, 1) / self.speed_of(runner)

    def _count(self, run: Run) -> None:
        runner = self._runners.get(run.runner)
        if runner is not None:
            runner.in_flight.add(run.ask.request_id)

    def _add(self, name: str, now: float) -> Runner:
        runner = Runner(
            name,
            ConcurrencyLimit(self._slots, learn=self._switches.limits),
            Ramp(now, switched_on=self._switches.pacing),
            Speed(),
            CacheView(),
        )
        self._runners[name] = runner
        return runner
