"""Baseline schedulers: common alternatives to Bramleybend.

Each entry VM sends requests directly to an engine, which queues them in order
of arrival. When a caller gives up, its run is cancelled unless it is
non-idempotent.
"""

from collections import Counter
from collections.abc import Sequence
from random import Random
from typing import Protocol

from bramleybend.models import Repeat
from tests.benchmarks.fleet import Fleet, RequestState
from tests.benchmarks.measures import Scores
from tests.benchmarks.patterns import ENTRY_VMS
from tests.utils.queueing_fake import EngineRun, FakeEngine

REPORT_PERIOD_S = 2.0
MAX_TRIES = 3


class PlacementRule(Protocol):
    """Selects the engine to which an entry VM sends a request."""

    def choose(
        self, entry: int, candidates: Sequence[FakeEngine]
    ) -> FakeEngine:
        """Return one of the candidate engines."""


class RoundRobin:
    """Each entry VM cycles through the engines from its own offset."""

    def __init__(self) -> None:
        self._next_indexes: Counter[int] = Counter()

    def choose(
        self, entry: int, candidates: Sequence[FakeEngine]
    ) -> FakeEngine:
        self._next_indexes[entry] += 1
        return candidates[
            (self._next_indexes[entry] + entry * 8) % len(candidates)
        ]


class LeastOutstanding:
    """Each entry VM chooses the engine with the fewest of its requests."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self.outstanding_counts: list[Counter[str]] = [
            Counter() for _ in range(ENTRY_VMS)
        ]

    def choose(
        self, entry: int, candidates: Sequence[FakeEngine]
    ) -> FakeEngine:
        outstanding_counts = self.outstanding_counts[entry]
        return min(
            candidates,
            key=lambda engine: (
                outstanding_counts[engine.name],
                self._rng.random(),
            ),
        )


class RandomOfTwo:
    """Chooses the less loaded of two; load reports are up to 2 s old."""

    def __init__(self, rng: Random, fleet: Fleet) -> None:
        self._rng = rng
        self._fleet = fleet
        self._reported_loads: dict[str, int] = {}
        self._refresh_reports()

    def choose(
        self, entry: int, candidates: Sequence[FakeEngine]
    ) -> FakeEngine:
        pair = self._rng.sample(list(candidates), min(2, len(candidates)))
        return min(pair, key=lambda engine: self._reported_loads[engine.name])

    def _refresh_reports(self) -> None:
        for engine in self._fleet.engines:
            self._reported_loads[engine.name] = engine.outstanding()
        self._fleet.time.after(REPORT_PERIOD_S, self._refresh_reports)


class Baseline:
    """Sends each request directly to an engine, which queues it."""

    def __init__(
        self, placement_rule: PlacementRule, fleet: Fleet, scores: Scores
    ) -> None:
        self._placement_rule = placement_rule
        self._fleet = fleet
        self._scores = scores
        self._outstanding_counts = getattr(
            placement_rule, 'outstanding_counts', None
        )

    def submit(self, request: RequestState) -> None:
        for _ in range(MAX_TRIES):
            candidates = [
                engine
                for engine in self._fleet.engines
                if engine.name not in request.tried_engines
            ]
            engine = self._placement_rule.choose(request.job.entry, candidates)
            request.tried_engines.add(engine.name)
            if self._send(request, engine):
                return
        self._scores.record_refused(request.job, self._fleet.time.now)
        request.is_finished = True

    def on_caller_gone(self, request: RequestState) -> None:
        if request.run and request.job.repeat is not Repeat.NON_IDEMPOTENT:
            self._fleet.engines_by_name[request.engine_name].cancel(request.run)
            self._finish_run(request, is_useful=False)

    def _send(self, request: RequestState, engine: FakeEngine) -> bool:
        run = EngineRun(
            request.job,
            lambda _: None,
            lambda is_complete: self._on_run_end(request, is_complete),
        )
        if not engine.send(run):
            return False
        request.run, request.engine_name = run, engine.name
        self._change_count(request, 1)
        return True

    def _on_run_end(self, request: RequestState, is_complete: bool) -> None:
        is_useful = is_complete and not request.is_finished
        self._finish_run(request, is_useful)
        if is_useful:
            self._scores.record_answered(request.job)
        elif (
            request.job.repeat is Repeat.IDEMPOTENT and not request.is_finished
        ):
            if not request.is_retried:
                request.is_retried = True
                self.submit(request)
                return
        request.is_finished = True

    def _finish_run(self, request: RequestState, is_useful: bool) -> None:
        if request.run is not None:
            self._scores.record_run_end(request.run, is_useful)
            self._change_count(request, -1)
            request.run = None

    def _change_count(self, request: RequestState, change: int) -> None:
        if self._outstanding_counts is not None:
            self._outstanding_counts[request.job.entry][
                request.engine_name
            ] += change
