"""Hedging: starts a second run of a slow request where the profile allows."""

import asyncio
from types import MappingProxyType
from typing import Final

from bramleybend.answers import Answer
from bramleybend.decisions.hedging import HedgeBudgets
from bramleybend.gateway.attempt import AttemptEnd, EndKind
from bramleybend.gateway.job import DispatchDeps, Job
from bramleybend.gateway.slot import Slot
from bramleybend.gateway.slot_search import SlotSearch
from bramleybend.gateway.supervisor import Supervisor
from bramleybend.metrics import Metric
from bramleybend.models import Repeat, ServiceKind
from bramleybend.wire.bramleybend_pb2 import Ended

SECOND_RUN_SUFFIX: Final = 'h'
END_RANKS: Final = MappingProxyType({EndKind.WHOLE: 0, EndKind.NOT_SENT: 2})


class Hedger:
    """Runs an attempt, and a second concurrent one if the first is slow."""

    def __init__(
        self,
        deps: DispatchDeps,
        search: SlotSearch,
        supervisor: Supervisor,
    ) -> None:
        """Start without measured calls."""
        self._deps = deps
        self._search = search
        self._supervisor = supervisor
        self._hedging = HedgeBudgets()

    async def run_attempt(self, job: Job, slot: Slot, label: str) -> AttemptEnd:
        """Run an attempt, hedged if allowed; return the better of two ends."""
        if not _may_hedge(job):
            return await self._supervisor.run_attempt(job, slot, label)
        key = (job.service.name, job.profile.name)
        self._hedging.record_start(*key)
        started = self._deps.clock.monotonic()
        first = asyncio.create_task(
            self._supervisor.run_attempt(job, slot, label)
        )
        try:
            end = await self._wait_or_hedge(job, slot, label, first)
        finally:
            self._detach_run(job, first)
        if end.kind is EndKind.WHOLE:
            seconds = self._deps.clock.monotonic() - started
            self._hedging.record_finish(*key, seconds)
        return end

    async def _wait_or_hedge(
        self,
        job: Job,
        slot: Slot,
        label: str,
        first: asyncio.Task[AttemptEnd],
    ) -> AttemptEnd:
        key = (job.service.name, job.profile.name)
        delay_s = self._hedging.delay_s(*key)
        await asyncio.wait((first,), timeout=delay_s)
        if first.done() or not self._hedging.try_spend(*key):
            return await first
        self._deps.record_event(job, 'hedged', runner=slot.runner)
        self._deps.metrics.count(Metric.HEDGED, tier=int(job.tier))
        second = asyncio.create_task(self._run_second(job, slot, label))
        try:
            return await wait_for_best_end(first, second)
        finally:
            self._detach_run(job, second)

    def _detach_run(self, job: Job, run: asyncio.Task[AttemptEnd]) -> None:
        """Cancel an unneeded run at an engine; await it at a plain service."""
        # Runs of plain services can't be cancelled. If the slot were released
        # early, the next call would be sent to the same stalled runner, and
        # the owner would not learn how slow it is.
        if job.service.kind is ServiceKind.ENGINE:
            run.cancel()
        elif not run.done():
            self._supervisor.run_in_background(_wait_until_done(run))

    async def _run_second(self, job: Job, slot: Slot, label: str) -> AttemptEnd:
        found = await self._search.find(job, [slot.runner])
        if isinstance(found, Answer):
            return AttemptEnd(EndKind.NOT_SENT)
        if job.run.has_answer_data:
            # The first run answered while this one waited for a slot.
            await found.release(Ended(outcome=EndKind.NOT_SENT))
            return AttemptEnd(EndKind.NOT_SENT)
        return await self._supervisor.run_attempt(
            job, found, label + SECOND_RUN_SUFFIX
        )


def _may_hedge(job: Job) -> bool:
    # Two runs that stream would interleave their events in one answer, so
    # only answers that are read as one body are hedged.
    return (
        job.profile.hedge
        and job.profile.repeat is Repeat.IDEMPOTENT
        and not job.run.req.stream
    )


async def _wait_until_done(run: asyncio.Task[AttemptEnd]) -> None:
    await asyncio.wait((run,))


async def wait_for_best_end(
    first: asyncio.Task[AttemptEnd],
    second: asyncio.Task[AttemptEnd],
) -> AttemptEnd:
    """Return the first complete end, else one of a run that was sent."""
    done, _ = await asyncio.wait(
        (first, second),
        return_when=asyncio.FIRST_COMPLETED,
    )
    for task in done:
        if task.result().kind is EndKind.WHOLE:
            return task.result()
    ends = (await first, await second)
    # A caller may be told `not_run` for `not_sent`, so `not_sent` is returned
    # only if it is true of both runs.
    ranked = sorted(ends, key=lambda end: END_RANKS.get(end.kind, 1))
    return ranked[0]
