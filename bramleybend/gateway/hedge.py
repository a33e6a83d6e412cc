"""Starts a second run beside a slow one, where the profile allows it."""

import asyncio
from types import MappingProxyType
from typing import Final

from bramleybend.answers import Answer
from bramleybend.decisions.hedging import Hedging
from bramleybend.gateway.attempt import AttemptEnd, End
from bramleybend.gateway.job import Deps, Job
from bramleybend.gateway.slot_search import SlotSearch
from bramleybend.gateway.slots import Slot
from bramleybend.gateway.supervisor import Supervisor
from bramleybend.metrics import Metric
from bramleybend.models import Repeat, ServiceKind
from bramleybend.wire.bramleybend_pb2 import Ended

SECOND: Final = 'h'
RANKS: Final = MappingProxyType({End.WHOLE: 0, End.NOT_SENT: 2})


class Hedger:
    """Carries a try, and a second one beside it when it is slow."""

    def __init__(
        self,
        deps: Deps,
        search: SlotSearch,
        supervisor: Supervisor,
    ) -> None:
        """Know no calls yet."""
        self._deps = deps
        self._search = search
        self._supervisor = supervisor
        self._hedging = Hedging()

    async def carry(self, job: Job, slot: Slot, label: str) -> AttemptEnd:
        """Carry a try to its end, or to that of the faster of two."""
        if not _may_hedge(job):
            return await self._supervisor.carry(job, slot, label)
        key = (job.service.name, job.profile.name)
        self._hedging.begun(*key)
        started = self._deps.clock.monotonic()
        first = asyncio.create_task(self._supervisor.carry(job, slot, label))
        try:
            end = await self._watch(job, slot, label, first)
        finally:
            self._let_go(job, first)
        if end.end is End.WHOLE:
            seconds = self._deps.clock.monotonic() - started
            self._hedging.finished(*key, seconds)
        return end

    async def _watch(
        self,
        job: Job,
        slot: Slot,
        label: str,
        first: asyncio.Task[AttemptEnd],
    ) -> AttemptEnd:
        key = (job.service.name, job.profile.name)
        delay_s = self._hedging.delay_s(*key)
        await asyncio.wait((first,), timeout=delay_s)
        if first.done() or not self._hedging.allow(*key):
            return await first
        self._deps.note(job, 'hedged', runner=slot.runner)
        self._deps.metrics.count(Metric.HEDGED, tier=int(job.tier))
        second = asyncio.create_task(self._second(job, slot, label))
        try:
            return await faster(first, second)
        finally:
            self._let_go(job, second)

    def _let_go(self, job: Job, run: asyncio.Task[AttemptEnd]) -> None:
        """Leave a run that another one has overtaken."""
        # A plain service can't be told to stop. Given back at once, its slot
        # would draw the next call into the same stall, and the owner would
        # never learn how slow the runner is; so the run is seen to its end.
        if job.service.kind is ServiceKind.ENGINE:
            run.cancel()
        elif not run.done():
            self._supervisor.leave(_ended(run))

    async def _second(self, job: Job, slot: Slot, label: str) -> AttemptEnd:
        found = await self._search.find(job, [slot.runner])
        if isinstance(found, Answer):
            return AttemptEnd(End.NOT_SENT)
        if job.run.has_begun:
            # The first run answered while this one waited for its slot.
            await found.end(Ended(outcome=End.NOT_SENT))
            return AttemptEnd(End.NOT_SENT)
        return await self._supervisor.carry(job, found, label + SECOND)


def _may_hedge(job: Job) -> bool:
    # Two streams would interleave in one answer, so only answers that are
    # taken whole are hedged.
    return (
        job.profile.hedge
        and job.profile.repeat is Repeat.IDEMPOTENT
        and not job.run.req.stream
    )


async def _ended(run: asyncio.Task[AttemptEnd]) -> None:
    await asyncio.wait((run,))


async def faster(
    first: asyncio.Task[AttemptEnd],
    second: asyncio.Task[AttemptEnd],
) -> AttemptEnd:
    """Return the first whole end, else that of a run that was sent."""
    done, _ = await asyncio.wait(
        (first, second),
        return_when=asyncio.FIRST_COMPLETED,
    )
    for task in done:
        if task.result().end is End.WHOLE:
            return task.result()
    ends = (await first, await second)
    # `not_sent` may be told to a caller as `not_run`, so it may only stand
    # for the request if it is true of both runs.
    by_weight = sorted(ends, key=lambda end: RANKS.get(end.end, 1))
    return by_weight[0]
