"""Finds a slot for a job, and refuses it only where that is allowed."""

import asyncio
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any, Final

from result import Err, Ok

from bramleybend.answers import Answer, not_run, quarantined
from bramleybend.decisions.floor import grant_usable
from bramleybend.decisions.routing import rank_shards
from bramleybend.errors import Problem
from bramleybend.events import MILLISECONDS
from bramleybend.gateway.ask import ask_message
from bramleybend.gateway.attempt import End
from bramleybend.gateway.job import Deps, Job
from bramleybend.gateway.shard_race import Found, ShardRace
from bramleybend.gateway.slots import Slot
from bramleybend.metrics import Metric
from bramleybend.models import Ask, Tier
from bramleybend.wire.bramleybend_pb2 import AskMessage, Ended, Refused

RETRY_AFTER: Final = timedelta(seconds=1)
# Under a long shortage each waiting request asks again and again; 64 of them
# at the first pause alone made 1,300 refusals in the event log of one test.
SHED_PAUSE_S: Final = 0.05
LONGEST_PAUSE_S: Final = 0.4


class SlotSearch:
    """Asks shards in rank, and for the tier floor before it sheds."""

    def __init__(self, deps: Deps) -> None:
        """Take the means; hold no state between jobs."""
        self._deps = deps
        self._ending: set[asyncio.Task[None]] = set()

    async def find(self, job: Job, excluded: list[str]) -> Slot | Answer:
        """Wait for a slot; refuse only what may be refused."""
        asked_at = self._deps.clock.monotonic()
        found = await self._find(job, excluded)
        if isinstance(found, Slot):
            self._time(job, asked_at)
        return found

    async def _find(self, job: Job, excluded: list[str]) -> Slot | Answer:
        ask = job.ask()
        answer_by = self._deps.answer_by(job)
        urgent = False
        pause_s = SHED_PAUSE_S
        while True:
            found = await self._acquire(ask, excluded, answer_by, urgent=urgent)
            if isinstance(found, Refused):
                final = await self._refusal(job, found, answer_by)
                if final is not None:
                    return final
                urgent = True
                left_s = max(answer_by - self._deps.clock.monotonic(), 0)
                await asyncio.sleep(min(pause_s, left_s))
                pause_s = min(pause_s * 2, LONGEST_PAUSE_S)
            elif isinstance(found, Answer) or await self._usable(job, found):
                return found

    def _time(self, job: Job, asked_at: float) -> None:
        waited = self._deps.clock.monotonic() - asked_at
        self._deps.metrics.timing(
            Metric.QUEUED,
            timedelta(seconds=waited),
            tier=int(job.tier),
        )

    async def _refusal(
        self,
        job: Job,
        refused: Refused,
        answer_by: float,
    ) -> Answer | None:
        """Return the final answer, or None while it may not be shed."""
        if await self._may_shed(job, answer_by):
            return self._shed(job, refused, proved=True)
        if self._deps.clock.monotonic() >= answer_by:
            # No owner would say that nothing lower runs, and the time is
            # up: told apart, since the promise is not proved.
            return self._shed(job, refused, proved=False)
        return None

    async def _usable(self, job: Job, slot: Slot) -> bool:
        """Whether the grant is still its shard owner's; else give it back."""
        # The highest tier is never below a floor, so for it any VM that
        # grants will do, and bookings don't wait for an owner's succession.
        if job.tier is min(Tier) or grant_usable(
            granted_by=slot.owner,
            owner=self._deps.asker.owner_of(slot.service, slot.shard),
            view_age=self._deps.views.view_age_s,
        ):
            self._deps.note(job, 'granted', runner=slot.runner)
            return True
        self._deps.note(
            job,
            'grant_dropped',
            runner=slot.runner,
            view_age_ms=round(self._deps.views.view_age_s * MILLISECONDS),
        )
        self._leave(slot.end(Ended(outcome=End.NOT_SENT)))
        await asyncio.sleep(SHED_PAUSE_S)
        return False

    async def _may_shed(self, job: Job, answer_by: float) -> bool:
        return await self._deps.floors.may_shed(
            job.service.name,
            job.tier,
            job.service.shards,
            answer_by,
        )

    async def _acquire(
        self,
        ask: Ask,
        excluded: list[str],
        answer_by: float,
        *,
        urgent: bool,
    ) -> Found:
        async def ask_shard(shard: int, is_further: bool) -> Found:  # noqa: WPS430
            message = ask_message(ask, excluded, self._left_s(ask))
            message.shard = shard
            message.urgent = urgent or is_further
            return await self._acquire_at(message, answer_by, is_further)

        view = self._deps.views.view
        ranked = rank_shards(ask, view.shards, self._deps.rng) or [0]
        patience_s = 0 if urgent else self._left_s(ask) / 2
        return await ShardRace(ask_shard, ranked, self._leave).run(patience_s)

    async def _acquire_at(
        self,
        message: AskMessage,
        answer_by: float,
        is_further: bool,
    ) -> Found:
        """Ask one shard; a `Refused` is one that may go on elsewhere."""
        match await self._deps.asker.acquire(message, answer_by):
            case Ok(slot):
                return slot
            case Err(Problem() as problem) if is_further:
                return Refused(reason=str(problem), shed=True)
            case Err(Problem() as problem):
                return not_run(str(problem), RETRY_AFTER)
            case Err(Refused() as refused):
                # What was refused for want of capacity before, here or at
                # another shard, is shed whatever its deadline says by now.
                # Taken for a late arrival it would be turned away without
                # the tier floor, beside lower tiers that are served.
                if refused.quarantined:
                    return _refused(refused)
                if refused.shed or message.urgent:
                    return refused
                return _refused(refused)
        raise AssertionError(message)

    def _leave(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._ending.add(task)
        task.add_done_callback(self._ending.discard)

    def _left_s(self, ask: Ask) -> float:
        return max(ask.deadline - self._deps.clock.monotonic(), 0)

    def _shed(self, job: Job, refused: Refused, *, proved: bool) -> Answer:
        self._deps.metrics.count(Metric.SHED, tier=int(job.tier))
        if not proved:
            self._deps.metrics.count(Metric.SHED_UNPROVED)
        self._deps.note(
            job,
            'shed',
            service=job.service.name,
            reason=refused.reason,
            proved=proved,
        )
        return _refused(refused)


def _refused(refused: Refused) -> Answer:
    if refused.quarantined:
        return quarantined()
    return not_run(
        refused.reason,
        timedelta(seconds=refused.retry_after_s),
    )
