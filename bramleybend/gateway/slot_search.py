"""Finds a slot for a job; sheds the job only where the tier floor allows."""

import asyncio
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any, Final

from result import Err, Ok

from bramleybend.answers import Answer, answer_not_run, answer_quarantined
from bramleybend.decisions.routing import rank_shards
from bramleybend.decisions.tier_floor import is_grant_usable
from bramleybend.errors import Problem
from bramleybend.events import MILLISECONDS
from bramleybend.gateway.ask import make_ask_message
from bramleybend.gateway.attempt import EndKind
from bramleybend.gateway.job import DispatchDeps, Job
from bramleybend.gateway.shard_race import AskResult, ShardRace
from bramleybend.gateway.slot import Slot
from bramleybend.metrics import Metric
from bramleybend.models import SlotRequest, Tier
from bramleybend.wire.bramleybend_pb2 import AskMessage, Ended, Refused

RETRY_AFTER: Final = timedelta(seconds=1)
# In a long shortage each waiting request asks repeatedly. With the first delay
# only, 64 requests caused 1,300 refusals in one event log, so delays double.
FIRST_RETRY_DELAY_S: Final = 0.05
MAX_RETRY_DELAY_S: Final = 0.4


class SlotSearch:
    """Asks shards in rank order; sheds only with leave of the tier floor."""

    def __init__(self, deps: DispatchDeps) -> None:
        """Keep no state between jobs, but for tasks that still run."""
        self._deps = deps
        self._background_tasks: set[asyncio.Task[None]] = set()

    async def find(self, job: Job, excluded: list[str]) -> Slot | Answer:
        """Wait for a slot; the answer says why the job is not run."""
        asked_at = self._deps.clock.monotonic()
        found = await self._find(job, excluded)
        if isinstance(found, Slot):
            self._record_wait(job, asked_at)
        return found

    async def _find(self, job: Job, excluded: list[str]) -> Slot | Answer:
        ask = job.make_ask()
        answer_by = self._deps.answer_deadline(job)
        urgent = False
        delay_s = FIRST_RETRY_DELAY_S
        while True:
            found = await self._ask_shards(
                ask, excluded, answer_by, urgent=urgent
            )
            if isinstance(found, Refused):
                final = await self._final_refusal(job, found, answer_by)
                if final is not None:
                    return final
                urgent = True
                left_s = max(answer_by - self._deps.clock.monotonic(), 0)
                await asyncio.sleep(min(delay_s, left_s))
                delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
            elif isinstance(found, Answer) or await self._accept_grant(
                job, found
            ):
                return found

    def _record_wait(self, job: Job, asked_at: float) -> None:
        waited = self._deps.clock.monotonic() - asked_at
        self._deps.metrics.timing(
            Metric.QUEUED,
            timedelta(seconds=waited),
            tier=int(job.tier),
        )

    async def _final_refusal(
        self,
        job: Job,
        refused: Refused,
        answer_by: float,
    ) -> Answer | None:
        """Return the final answer, or None while the job may not be shed."""
        if await self._may_shed(job, answer_by):
            return self._record_shed(job, refused, proved=True)
        if self._deps.clock.monotonic() >= answer_by:
            # The time is up, but not every owner confirmed that no lower tier
            # runs. The event and a counter mark such jobs as unproved.
            return self._record_shed(job, refused, proved=False)
        return None

    async def _accept_grant(self, job: Job, slot: Slot) -> bool:
        """Return whether the shard's owner gave the grant; else release it."""
        # The highest tier is never below a floor, so a grant of any VM is
        # valid for it: bookings don't wait for a change of owner.
        if job.tier is min(Tier) or is_grant_usable(
            granted_by=slot.owner_incarnation,
            owner=self._deps.slot_client.owner_incarnation(
                slot.service, slot.shard
            ),
            view_age=self._deps.views.view_age_s,
        ):
            self._deps.record_event(job, 'granted', runner=slot.runner)
            return True
        self._deps.record_event(
            job,
            'grant_dropped',
            runner=slot.runner,
            view_age_ms=round(self._deps.views.view_age_s * MILLISECONDS),
        )
        self._run_in_background(slot.release(Ended(outcome=EndKind.NOT_SENT)))
        await asyncio.sleep(FIRST_RETRY_DELAY_S)
        return False

    async def _may_shed(self, job: Job, answer_by: float) -> bool:
        return await self._deps.floor_rounds.may_shed(
            job.service.name,
            job.tier,
            job.service.shards,
            answer_by,
        )

    async def _ask_shards(
        self,
        ask: SlotRequest,
        excluded: list[str],
        answer_by: float,
        *,
        urgent: bool,
    ) -> AskResult:
        async def ask_shard(shard: int, is_extra: bool) -> AskResult:  # noqa: WPS430
            message = make_ask_message(ask, excluded, self._remaining_s(ask))
            message.shard = shard
            message.urgent = urgent or is_extra
            return await self._ask_shard(message, answer_by, is_extra)

        view = self._deps.views.view
        ranked = rank_shards(ask, view.shards, self._deps.rng) or [0]
        next_shard_delay_s = 0 if urgent else self._remaining_s(ask) / 2
        return await ShardRace(ask_shard, ranked, self._run_in_background).run(
            next_shard_delay_s
        )

    async def _ask_shard(
        self,
        message: AskMessage,
        answer_by: float,
        is_extra: bool,
    ) -> AskResult:
        """Ask one shard; `Refused` means that other shards may be asked."""
        match await self._deps.slot_client.acquire(message, answer_by):
            case Ok(slot):
                return slot
            case Err(Problem() as problem) if is_extra:
                return Refused(reason=str(problem), shed=True)
            case Err(Problem() as problem):
                return answer_not_run(str(problem), RETRY_AFTER)
            case Err(Refused() as refused):
                # An urgent request was refused for lack of capacity before,
                # or waits at another shard: a refusal sheds it, also if it
                # names the deadline. Taken as a late arrival it would be
                # rejected without the tier floor while lower tiers run.
                if refused.quarantined:
                    return _refusal_answer(refused)
                if refused.shed or message.urgent:
                    return refused
                return _refusal_answer(refused)
        raise AssertionError(message)

    def _run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def _remaining_s(self, ask: SlotRequest) -> float:
        return max(ask.deadline - self._deps.clock.monotonic(), 0)

    def _record_shed(
        self, job: Job, refused: Refused, *, proved: bool
    ) -> Answer:
        self._deps.metrics.count(Metric.SHED, tier=int(job.tier))
        if not proved:
            self._deps.metrics.count(Metric.SHED_UNPROVED)
        self._deps.record_event(
            job,
            'shed',
            service=job.service.name,
            reason=refused.reason,
            proved=proved,
        )
        return _refusal_answer(refused)


def _refusal_answer(refused: Refused) -> Answer:
    if refused.quarantined:
        return answer_quarantined()
    return answer_not_run(
        refused.reason,
        timedelta(seconds=refused.retry_after_s),
    )
