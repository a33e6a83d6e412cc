"""Serves one request of the raw path from its arrival to its answer."""

import asyncio
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final

from bramleybend.clients.channel import Head, Outgoing
from bramleybend.clock import Clock
from bramleybend.decisions.actions import RunReport
from bramleybend.decisions.resends import ResendBudget
from bramleybend.direct.attempt import (
    Attempt,
    BrokenStreamError,
    Failure,
    Fate,
    WholeAnswer,
)
from bramleybend.direct.book import Book
from bramleybend.direct.channels import RunnerChannels
from bramleybend.direct.dialect import Dialect, Onward
from bramleybend.direct.ingress import (
    RawRequest,
    Reply,
    Responder,
    own_reply,
)
from bramleybend.direct.intake import Admitted, Intake, hold_s
from bramleybend.direct.models import RequestFacts, RunnerEntry
from bramleybend.direct.placing import NoSlot, Placement, Placer
from bramleybend.direct.sse import Event
from bramleybend.events import EventLog
from bramleybend.models import Ask

# Sends of one request that no runner began to run. A refusal is answered in
# about a millisecond; after three the service is full and the caller waits
# better than the request does.
MOST_REFUSALS: Final = 3
# What is left of a caller's patience when an answer must be on its way.
ANSWER_MARGIN_S: Final = 0.02
OUTPUT_COST: Final = 8  # of a token made, in prompt tokens
SERVER_ERRORS: Final = 500
# Runners that turned a request away are full for about one run's time.
RETRY_REFUSED_S: Final = 0.3
MILLISECONDS: Final = 1000


@dataclass
class Job:
    """One request under way."""

    req: RawRequest
    facts: RequestFacts
    terms: Admitted
    ends_at: float  # monotonic; by then the caller has an answer
    excluded: frozenset[str] = frozenset()
    ran_on: int = 0  # runners that may have run it
    refusals: int = 0
    last_event: str = ''  # the newest that was passed on
    first_head: Head | None = None  # of the stream that was begun
    last_failure: Failure | None = None
    trail: list[str] = field(default_factory=list)  # runners it was sent to


@dataclass(frozen=True)
class Parts:
    """What serving a request needs."""

    book: Book
    intake: Intake
    placer: Placer
    channels: RunnerChannels
    dialect: Dialect
    resends: ResendBudget
    vm_count: Callable[[], int]
    event_tokens: Callable[[str], int]
    clock: Clock
    events: EventLog


