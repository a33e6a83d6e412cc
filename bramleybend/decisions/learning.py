"""What the end of a run teaches about its runner, workspace and shard."""

from math import isfinite

from bramleybend.decisions.actions import RunReport
from bramleybend.decisions.runs import Run, work_of
from bramleybend.decisions.shard import Shard

DONE = 'done'


def learn(shard: Shard, run: Run, report: RunReport, now: float) -> None:
    """Take in a report; figures that can't be true teach nothing."""
    if report.outcome == DONE:
        _learn_work(shard, run, report, now)
    runner = shard.pool.get(run.runner)
    if runner is None:
        return
    if report.refused:
        runner.limit.refused()
    if report.crashed:
        runner.ramp.crashed(run.started, now)
        runner.cache.clear()


def _learn_work(shard: Shard, run: Run, report: RunReport, now: float) -> None:
    work = work_of(
        report.prompt_tokens,
        report.cached_tokens,
        report.completion_tokens,
    )
    served = max(work, 1) - run.ask.cost
    shard.queue.charge(run.ask, served)
    shard.drain.finished(run.ask.cost, now)
    runner = shard.pool.get(run.runner)
    # A report from the future would make the runner look fast for ever.
    if runner is not None and _plausible(report.seconds, now - run.started):
        in_flight = len(runner.in_flight)
        runner.speed.completed(work, report.seconds)
        runner.limit.completed(work, report.seconds, in_flight)


def _plausible(seconds: float, passed: float) -> bool:
    return isfinite(seconds) and 0 < seconds <= passed + 1
