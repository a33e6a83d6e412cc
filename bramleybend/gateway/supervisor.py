"""Watches over one attempt: preemption, lost callers, the deadline."""

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
# A caller leaves at its deadline; a stop that takes longer is told to nobody.
MIN_CANCEL_WAIT_S: Final = 0.3
# For a run that goes on after its request's deadline, to see how it ends.
AFTER_DEADLINE_WAIT_S: Final = 5.0
COMPLETE_ENDS: Final = frozenset((EndKind.WHOLE, EndKind.OVERTAKEN))


class Supervisor:
    """Carries attempts to their end, and stops them where that is allowed."""

    def __init__(self, deps: DispatchDeps) -> None:
        """Supervise nothing yet."""
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
            # At once: what is told of as not sent must not be sent later.
            attempt_task.cancel()
        self._deps.record_event(
            job,
            'attempt_ended',
            runner=slot.runner,
            end=end.kind,
            crashed=end.crashed,
        )
        self._count_prefill(job, end, ask.prompt_tokens)
        # The caller's answer does not wait for the owner's last word.
        self.run_in_background(
            self._release_slot(job, slot, attempt_task, end, started)
        )
        return end

    def run_in_background(self, work: Coroutine[Any, Any, Any]) -> None:
        """Finish something that nobody waits for."""
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _cancel_and_release(self, slot: Slot, attempt: Attempt) -> None:
        """Give up a try that another one has overtaken."""
        await attempt.stop()
        await slot.release(Ended(outcome=EndKind.STOPPED))

    async def _release_slot(
        self,
        job: Job,
        slot: Slot,
        attempt_task: asyncio.Task[AttemptEnd],
        end: AttemptEnd,
        started: float,
    ) -> None:
        """Tell the owner how the run ended, once that is known.

        A run that could not be stopped at its request's deadline still holds
        its runner, and may crash it; unreported, its content would go on
        crashing runners.
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
            # What may not be stopped, or can't be reached to be stopped,
            # goes on to its end.
            await self._wait_for_first(job, attempt_task)
            return _current_end(attempt, attempt_task)
        finally:
            for task in stop_signals:
                task.cancel()

    async def _wait_for_first(
        self, job: Job, *tasks: asyncio.Task[Any]
    ) -> None:
        """Wait for the first of the tasks, at most to the deadline."""
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
        """Stop the run where that is allowed; true once it is certain."""
        if attempt_task.done() or not attempt.was_sent:
            return False
        if not job.profile.cancellable or not await self._cancel_run(
            job, attempt
        ):
            return False
        # A run that ended as it was being cancelled has its last events on
        # the way; thrown away, a whole answer would count as cancelled.
        await asyncio.wait((attempt_task,), timeout=LAST_EVENTS_WAIT_S)
        return not (
            attempt_task.done() and attempt_task.result().kind is EndKind.WHOLE
        )

    async def _cancel_run(self, job: Job, attempt: Attempt) -> bool:
        """Whether the run is over for certain while its caller listens.

        A stop that is not confirmed by then goes on in the background.
        """
        cancelling = asyncio.create_task(attempt.stop())
        self._background_tasks.add(cancelling)
        cancelling.add_done_callback(self._background_tasks.discard)
        wait_s = max(self._deps.remaining_s(job), MIN_CANCEL_WAIT_S)
        await asyncio.wait((cancelling,), timeout=wait_s)
        return cancelling.done() and cancelling.result()

    def _count_prefill(self, job: Job, end: AttemptEnd, estimate: int) -> None:
        """Count prompt tokens by whether their answer reached somebody."""
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
    """Return the id the runner sees.

    Work that may run once keeps one id over all tries, so an engine that
    did admit a try that looked unsent refuses the next.
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