class DirectService:
    """The handler of raw requests."""

    def __init__(self, parts: Parts) -> None:
        """Serve by these parts."""
        self._parts = parts
        self._behind: set[asyncio.Task[Reply]] = set()
        self.refusing = False  # a planned stop takes nothing new

    async def handle(self, req: RawRequest, responder: Responder) -> None:
        """Answer one request."""
        facts = self._parts.dialect.request_facts(req.headers)
        if self.refusing:
            reply = own_reply(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'this VM is stopping; nothing was run',
                0,
                close=True,
            )
            await responder.reply(reply)
            return
        await self._parts.book.completed(hold_s(facts))
        admitted = self._parts.intake.admit(req, facts)
        if isinstance(admitted, Reply):
            self._log_denied(facts, admitted, req)
            await responder.reply(admitted)
            return
        await self._serve(self._job(req, facts, admitted), responder)

    def _job(
        self, req: RawRequest, facts: RequestFacts, terms: Admitted
    ) -> Job:
        patience_s = terms.route.timeout_s
        if facts.patience_s is not None:
            patience_s = min(patience_s, facts.patience_s)
        self._parts.resends.requested(
            terms.service, self._parts.vm_count(), self._now()
        )
        return Job(req, facts, terms, req.received_at + patience_s)

    async def _serve(self, job: Job, responder: Responder) -> None:
        if job.terms.route.streaming:
            await self._serve_stream(job, responder)
            return
        if job.terms.route.may_repeat:
            reply = await self._plain(job)
        else:
            reply = await self._to_its_end(job)
        self._log_answer(job, reply.status)
        await responder.reply(reply)

    async def _to_its_end(self, job: Job) -> Reply:
        """Run what may run once to its end, also when its caller leaves.

        Cut off, it would be half done, and nobody could tell.
        """
        task = asyncio.create_task(self._plain(job))
        self._behind.add(task)
        task.add_done_callback(self._behind.discard)
        return await asyncio.shield(task)

    async def _plain(self, job: Job) -> Reply:
        """Send until there is an answer to pass on."""
        while True:
            placed = await self._place(job)
            if isinstance(placed, NoSlot):
                return self._no_slot(job, placed)
            outcome = await self._one_plain(job, placed)
            if isinstance(outcome, WholeAnswer):
                # A runner that fails requests may fail this one again.
                job.excluded |= {placed.runner.incarnation}
                if not self._worth_resending(job, outcome.head.status):
                    headers = self._parts.dialect.caller_headers(outcome.head)
                    return Reply(outcome.head.status, headers, outcome.body)
            else:
                job.last_failure = outcome
                if not self._may_resend(job, outcome):
                    return self._failed(job, outcome)

    async def _one_plain(
        self, job: Job, placed: Placement
    ) -> WholeAnswer | Failure:
        attempt = self._attempt(job, placed.runner)
        started = self._now()
        outcome: WholeAnswer | Failure = Failure(Fate.MAY_HAVE_RUN, 'left')
        try:
            async with asyncio.timeout(self._left(job)):
                head = await attempt.begin(self._outgoing(job, placed.runner))
                outcome = (
                    head
                    if isinstance(head, Failure)
                    else await attempt.whole(head)
                )
        except TimeoutError:
            fate = Fate.MAY_HAVE_RUN if attempt.sent else Fate.NOT_RUN
            outcome = Failure(fate, 'timeout')
        finally:
            attempt.cancel()
            self._give_back(job, placed, outcome, started, 0)
        return outcome

    async def _serve_stream(self, job: Job, responder: Responder) -> None:
        while True:
            placed = await self._place(job)
            if isinstance(placed, NoSlot):
                failure: Failure | None = None
                reply = self._no_slot(job, placed)
            else:
                failure = await self._one_stream(job, placed, responder)
                if failure is None:
                    self._log_answer(job, HTTPStatus.OK)
                    return
                job.last_failure = failure
                if self._may_resend(job, failure):
                    continue
                reply = self._failed(job, failure)
            self._log_answer(job, reply.status)
            if responder.begun:
                responder.tear()
                return
            await responder.reply(reply)
            return

    async def _one_stream(
        self, job: Job, placed: Placement, responder: Responder
    ) -> Failure | None:
        """Pass a stream on; `None` once the caller has its final answer."""
        attempt = self._attempt(job, placed.runner)
        started = self._now()
        relay = _Relay(job, responder, self._parts, placed)
        outcome: Failure | None = Failure(Fate.MAY_HAVE_RUN, 'left')
        try:
            async with asyncio.timeout(self._left(job)):
                head = await attempt.begin(self._outgoing(job, placed.runner))
                if isinstance(head, Failure):
                    outcome = head
                else:
                    outcome = await relay.run(attempt, head)
        except TimeoutError:
            fate = Fate.MAY_HAVE_RUN if attempt.sent else Fate.NOT_RUN
            outcome = Failure(fate, 'timeout')
        finally:
            attempt.cancel()
            self._give_back(job, placed, outcome, started, relay.count)
        return outcome

    async def _place(self, job: Job) -> Placement | NoSlot:
        ask = self._ask(job)
        try:
            async with asyncio.timeout(self._left(job)):
                placed = await self._parts.placer.place(ask)
        except TimeoutError:
            return NoSlot('timeout', 0)
        if isinstance(placed, Placement):
            job.trail.append(placed.runner.name)
            self._parts.events.record(
                'placed',
                req=job.facts.attempt_id,
                service=job.terms.service,
                runner=placed.runner.name,
                owner=placed.owner.vm if placed.owner else 'own',
                waited_ms=self._ms_since(job.req.received_at),
            )
        return placed

    def _ask(self, job: Job) -> Ask:
        facts = job.facts
        output = facts.likely_output or facts.most_output
        return Ask(
            request_id=self._parts.placer.next_id(),
            service=job.terms.service,
            tier=job.terms.tier,
            workspace=job.terms.workspace,
            cost=float(max(facts.prompt_tokens + output * OUTPUT_COST, 1)),
            prompt_tokens=facts.prompt_tokens,
            prefixes=(),
            deadline=job.ends_at,
            cancellable=False,
            excluded=job.excluded,
        )

    def _attempt(self, job: Job, runner: RunnerEntry) -> Attempt:
        return Attempt(
            self._parts.channels,
            self._parts.dialect,
            runner,
            job.facts.attempt_id,
        )

    def _outgoing(self, job: Job, runner: RunnerEntry) -> Outgoing:
        onward = Onward(
            runner,
            job.terms.workspace,
            max(job.ends_at - self._now(), 0),
            job.last_event or job.facts.resume_after,
        )
        headers = self._parts.dialect.runner_headers(job.req.headers, onward)
        return Outgoing(job.req.method, job.req.target, headers, job.req.body)

    def _give_back(
        self,
        job: Job,
        placed: Placement,
        outcome: WholeAnswer | Failure | None,
        started: float,
        events: int,
    ) -> None:
        failure = outcome if isinstance(outcome, Failure) else None
        if failure is None or failure.fate is Fate.MAY_HAVE_RUN:
            job.ran_on += 1
        if failure is not None:
            job.excluded |= {placed.runner.incarnation}
            self._parts.events.record(
                'try_failed',
                req=job.facts.attempt_id,
                runner=placed.runner.name,
                fate=failure.fate,
                why=failure.reason,
            )
        made = events * self._parts.event_tokens(job.terms.service)
        report = RunReport(
            'failed' if failure else 'done',
            refused=bool(failure and failure.full),
            crashed=bool(failure and failure.unreachable),
            prompt_tokens=job.facts.prompt_tokens,
            completion_tokens=made or 1,
            seconds=self._now() - started,
        )
        self._parts.placer.ended(placed, report)

    def _worth_resending(self, job: Job, status: int) -> bool:
        if status < SERVER_ERRORS or not job.terms.route.may_repeat:
            return False
        return self._within_bounds(job)

    def _may_resend(self, job: Job, failure: Failure) -> bool:
        if failure.fate is Fate.NOT_RUN:
            job.refusals += 1
            if job.refusals >= MOST_REFUSALS or self._left(job) <= 0:
                return False
            if failure.unreachable:
                return True  # nothing arrived anywhere, so nothing is spent
            return self._spend(job)
        return job.terms.route.may_repeat and self._within_bounds(job)

    def _within_bounds(self, job: Job) -> bool:
        return (
            job.ran_on < job.terms.route.most_runners
            and self._left(job) > ANSWER_MARGIN_S
            and self._spend(job)
        )

    def _spend(self, job: Job) -> bool:
        return self._parts.resends.spend(
            job.terms.service, self._parts.vm_count(), self._now()
        )

    def _no_slot(self, job: Job, refusal: NoSlot) -> Reply:
        if job.ran_on:
            return own_reply(
                HTTPStatus.BAD_GATEWAY,
                'a runner failed it and no other was free; it may have run',
            )
        self._parts.intake.give_back(job.terms)
        return own_reply(
            HTTPStatus.SERVICE_UNAVAILABLE,
            f'{refusal.reason}; nothing was run',
            refusal.retry_after_s,
        )

    def _failed(self, job: Job, failure: Failure) -> Reply:
        if job.ran_on:
            status = (
                HTTPStatus.GATEWAY_TIMEOUT
                if failure.reason == 'timeout'
                else HTTPStatus.BAD_GATEWAY
            )
            return own_reply(status, f'{failure.reason}; it may have run')
        return self._no_slot(job, NoSlot(failure.reason, RETRY_REFUSED_S))

    def _left(self, job: Job) -> float:
        return job.ends_at - self._now()

    def _now(self) -> float:
        return self._parts.clock.monotonic()

    def _ms_since(self, moment: float) -> int:
        return int((self._now() - moment) * MILLISECONDS)

    def _log_denied(
        self, facts: RequestFacts, reply: Reply, req: RawRequest
    ) -> None:
        self._parts.events.record(
            'denied',
            req=facts.attempt_id,
            status=reply.status,
            path=req.path,
            why=reply.body.decode(),
        )

    def _log_answer(self, job: Job, status: int) -> None:
        failure = job.last_failure
        self._parts.events.record(
            'answered',
            req=job.facts.attempt_id,
            route=job.terms.route.name,
            workspace=job.terms.workspace,
            tier=int(job.terms.tier),
            status=int(status),
            runners=','.join(job.trail),
            why=failure.reason if failure else '',
            ms=self._ms_since(job.req.received_at),
        )


