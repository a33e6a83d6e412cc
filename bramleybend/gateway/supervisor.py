"""Runs an attempt; cancels it on preemption, a lost caller or the deadline."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from bramleybend.answers import Outcome
from bramleybend.gateway.attempt import Attempt, AttemptEnd, EndKind
from bramleybend.gateway.job import DispatchDeps, Job
from bramleybend.gateway.slot import Slot
from bramleybend.metrics import Metric
from bramleybend.models import Repeat
from bramleybend.wire.bramleybend_pb2 import Ended

LAST_EVENTS_WAIT_S: Final = 0.2
# Minimum wait for a cancellation, also if it starts at the deadline. Kept
# short, as the caller leaves at its deadline and would miss a later answer.
MIN_CANCEL_WAIT_S: Final = 0.3
# Waits this long for the end of a run that continues after its deadline, so
# that the owner learns how it ended.
AFTER_DEADLINE_WAIT_S: Final = 5.0
COMPLETE_ENDS: Final = frozenset((EndKind.WHOLE, EndKind.OVERTAKEN))


class Supervisor:
    """Runs attempts to their end and cancels them where the profile allows."""

    def __init__(self, deps: DispatchDeps) -> None:
        """Start without attempts."""
        self._deps = deps
        self._background_tasks: set[asyncio.Task[Any]] = set()

    async def run_attempt(self, job: Job, slot: Slot, label: str) -> AttemptEnd:
        started = self._deps.clock.monotonic()
        ask = job.make_ask()
        attempt = Attempt(
            job.run,
            slot,
            job.service.kind,
            _make_run_id(job, label),
            ask.prompt_tokens,
        )
        self._deps.record_event(job, 'dispatched', runner=slot.runner)
        attempt_task = asyncio.create_task(attempt.run())
        try:
            end = await self._supervise(job, slot, attempt, attempt_task)
        except asyncio.CancelledError:
            attempt_task.cancel()
            self.run_in_background(self._cancel_and_release(slot, attempt))
            raise
        if end.kind is not EndKind.UNHEARD:
            # An attempt that is reported as not sent must not send later.
            attempt_task.cancel()
        self._deps.record_event(
            job,
            'attempt_ended',
            runner=slot.runner,
            end=end.kind,
            crashed=end.crashed,
        )
        self._count_prefill(job, end, ask.prompt_tokens)
        # The caller's answer doesn't wait until the owner has released the
        # slot.
        self.run_in_background(
            self._release_slot(job, slot, attempt_task, end, started)
        )
        return end

    def run_in_background(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run `work` as a task that nobody awaits; keep a reference to it."""
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _cancel_and_release(self, slot: Slot, attempt: Attempt) -> None:
        """Cancel the run of a cancelled attempt and release its slot."""
        await attempt.cancel()
        await slot.release(Ended(outcome=EndKind.STOPPED))

    async def _release_slot(
        self,
        job: Job,
        slot: Slot,
        attempt_task: asyncio.Task[AttemptEnd],
        end: AttemptEnd,
        started: float,
    ) -> None:
        """Release the slot and report to the owner how the run ended.

        A run that could not be cancelled at its deadline still occupies its
        runner and may crash it. If that crash were not reported, the owner
        would not quarantine the content, which would crash more runners.
        """
        if end.kind is EndKind.UNHEARD and not attempt_task.done():
            done, _ = await asyncio.wait(
                (attempt_task,), timeout=AFTER_DEADLINE_WAIT_S
            )
            if done:
                end = attempt_task.result()
                self._deps.record_event(
                    job,
                    'outlived',
                    runner=slot.runner,
                    end=end.kind,
                    crashed=end.crashed,
                )
        attempt_task.cancel()
        seconds = self._deps.clock.monotonic() - started
        await slot.release(_make_ended_message(end, seconds))

    async def _supervise(
        self,
        job: Job,
        slot: Slot,
        attempt: Attempt,
        attempt_task: asyncio.Task[AttemptEnd],
    ) -> AttemptEnd:
        stop_signals = (
            asyncio.create_task(slot.preempted.wait()),
            asyncio.create_task(job.run.abandoned.wait()),
        )
        try:
            await self._wait_for_first(job, attempt_task, *stop_signals)
            if await self._cancel_if_allowed(job, attempt, attempt_task):
                if slot.preempted.is_set():
                    self._deps.metrics.count(
                        Metric.PREEMPTED,
                        tier=int(job.tier),
                    )
                return AttemptEnd(EndKind.STOPPED)
            # A run that may not be cancelled, or whose cancellation is not
            # confirmed, continues to its end.
            await self._wait_for_first(job, attempt_task)
            return _current_end(attempt, attempt_task)
        finally:
            for task in stop_signals:
                task.cancel()

    async def _wait_for_first(
        self, job: Job, *tasks: asyncio.Task[Any]
    ) -> None:
        """Wait until one task has ended, at most until the job's deadline."""
        await asyncio.wait(
            tasks,
            timeout=self._deps.remaining_s(job),
            return_when=asyncio.FIRST_COMPLETED,
        )

    async def _cancel_if_allowed(
        self,
        job: Job,
        attempt: Attempt,
        attempt_task: asyncio.Task[AttemptEnd],
    ) -> bool:
        """Cancel a sent run if allowed; return whether that is confirmed."""
        if attempt_task.done() or not attempt.was_sent:
            return False
        if not job.profile.cancellable or not await self._cancel_run(
            job, attempt
        ):
            return False
        # A run that ended during its cancellation may still have events in
        # transit. They are awaited, or a complete answer would be reported
        # as cancelled.
        await asyncio.wait((attempt_task,), timeout=LAST_EVENTS_WAIT_S)
        return not (
            attempt_task.done() and attempt_task.result().kind is EndKind.WHOLE
        )

    async def _cancel_run(self, job: Job, attempt: Attempt) -> bool:
        """Return whether the runner confirms the cancellation in time.

        Waits until the deadline, at least `MIN_CANCEL_WAIT_S`. A cancellation
        that takes longer continues in the background.
        """
        cancelling = asyncio.create_task(attempt.cancel())
        self._background_tasks.add(cancelling)
        cancelling.add_done_callback(self._background_tasks.discard)
        wait_s = max(self._deps.remaining_s(job), MIN_CANCEL_WAIT_S)
        await asyncio.wait((cancelling,), timeout=wait_s)
        return cancelling.done() and cancelling.result()

    def _count_prefill(self, job: Job, end: AttemptEnd, estimate: int) -> None:
        """Count prefilled prompt tokens, as wasted without a whole answer."""
        if end.kind is EndKind.NOT_SENT:
            return
        tier = int(job.tier)
        prompt_tokens = end.usage.prompt_tokens or estimate
        prefilled = prompt_tokens - end.usage.cached_tokens
        self._deps.metrics.count(Metric.PREFILL_TOKENS, prefilled, tier=tier)
        if end.kind is EndKind.WHOLE:
            self._deps.metrics.count(
                Metric.GOODPUT_TOKENS,
                end.usage.completion_tokens,
                tier=tier,
            )
            return
        self._deps.metrics.count(
            Metric.WASTED_PREFILL_TOKENS,
            prefilled,
            tier=tier,
        )


def _current_end(
    attempt: Attempt,
    attempt_task: asyncio.Task[AttemptEnd],
) -> AttemptEnd:
    if attempt_task.done():
        return attempt_task.result()
    if attempt.was_sent:
        return AttemptEnd(EndKind.UNHEARD)
    return AttemptEnd(EndKind.NOT_SENT)


def _make_run_id(job: Job, label: str) -> str:
    """Return the run's id at the runner.

    A request that may run only once has the same run id in all attempts: an
    engine that did admit an attempt reported as not sent rejects the next.
    """
    base = job.request_id.replace('/', '_').replace(':', '_')
    if job.profile.repeat is Repeat.IDEMPOTENT:
        return f'{base}_{label}'
    return base


def _make_ended_message(end: AttemptEnd, seconds: float) -> Ended:
    return Ended(
        outcome=Outcome.DONE if end.kind in COMPLETE_ENDS else end.kind,
        runner_crashed=end.crashed,
        refused=end.kind is EndKind.NOT_SENT,
        prompt_tokens=end.usage.prompt_tokens,
        cached_tokens=end.usage.cached_tokens,
        completion_tokens=end.usage.completion_tokens,
        seconds=seconds,
    )
