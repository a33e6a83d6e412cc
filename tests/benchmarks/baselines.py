"""Our own baselines: what a team would otherwise run.

Each entry VM sends straight to an engine, which queues in order of arrival;
a caller that gives up has its run cancelled.
"""

from collections import Counter
from collections.abc import Sequence
from random import Random
from typing import Protocol

from bramleybend.models import Repeat
from tests.benchmarks.fleet import Fleet, Try
from tests.benchmarks.measures import Scores
from tests.benchmarks.patterns import ENTRY_VMS
from tests.utils.queueing_fake import EngineRun, FakeEngine

REPORT_S = 2.0
TRIES = 3


class Rule(Protocol):
    """How a baseline's entry VM picks an engine."""

    def pick(self, entry: int, able: Sequence[FakeEngine]) -> FakeEngine:
        """Choose one of the engines."""


class RoundRobin:
    """Each entry VM goes round."""

    def __init__(self) -> None:
        self._next: Counter[int] = Counter()

    def pick(self, entry: int, able: Sequence[FakeEngine]) -> FakeEngine:
        self._next[entry] += 1
        return able[(self._next[entry] + entry * 8) % len(able)]


class LeastOutstanding:
    """Each entry VM picks the engine with the least of its own requests."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self.counts: list[Counter[str]] = [Counter() for _ in range(ENTRY_VMS)]

    def pick(self, entry: int, able: Sequence[FakeEngine]) -> FakeEngine:
        counts = self.counts[entry]
        return min(
            able,
            key=lambda engine: (counts[engine.name], self._rng.random()),
        )


class RandomOfTwo:
    """The less loaded of two by reports that are up to two seconds old."""

    def __init__(self, rng: Random, fleet: Fleet) -> None:
        self._rng = rng
        self._fleet = fleet
        self._reports: dict[str, int] = {}
        self._report()

    def pick(self, entry: int, able: Sequence[FakeEngine]) -> FakeEngine:
        pair = self._rng.sample(list(able), min(2, len(able)))
        return min(pair, key=lambda engine: self._reports[engine.name])

    def _report(self) -> None:
        for engine in self._fleet.engines:
            self._reports[engine.name] = engine.outstanding()
        self._fleet.time.after(REPORT_S, self._report)


class Baseline:
    """Sends each request straight to an engine, which queues it."""

    def __init__(self, rule: Rule, fleet: Fleet, scores: Scores) -> None:
        self._rule = rule
        self._fleet = fleet
        self._scores = scores
        self._counts = getattr(rule, 'counts', None)

    def submit(self, attempt: Try) -> None:
        for _ in range(TRIES):
            able = [
                engine
                for engine in self._fleet.engines
                if engine.name not in attempt.tried
            ]
            engine = self._rule.pick(attempt.job.entry, able)
            attempt.tried.add(engine.name)
            if self._send(attempt, engine):
                return
        self._scores.refuse(attempt.job, self._fleet.time.now)
        attempt.over = True

    def give_up(self, attempt: Try) -> None:
        if attempt.run and attempt.job.repeat is not Repeat.NON_IDEMPOTENT:
            self._fleet.by_name[attempt.engine].cancel(attempt.run)
            self._over(attempt, useful=False)

    def _send(self, attempt: Try, engine: FakeEngine) -> bool:
        run = EngineRun(
            attempt.job,
            lambda _: None,
            lambda whole: self._end(attempt, whole),
        )
        if not engine.send(run):
            return False
        attempt.run, attempt.engine = run, engine.name
        self._count(attempt, 1)
        return True

    def _end(self, attempt: Try, whole: bool) -> None:
        useful = whole and not attempt.over
        self._over(attempt, useful)
        if useful:
            self._scores.answer(attempt.job)
        elif attempt.job.repeat is Repeat.IDEMPOTENT and not attempt.over:
            if not attempt.retried:
                attempt.retried = True
                self.submit(attempt)
                return
        attempt.over = True

    def _over(self, attempt: Try, useful: bool) -> None:
        if attempt.run is not None:
            self._scores.run_over(attempt.run, useful)
            self._count(attempt, -1)
            attempt.run = None

    def _count(self, attempt: Try, change: int) -> None:
        if self._counts is not None:
            self._counts[attempt.job.entry][attempt.engine] += change