class _Relay:
    """Passes one runner's stream on to the caller."""

    def __init__(
        self, job: Job, responder: Responder, parts: Parts, placed: Placement
    ) -> None:
        self._job = job
        self._responder = responder
        self._parts = parts
        self._placed = placed
        self.count = 0  # events that came

    async def run(self, attempt: Attempt, head: Head) -> Failure | None:
        if head.status >= HTTPStatus.MULTIPLE_CHOICES:
            return await self._pass_whole(attempt, head)
        try:
            async with aclosing(attempt.events()) as events:
                async for event in events:
                    await self._pass(head, event)
        except BrokenStreamError as exc:
            return Failure(Fate.MAY_HAVE_RUN, f'the stream broke: {exc}')
        attempt.finish()
        if not self._responder.begun:
            await self._begin(head)
        await self._responder.end()
        return None

    async def _pass_whole(self, attempt: Attempt, head: Head) -> Failure | None:
        """Pass on a failure of the runner's own."""
        answer = await attempt.whole(head)
        if isinstance(answer, Failure):
            return answer
        if self._responder.begun:
            return Failure(Fate.MAY_HAVE_RUN, f'resumed: {head.status}')
        headers = self._parts.dialect.caller_headers(head)
        await self._responder.reply(Reply(head.status, headers, answer.body))
        return None

    async def _pass(self, head: Head, event: Event) -> None:
        if not self.count:
            self._parts.placer.filled(self._placed)
        self.count += 1
        # The head waits for the first event: until then a failure can still
        # be answered as what it is.
        if not self._responder.begun:
            await self._begin(head)
        if _is_repeat(event, self._job.last_event):
            return
        await self._responder.part(event.raw)
        self._job.last_event = event.number or self._job.last_event

    async def _begin(self, head: Head) -> None:
        headers = self._parts.dialect.caller_headers(head)
        await self._responder.stream(head.status, headers)


def _is_repeat(event: Event, last: str) -> bool:
    if not (event.number.isdecimal() and last.isdecimal()):
        return False
    return int(event.number) <= int(last)
