"""What the end of a run teaches about its runner, workspace and shard."""

from math import isfinite

from bramleybend.decisions.actions import RunReport
from bramleybend.decisions.runs import Run, Runner, work_of
from bramleybend.decisions.shard import Shard

SMOOTHING = 0.15
DONE = 'done'
FAILED = 'failed'
ENDS_OF_RUNS = frozenset((DONE, FAILED))


def learn(shard: Shard, run: Run, report: RunReport, now: float) -> None:
    """Take in a report; figures that can't be true teach nothing."""
    if report.outcome == DONE:
        _learn_work(shard, run, report, now)
    runner = shard.pool.get(run.runner)
    if runner is None:
        return
    if report.outcome == DONE and report.prompt_tokens > 0:
        expected = run.ask.prompt_tokens - run.prefill_tokens
        runner.cache.found(run.ask.prefixes, expected, report.cached_tokens)
    if report.outcome in ENDS_OF_RUNS:
        runner.failing.note(now, failed=report.outcome == FAILED)
    if report.refused:
        runner.limit.refused()
    if report.crashed:
        runner.ramp.crashed(run.started, now)
        runner.cache.clear()


def learn_first_token(
    shard: Shard,
    run: Run,
    prefill_tokens: int,
    now: float,
) -> None:
    """Take in a finished prefill; a second report of it changes nothing."""
    if run.first_token_at is not None:
        return
    run.first_token_at = now
    run.prefill_tokens = prefill_tokens
    runner = shard.pool.get(run.runner)
    if runner is not None:
        # The prompts filled at once share the runner, so it is as much faster.
        filling = len(runner.in_flight) - len(runner.streams)
        shared = (run.filling + max(filling, 1)) / 2
        shard.prefill_over(run)
        runner.streams.add(run.ask.request_id)
        runner.speed.prefilled(prefill_tokens * shared, now - run.started)
        runner.limit.streaming(len(runner.streams), len(runner.in_flight))


def _learn_work(shard: Shard, run: Run, report: RunReport, now: float) -> None:
    work = work_of(
        report.prompt_tokens,
        report.cached_tokens,
        report.completion_tokens,
    )
    served = max(work, 1) - run.ask.cost
    shard.queue.charge(run.ask, served)
    shard.drain.finished(run.ask.cost, now - run.started, now)
    runner = shard.pool.get(run.runner)
    # A report from the future would make the runner look slow for long.
    if runner is not None and _plausible(report.seconds, now - run.started):
        _learn_pace(runner, run, report, work)
        runner.limit.completed(len(runner.in_flight))
        passed = report.seconds - runner.mean_seconds
        runner.mean_seconds += passed * SMOOTHING


def _learn_pace(
    runner: Runner,
    run: Run,
    report: RunReport,
    work: float,
) -> None:
    if run.first_token_at is None:
        runner.speed.ended(work, report.seconds)
        return
    filling = run.first_token_at - run.started
    decode = work_of(0, 0, report.completion_tokens)
    runner.speed.decoded(decode, report.seconds - filling)


def _plausible(seconds: float, passed: float) -> bool:
    return isfinite(seconds) and 0 < seconds <= passed + 1
