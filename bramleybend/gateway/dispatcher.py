"""Carries one run from its home to a runner and settles its outcome."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Final

from result import Err, Ok

from bramleybend.answers import Answer, Outcome, not_run, unknown
from bramleybend.clock import Clock
from bramleybend.decisions.routing import rank_shards
from bramleybend.errors import Problem
from bramleybend.events import EventLog
from bramleybend.gateway.ask import ask_message, ask_of
from bramleybend.gateway.attempt import Attempt, AttemptEnd, End
from bramleybend.gateway.floor_round import FloorRounds
from bramleybend.gateway.run import Run
from bramleybend.gateway.slots import Slot, SlotAsker
from bramleybend.gateway.view import ViewFollower
from bramleybend.metrics import Metric, Metrics
from bramleybend.models import Ask, Profile, Repeat, Service
from bramleybend.wire.bramleybend_pb2 import Ended, Refused

RETRY_AFTER: Final = timedelta(seconds=1)
MAX_ATTEMPTS: Final = 4
RETRY_PAUSE_S: Final = 0.05
# An owner refuses this long before a deadline, so that the tier floor can be
# asked for in time.
SHED_PAUSE_S: Final = 0.05


@dataclass(frozen=True)
class Deps:
    """What a dispatcher works with."""

    asker: SlotAsker
    floors: FloorRounds
    views: ViewFollower
    clock: Clock
    events: EventLog
    metrics: Metrics
    rng: Random


@dataclass(frozen=True)
class Job:
    """A run with the terms it runs under."""

    run: Run
    profile: Profile
    service: Service

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.run.req.request_id


class Dispatcher:
    """Finds a slot, dispatches, and tries again only where that is safe."""

    def __init__(self, deps: Deps) -> None:
        """Take the means; hold no state between runs."""
        self._deps = deps

    async def dispatch(self, job: Job) -> Answer:
        """Run the job to its outcome."""
        excluded: list[str] = []
        for number in range(MAX_ATTEMPTS):
            slot = await self._slot(job, excluded)
            if isinstance(slot, Answer):
                return slot
            end = await self._attempt(job, slot, number)
            answer = self._answer(job, end, number)
            if answer is not None:
                return answer
            excluded.append(slot.runner)
            self._deps.events.record('retry', job.request_id, end=end.end)
            await asyncio.sleep(RETRY_PAUSE_S * 2**number)
        return not_run('every runner that was tried refused it', RETRY_AFTER)

    # Slots

    async def _slot(self, job: Job, excluded: list[str]) -> Slot | Answer:
        """Wait for a slot; refuse only what may be refused."""
        ask = ask_of(job.run.req, job.profile)
        urgent = False
        while True:
            refusal = await self._acquire(ask, excluded, urgent=urgent)
            if isinstance(refusal, Slot):
                if self._deps.views.is_fresh:
                    self._granted(job, refusal)
                    return refusal
                await refusal.end(Ended(outcome=End.NOT_SENT, refused=False))
                continue
            if isinstance(refusal, Answer):
                return refusal
            if await self._may_shed(job):
                return self._shed(job, refusal, proved=True)
            if self._deps.clock.monotonic() >= ask.deadline:
                # No owner would say that nothing lower runs, and the time
                # is up: told apart, since the promise is not proved.
                return self._shed(job, refusal, proved=False)
            urgent = True
            await asyncio.sleep(SHED_PAUSE_S)

    async def _may_shed(self, job: Job) -> bool:
        permitted = await self._deps.floors.may_shed(
            job.service.name,
            job.profile.tier,
            job.service.shards,
        )
        return permitted and self._deps.views.is_fresh

    async def _acquire(
        self,
        ask: Ask,
        excluded: list[str],
        *,
        urgent: bool,
    ) -> Slot | Answer | Refused:
        view = self._deps.views.view
        ranked = rank_shards(ask, view.shards, self._deps.rng) or [0]
        refused: Refused | None = None
        for shard in ranked:
            message = ask_message(ask, excluded, self._left_s(ask))
            message.shard = shard
            message.urgent = urgent
            match await self._deps.asker.acquire(message, ask.deadline):
                case Ok(slot):
                    return slot
                case Err(Refused() as refused):
                    # An urgent ask was refused for want of capacity before,
                    # whatever its deadline says by now.
                    if not refused.shed and not urgent:
                        return _refused(refused)
                case Err(Problem() as problem):
                    return not_run(str(problem), RETRY_AFTER)
        return refused or not_run('no shard can be reached', RETRY_AFTER)

    def _left_s(self, ask: Ask) -> float:
        return max(ask.deadline - self._deps.clock.monotonic(), 0)

    def _granted(self, job: Job, slot: Slot) -> None:
        self._deps.events.record(
            'granted',
            job.request_id,
            runner=slot.runner,
            tier=int(job.profile.tier),
        )

    def _shed(self, job: Job, refused: Refused, *, proved: bool) -> Answer:
        self._deps.metrics.count(Metric.SHED, tier=int(job.profile.tier))
        self._deps.events.record(
            'shed',
            job.request_id,
            service=job.service.name,
            tier=int(job.profile.tier),
            reason=refused.reason,
            proved=proved,
        )
        return _refused(refused)

    # Attempts

    async def _attempt(self, job: Job, slot: Slot, number: int) -> AttemptEnd:
        started = self._deps.clock.monotonic()
        attempt = Attempt(
            job.run,
            slot,
            job.service.kind,
            _run_id(job, number),
        )
        self._deps.events.record(
            'dispatched',
            job.request_id,
            runner=slot.runner,
            tier=int(job.profile.tier),
        )
        end = await self._proceed(job, slot, attempt)
        seconds = self._deps.clock.monotonic() - started
        self._deps.events.record(
            'attempt_ended',
            job.request_id,
            runner=slot.runner,
            end=end.end,
        )
        # The caller's answer does not wait for the owner's last word.
        asyncio.create_task(slot.end(_ended(end, seconds)))  # noqa: RUF006
        return end

    async def _proceed(
        self,
        job: Job,
        slot: Slot,
        attempt: Attempt,
    ) -> AttemptEnd:
        proceeding = asyncio.create_task(attempt.proceed())
        preempted = asyncio.create_task(slot.preempted.wait())
        abandoned = asyncio.create_task(job.run.abandoned.wait())
        left_s = max(
            job.run.req.deadline - self._deps.clock.monotonic(),
            0,
        )
        try:
            await asyncio.wait(
                (proceeding, preempted, abandoned),
                timeout=left_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if proceeding.done():
                return proceeding.result()
            return await self._stop(job, attempt, proceeding)
        finally:
            for task in (proceeding, preempted, abandoned):
                task.cancel()

    async def _stop(
        self,
        job: Job,
        attempt: Attempt,
        proceeding: asyncio.Task[AttemptEnd],
    ) -> AttemptEnd:
        """Preempted or out of time: stop the run where that is allowed."""
        if not job.run.dispatched:
            proceeding.cancel()
            return AttemptEnd(End.NOT_SENT)
        if job.profile.cancellable and await attempt.stop():
            self._deps.metrics.count(
                Metric.PREEMPTED,
                tier=int(job.profile.tier),
            )
            return AttemptEnd(End.STOPPED)
        return AttemptEnd(End.UNHEARD)

    # Outcomes

    def _answer(
        self,
        job: Job,
        end: AttemptEnd,
        number: int,
    ) -> Answer | None:
        """Return the final answer, or None where another try is safe."""
        if end.end is End.WHOLE:
            return Answer(Outcome.DONE, 'whole')
        out_of_time = self._deps.clock.monotonic() >= job.run.req.deadline
        if end.end is End.NOT_SENT:
            if out_of_time or number + 1 == MAX_ATTEMPTS:
                return not_run('no runner took it', RETRY_AFTER)
            return None
        if not out_of_time and self._may_repeat(job, end):
            return None
        return _final(end, out_of_time=out_of_time)

    def _may_repeat(self, job: Job, end: AttemptEnd) -> bool:
        # Once a caller has read part of an answer, a second run could go on
        # with other words: the whole would be nobody's answer.
        return (
            job.profile.repeat is Repeat.IDEMPOTENT
            and job.run.chunk_count == 0
            and end.end in {End.STOPPED, End.TORN, End.UNHEARD}
        )


def _refused(refused: Refused) -> Answer:
    return not_run(
        refused.reason,
        timedelta(seconds=refused.retry_after_s),
    )


def _final(end: AttemptEnd, *, out_of_time: bool) -> Answer:
    match end.end:
        case End.STOPPED:
            reason = 'its deadline passed' if out_of_time else 'preempted'
            return Answer(
                Outcome.CANCELLED,
                f'stopped while it ran: {reason}',
                'send it under a new id if it is still wanted',
            )
        case End.UNHEARD:
            return unknown('the runner was sent it and did not answer')
        case End.ANSWERED:
            return Answer(
                Outcome.FAILED,
                f'the runner answered {end.status}',
                'mend the request before you send it under a new id',
            )
        case End.TOO_LARGE:
            return Answer(
                Outcome.FAILED,
                'the answer is larger than a home keeps',
                'ask for less in one request',
            )
    return Answer(
        Outcome.FAILED,
        'the runner broke off within the answer',
        'send it under a new id if it may run again',
    )


def _run_id(job: Job, number: int) -> str:
    """Return the id the runner sees.

    Work that may run once keeps one id over all tries, so an engine that
    did admit a try that looked unsent refuses the next.
    """
    base = job.request_id.replace('/', '_').replace(':', '_')
    if job.profile.repeat is Repeat.IDEMPOTENT:
        return f'{base}_{number}'
    return base


def _ended(end: AttemptEnd, seconds: float) -> Ended:
    return Ended(
        outcome=end.end,
        runner_crashed=end.crashed,
        refused=end.end is End.NOT_SENT,
        prompt_tokens=end.usage.prompt_tokens,
        cached_tokens=end.usage.cached_tokens,
        completion_tokens=end.usage.completion_tokens,
        seconds=seconds,
    )
