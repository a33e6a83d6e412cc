"""Carries one run from its home to a runner and settles its outcome."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Any, Final

from result import Err, Ok

from bramleybend.answers import (
    Answer,
    Outcome,
    not_run,
    quarantined,
    unknown,
)
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
from bramleybend.wire.bramleybend_pb2 import AskMessage, Ended, Refused

RETRY_AFTER: Final = timedelta(seconds=1)
MAX_ATTEMPTS: Final = 4
RETRY_PAUSE_S: Final = 0.05
LAST_EVENTS_S: Final = 0.2
REPEATABLE: Final = frozenset((End.STOPPED, End.TORN, End.UNHEARD))
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
        self._ending: set[asyncio.Task[None]] = set()

    async def dispatch(self, job: Job) -> Answer:
        """Run the job to its outcome."""
        excluded: list[str] = []
        ran: AttemptEnd | None = None
        for number in range(MAX_ATTEMPTS):
            slot = await self._slot(job, excluded)
            if isinstance(slot, Answer):
                return self._given_up(job, slot, ran)
            end = await self._attempt(job, slot, number)
            if end.end is End.WHOLE:
                return Answer(Outcome.DONE, 'whole')
            if end.end is not End.NOT_SENT:
                ran = end
            if not self._may_go_on(job, end):
                break
            excluded.append(slot.runner)
            self._note(job, 'retry', end=end.end)
            await asyncio.sleep(RETRY_PAUSE_S * 2**number)
        refused = not_run('no runner took it', RETRY_AFTER)
        return self._given_up(job, refused, ran)

    def _given_up(
        self,
        job: Job,
        answer: Answer,
        ran: AttemptEnd | None,
    ) -> Answer:
        # Once an earlier try has reached a runner, `not_run` is untrue
        # whatever the last one met, and a caller that acts on it would have
        # its work done twice.
        if ran is None:
            return answer
        return _final(ran, out_of_time=self._out_of_time(job))

    def _out_of_time(self, job: Job) -> bool:
        return self._deps.clock.monotonic() >= job.run.req.deadline

    def _may_go_on(self, job: Job, end: AttemptEnd) -> bool:
        """Whether another try is safe and still of use."""
        if self._out_of_time(job) or job.run.abandoned.is_set():
            return False
        if end.end is End.NOT_SENT:
            return True
        # Once a caller has read part of an answer, a second run could go on
        # with other words: the whole would be nobody's answer.
        return (
            job.profile.repeat is Repeat.IDEMPOTENT
            and job.run.chunk_count == 0
            and end.end in REPEATABLE
        )

    # Slots

    async def _slot(self, job: Job, excluded: list[str]) -> Slot | Answer:
        """Wait for a slot; refuse only what may be refused."""
        ask = ask_of(job.run.req, job.profile, job.service.kind)
        urgent = False
        while True:
            refusal = await self._acquire(ask, excluded, urgent=urgent)
            if isinstance(refusal, Answer):
                return refusal
            if isinstance(refusal, Slot):
                slot = await self._usable(job, refusal)
                if slot is not None:
                    return slot
                continue
            if await self._may_shed(job):
                return self._shed(job, refusal, proved=True)
            if self._out_of_time(job):
                # No owner would say that nothing lower runs, and the time
                # is up: told apart, since the promise is not proved.
                return self._shed(job, refusal, proved=False)
            urgent = True
            await asyncio.sleep(SHED_PAUSE_S)

    async def _usable(self, job: Job, slot: Slot) -> Slot | None:
        if not self._deps.views.is_fresh:
            await slot.end(Ended(outcome=End.NOT_SENT))
            return None
        self._granted(job, slot)
        return slot

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
        last: Slot | Answer | Refused = not_run(
            'no shard can be reached',
            RETRY_AFTER,
        )
        for shard in ranked:
            message = ask_message(ask, excluded, self._left_s(ask))
            message.shard = shard
            message.urgent = urgent
            last = await self._acquire_at(message, ask.deadline)
            if not isinstance(last, Refused):
                break
        return last

    async def _acquire_at(
        self,
        message: AskMessage,
        deadline: float,
    ) -> Slot | Answer | Refused:
        """Ask one shard; a `Refused` is one that may go on elsewhere."""
        match await self._deps.asker.acquire(message, deadline):
            case Ok(slot):
                return slot
            case Err(Problem() as problem):
                return not_run(str(problem), RETRY_AFTER)
            case Err(Refused() as refused):
                # An urgent ask was refused for want of capacity before,
                # whatever its deadline says by now.
                if refused.quarantined or not (refused.shed or message.urgent):
                    return _refused(refused)
                return refused
        raise AssertionError(message)

    def _left_s(self, ask: Ask) -> float:
        return max(ask.deadline - self._deps.clock.monotonic(), 0)

    def _granted(self, job: Job, slot: Slot) -> None:
        self._note(job, 'granted', runner=slot.runner)

    def _shed(self, job: Job, refused: Refused, *, proved: bool) -> Answer:
        self._deps.metrics.count(Metric.SHED, tier=int(job.profile.tier))
        self._note(
            job,
            'shed',
            service=job.service.name,
            reason=refused.reason,
            proved=proved,
        )
        return _refused(refused)

    # Attempts

    async def _attempt(self, job: Job, slot: Slot, number: int) -> AttemptEnd:
        started = self._deps.clock.monotonic()
        ask = ask_of(job.run.req, job.profile, job.service.kind)
        attempt = Attempt(
            job.run,
            slot,
            job.service.kind,
            _run_id(job, number),
            ask.prompt_tokens,
        )
        self._note(job, 'dispatched', runner=slot.runner)
        end = await self._proceed(job, slot, attempt)
        seconds = self._deps.clock.monotonic() - started
        self._note(job, 'attempt_ended', runner=slot.runner, end=end.end)
        self._count_prefill(job, end, ask.prompt_tokens)
        # The caller's answer does not wait for the owner's last word.
        ending = asyncio.create_task(slot.end(_ended(end, seconds)))
        self._ending.add(ending)
        ending.add_done_callback(self._ending.discard)
        return end

    async def _proceed(
        self,
        job: Job,
        slot: Slot,
        attempt: Attempt,
    ) -> AttemptEnd:
        proceeding = asyncio.create_task(attempt.proceed())
        reasons = (
            asyncio.create_task(slot.preempted.wait()),
            asyncio.create_task(job.run.abandoned.wait()),
        )
        try:
            await self._until(job, proceeding, *reasons)
            if not proceeding.done() and not self._out_of_time(job):
                # Preempted, or its caller has gone. What may not be stopped,
                # or can't be reached to be stopped, goes on to its end.
                if await self._stopped(job, attempt, proceeding):
                    return AttemptEnd(End.STOPPED)
                await self._until(job, proceeding)
            if proceeding.done():
                return proceeding.result()
            return await self._at_deadline(job, attempt, proceeding)
        finally:
            for task in (proceeding, *reasons):
                task.cancel()

    async def _until(self, job: Job, *tasks: asyncio.Task[Any]) -> None:
        """Wait for the first of the tasks, at most to the deadline."""
        await asyncio.wait(
            tasks,
            timeout=max(job.run.req.deadline - self._deps.clock.monotonic(), 0),
            return_when=asyncio.FIRST_COMPLETED,
        )

    async def _stopped(
        self,
        job: Job,
        attempt: Attempt,
        proceeding: asyncio.Task[AttemptEnd],
    ) -> bool:
        """Stop the run where that is allowed; true once it is certain."""
        if not job.profile.cancellable or not await attempt.stop():
            return False
        # A run that ended as it was being cancelled has its last events on
        # the way; thrown away, a whole answer would count as cancelled.
        await asyncio.wait((proceeding,), timeout=LAST_EVENTS_S)
        if proceeding.done() and proceeding.result().end is End.WHOLE:
            return False
        self._deps.metrics.count(
            Metric.PREEMPTED,
            tier=int(job.profile.tier),
        )
        return True

    async def _at_deadline(
        self,
        job: Job,
        attempt: Attempt,
        proceeding: asyncio.Task[AttemptEnd],
    ) -> AttemptEnd:
        if not job.run.dispatched:
            proceeding.cancel()
            return AttemptEnd(End.NOT_SENT)
        if await self._stopped(job, attempt, proceeding):
            return AttemptEnd(End.STOPPED)
        return AttemptEnd(End.UNHEARD)

    def _count_prefill(self, job: Job, end: AttemptEnd, estimate: int) -> None:
        """Count prompt tokens by whether their answer reached somebody."""
        if end.end is End.NOT_SENT:
            return
        tier = int(job.profile.tier)
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

    def _note(self, job: Job, event: str, **fields: object) -> None:
        self._deps.events.record(
            event,
            job.request_id,
            tier=int(job.profile.tier),
            **fields,
        )


def _refused(refused: Refused) -> Answer:
    if refused.quarantined:
        return quarantined()
    return not_run(
        refused.reason,
        timedelta(seconds=refused.retry_after_s),
    )


def _final(end: AttemptEnd, *, out_of_time: bool) -> Answer:
    match end.end:
        case End.STOPPED:
            reason = 'its deadline passed' if out_of_time else 'given up'
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
        outcome=Outcome.DONE if end.end is End.WHOLE else end.end,
        runner_crashed=end.crashed,
        refused=end.end is End.NOT_SENT,
        prompt_tokens=end.usage.prompt_tokens,
        cached_tokens=end.usage.cached_tokens,
        completion_tokens=end.usage.completion_tokens,
        seconds=seconds,
    )
