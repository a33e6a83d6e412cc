"""Watches over one attempt: preemption, lost callers, the deadline."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from bramleybend.answers import Outcome
from bramleybend.gateway.attempt import Attempt, AttemptEnd, End
from bramleybend.gateway.job import Deps, Job
from bramleybend.gateway.slots import Slot
from bramleybend.metrics import Metric
from bramleybend.models import Repeat
from bramleybend.wire.bramleybend_pb2 import Ended

LAST_EVENTS_S: Final = 0.2
# A caller leaves at its deadline; a stop that takes longer is told to nobody.
LATE_STOP_S: Final = 0.3
# For a run that goes on after its request's deadline, to see how it ends.
OUTLIVED_S: Final = 5.0
RAN_WHOLE: Final = frozenset((End.WHOLE, End.OVERTAKEN))


class Supervisor:
    """Carries attempts to their end, and stops them where that is allowed."""

    def __init__(self, deps: Deps) -> None:
        """Supervise nothing yet."""
        self._deps = deps
        self._ending: set[asyncio.Task[Any]] = set()

    async def carry(self, job: Job, slot: Slot, label: str) -> AttemptEnd:
        started = self._deps.clock.monotonic()
        ask = job.ask()
        attempt = Attempt(
            job.run,
            slot,
            job.service.kind,
            _run_id(job, label),
            ask.prompt_tokens,
        )
        self._deps.note(job, 'dispatched', runner=slot.runner)
        proceeding = asyncio.create_task(attempt.proceed())
        try:
            end = await self._proceed(job, slot, attempt, proceeding)
        except asyncio.CancelledError:
            proceeding.cancel()
            self.leave(self._drop(slot, attempt))
            raise
        if end.end is not End.UNHEARD:
            # At once: what is told of as not sent must not be sent later.
            proceeding.cancel()
        self._deps.note(
            job,
            'attempt_ended',
            runner=slot.runner,
            end=end.end,
            crashed=end.crashed,
        )
        self._count_prefill(job, end, ask.prompt_tokens)
        # The caller's answer does not wait for the owner's last word.
        self.leave(self._give_back(job, slot, proceeding, end, started))
        return end

    def leave(self, work: Coroutine[Any, Any, Any]) -> None:
        """Finish something that nobody waits for."""
        task = asyncio.create_task(work)
        self._ending.add(task)
        task.add_done_callback(self._ending.discard)

    async def _drop(self, slot: Slot, attempt: Attempt) -> None:
        """Give up a try that another one has overtaken."""
        await attempt.stop()
        await slot.end(Ended(outcome=End.STOPPED))

    async def _give_back(
        self,
        job: Job,
        slot: Slot,
        proceeding: asyncio.Task[AttemptEnd],
        end: AttemptEnd,
        started: float,
    ) -> None:
        """Tell the owner how the run ended, once that is known.

        A run that could not be stopped at its request's deadline still holds
        its runner, and may crash it; unreported, its content would go on
        crashing runners.
        """
        if end.end is End.UNHEARD and not proceeding.done():
            done, _ = await asyncio.wait((proceeding,), timeout=OUTLIVED_S)
            if done:
                end = proceeding.result()
                self._deps.note(
                    job,
                    'outlived',
                    runner=slot.runner,
                    end=end.end,
                    crashed=end.crashed,
                )
        proceeding.cancel()
        seconds = self._deps.clock.monotonic() - started
        await slot.end(_ended(end, seconds))

    async def _proceed(
        self,
        job: Job,
        slot: Slot,
        attempt: Attempt,
        proceeding: asyncio.Task[AttemptEnd],
    ) -> AttemptEnd:
        reasons = (
            asyncio.create_task(slot.preempted.wait()),
            asyncio.create_task(job.run.abandoned.wait()),
        )
        try:
            await self._until(job, proceeding, *reasons)
            if await self._stopped(job, attempt, proceeding):
                if slot.preempted.is_set():
                    self._deps.metrics.count(
                        Metric.PREEMPTED,
                        tier=int(job.tier),
                    )
                return AttemptEnd(End.STOPPED)
            # What may not be stopped, or can't be reached to be stopped,
            # goes on to its end.
            await self._until(job, proceeding)
            return _end_of(attempt, proceeding)
        finally:
            for task in reasons:
                task.cancel()

    async def _until(self, job: Job, *tasks: asyncio.Task[Any]) -> None:
        """Wait for the first of the tasks, at most to the deadline."""
        await asyncio.wait(
            tasks,
            timeout=self._deps.left_s(job),
            return_when=asyncio.FIRST_COMPLETED,
        )

    async def _stopped(
        self,
        job: Job,
        attempt: Attempt,
        proceeding: asyncio.Task[AttemptEnd],
    ) -> bool:
        """Stop the run where that is allowed; true once it is certain."""
        if proceeding.done() or not attempt.sent:
            return False
        if not job.profile.cancellable or not await self._stop(job, attempt):
            return False
        # A run that ended as it was being cancelled has its last events on
        # the way; thrown away, a whole answer would count as cancelled.
        await asyncio.wait((proceeding,), timeout=LAST_EVENTS_S)
        return not (proceeding.done() and proceeding.result().end is End.WHOLE)

    async def _stop(self, job: Job, attempt: Attempt) -> bool:
        """Whether the run is over for certain while its caller listens.

        A stop that is not confirmed by then goes on in the background.
        """
        stopping = asyncio.create_task(attempt.stop())
        self._ending.add(stopping)
        stopping.add_done_callback(self._ending.discard)
        wait_s = max(self._deps.left_s(job), LATE_STOP_S)
        await asyncio.wait((stopping,), timeout=wait_s)
        return stopping.done() and stopping.result()

    def _count_prefill(self, job: Job, end: AttemptEnd, estimate: int) -> None:
        """Count prompt tokens by whether their answer reached somebody."""
        if end.end is End.NOT_SENT:
            return
        tier = int(job.tier)
        prompt_tokens = end.usage.prompt_tokens or estimate
        prefilled = prompt_tokens - end.usage.cached_tokens
        self._deps.metrics.count(Metric.PREFILL_TOKENS, prefilled, tier=tier)
        if end.end is End.WHOLE:
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


def _end_of(
    attempt: Attempt,
    proceeding: asyncio.Task[AttemptEnd],
) -> AttemptEnd:
    if proceeding.done():
        return proceeding.result()
    if attempt.sent:
        return AttemptEnd(End.UNHEARD)
    return AttemptEnd(End.NOT_SENT)


def _run_id(job: Job, label: str) -> str:
    """Return the id the runner sees.

    Work that may run once keeps one id over all tries, so an engine that
    did admit a try that looked unsent refuses the next.
    """
    base = job.request_id.replace('/', '_').replace(':', '_')
    if job.profile.repeat is Repeat.IDEMPOTENT:
        return f'{base}_{label}'
    return base


def _ended(end: AttemptEnd, seconds: float) -> Ended:
    return Ended(
        outcome=Outcome.DONE if end.end in RAN_WHOLE else end.end,
        runner_crashed=end.crashed,
        refused=end.end is End.NOT_SENT,
        prompt_tokens=end.usage.prompt_tokens,
        cached_tokens=end.usage.cached_tokens,
        completion_tokens=end.usage.completion_tokens,
        seconds=seconds,
    )
