"""Updates of runner, workspace and shard estimates from runs."""

from math import isfinite

from bramleybend.decisions.actions import RunReport
from bramleybend.decisions.runs import Run, Runner, run_work
from bramleybend.decisions.shard import Shard

SMOOTHING = 0.15
DONE = 'done'
FAILED = 'failed'
RUN_OUTCOMES = frozenset((DONE, FAILED))


def apply_report(shard: Shard, run: Run, report: RunReport, now: float) -> None:
    """Apply the report of a run's end; implausible values are ignored."""
    if report.outcome == DONE:
        _record_work(shard, run, report, now)
    runner = shard.pool.get(run.runner)
    if runner is None:
        return
    if report.outcome == DONE and report.prompt_tokens > 0:
        expected = run.ask.prompt_tokens - run.prefill_tokens
        runner.cache.reconcile(run.ask.prefixes, expected, report.cached_tokens)
    if report.outcome in RUN_OUTCOMES:
        runner.failures.record(now, failed=report.outcome == FAILED)
    if report.refused:
        runner.limit.record_refusal()
    if report.crashed:
        runner.ramp.record_crash(run.started_at, now)
        runner.cache.clear()


def apply_first_token(
    shard: Shard,
    run: Run,
    prefill_tokens: int,
    now: float,
) -> None:
    """Apply the end of a prefill; a second report of it changes nothing."""
    if run.first_token_at is not None:
        return
    run.first_token_at = now
    run.prefill_tokens = prefill_tokens
    runner = shard.pool.get(run.runner)
    if runner is not None:
        # Concurrent prefills share the runner, so its pace is the pace of one
        # prefill times their number.
        prefills_now = len(runner.in_flight) - len(runner.streaming)
        concurrent_prefills = (run.prefills_at_start + max(prefills_now, 1)) / 2
        shard.end_prefill(run)
        runner.streaming.add(run.ask.request_id)
        runner.pace_estimator.record_prefill(
            prefill_tokens * concurrent_prefills, now - run.started_at
        )
        runner.limit.record_streams(
            len(runner.streaming), len(runner.in_flight)
        )


def _record_work(shard: Shard, run: Run, report: RunReport, now: float) -> None:
    work = run_work(
        report.prompt_tokens,
        report.cached_tokens,
        report.completion_tokens,
    )
    served = max(work, 1) - run.ask.cost
    shard.queue.charge(run.ask, served)
    shard.drain_rate.record_run(run.ask.cost, now - run.started_at, now)
    runner = shard.pool.get(run.runner)
    # A report that claims more time than has passed would make the runner look
    # slow for long.
    if runner is not None and _is_plausible(
        report.seconds, now - run.started_at
    ):
        _record_pace(runner, run, report, work)
        runner.limit.record_completion(len(runner.in_flight))
        error_s = report.seconds - runner.mean_run_s
        runner.mean_run_s += error_s * SMOOTHING


def _record_pace(
    runner: Runner,
    run: Run,
    report: RunReport,
    work: float,
) -> None:
    if run.first_token_at is None:
        runner.pace_estimator.record_run(work, report.seconds)
        return
    prefill_s = run.first_token_at - run.started_at
    decode_work = run_work(0, 0, report.completion_tokens)
    runner.pace_estimator.record_decode(decode_work, report.seconds - prefill_s)


def _is_plausible(seconds: float, elapsed_s: float) -> bool:
    return isfinite(seconds) and 0 < seconds <= elapsed_s + 1
