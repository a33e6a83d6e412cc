"""Serves one request of the raw path from its arrival to its answer."""

import asyncio
from functools import partial
from http import HTTPStatus
from typing import Final

from bramleybend.direct.attempt import Failure, WholeAnswer
from bramleybend.direct.intake import Admission, manifest_wait_s
from bramleybend.direct.job import Components, Job
from bramleybend.direct.models import RequestFacts
from bramleybend.direct.placing import NoSlot, Placement
from bramleybend.direct.relay import StreamRelay
from bramleybend.direct.replies import RawRequest, Reply, own_reply
from bramleybend.direct.responder import Responder
from bramleybend.direct.tries import (
    CALLER_LEFT,
    REFUSED_RETRY_AFTER_S,
    AttemptDispatcher,
    timeout_failure,
)

MILLISECONDS: Final = 1000
SERVER_ERRORS: Final = 500  # statuses from here on tell of a runner's failure


class RequestHandler:
    """The handler of raw requests."""

    def __init__(self, parts: Components) -> None:
        """Serve by these parts."""
        self._parts = parts
        self._tries = AttemptDispatcher(parts)
        self._behind: set[asyncio.Task[Reply]] = set()
        self.is_shutting_down = False  # a planned stop takes nothing new

    async def handle(self, req: RawRequest, responder: Responder) -> None:
        """Answer one request."""
        if self.is_shutting_down:
            await responder.send_reply(_stopping())
            return
        facts = self._parts.dialect.request_facts(req.headers)
        await self._parts.book.wait_until_complete(manifest_wait_s(facts))
        admitted = self._parts.intake.admit(req, facts)
        if isinstance(admitted, Reply):
            self._note_denied(facts.attempt_id, req.path, admitted)
            await responder.send_reply(admitted)
            return
        job = self._job(req, facts, admitted)
        if self._parts.containment.is_refused(job.fingerprint):
            reply = self._tries.quarantined_reply(job)
            self._note_denied(facts.attempt_id, req.path, reply)
            await responder.send_reply(reply)
            return
        try:
            await self._serve(job, responder)
        except asyncio.CancelledError:
            self._note_left(job)
            raise

    def record_unreadable(self, reply: Reply) -> None:
        """Log and count a request that the ingress could not read."""
        self._note_denied('', '', reply)

    def _job(
        self, req: RawRequest, facts: RequestFacts, terms: Admission
    ) -> Job:
        if terms.is_beyond:
            self._parts.events.record(
                'beyond_allotment',
                req=facts.attempt_id,
                workspace=terms.workspace,
                units=int(terms.units),
            )
        patience_s = terms.route.timeout_s
        if facts.patience_s is not None:
            patience_s = min(patience_s, facts.patience_s)
        self._parts.resends.requested(
            terms.service, self._parts.vm_count(), self._tries.now()
        )
        fingerprint = self._parts.containment.fingerprint(req, facts)
        ends_at = req.received_at + patience_s
        return Job(req, facts, terms, ends_at, fingerprint)

    async def _serve(self, job: Job, responder: Responder) -> None:
        if job.admission.route.streaming:
            await self._serve_stream(job, responder)
        else:
            await self._serve_plain(job, responder)

    async def _serve_plain(self, job: Job, responder: Responder) -> None:
        if job.admission.route.may_repeat:
            reply = await self._plain(job)
        else:
            reply = await self._to_its_end(job)
        self._log_answer(job, reply.status, reply.reason)
        await responder.send_reply(reply)

    async def _to_its_end(self, job: Job) -> Reply:
        """Run what may run once to its end, also when its caller leaves.

        Cut off at a runner, it would be half done, and nobody could tell.
        """
        task = asyncio.create_task(self._plain(job))
        self._behind.add(task)
        task.add_done_callback(self._behind.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            job.caller_left_at = self._tries.now()
            if not job.may_be_running:
                task.cancel()
            raise

    async def _plain(self, job: Job) -> Reply:
        """Send until there is an answer to pass on."""
        while True:
            placed = await self._place(job)
            if isinstance(placed, NoSlot):
                return self._tries.no_slot_reply(job, placed)
            outcome = await self._one_plain(job, placed)
            if isinstance(outcome, Failure):
                job.last_failure = outcome
                if not self._tries.take_retry(job, outcome):
                    return self._tries.failure_reply(job, outcome)
            elif not self._worth_resending(job, outcome.head.status):
                headers = self._parts.dialect.caller_headers(outcome.head)
                return Reply(outcome.head.status, headers, outcome.body)

    async def _one_plain(
        self, job: Job, placed: Placement
    ) -> WholeAnswer | Failure:
        attempt = self._tries.make_attempt(job, placed)
        started = self._tries.now()
        outcome: WholeAnswer | Failure = CALLER_LEFT
        try:
            async with asyncio.timeout(self._tries.remaining_s(job)):
                head = await attempt.send(
                    partial(self._tries.make_outgoing, job, placed.runner),
                    job.next_event_due_at,
                )
                if isinstance(head, Failure):
                    outcome = head
                else:
                    job.framing = head.framing
                    outcome = await attempt.read_whole(head)
        except TimeoutError:
            outcome = timeout_failure(attempt)
        finally:
            attempt.drop_connection()
            self._tries.finish_attempt(job, placed, outcome, started)
        return outcome

    async def _serve_stream(self, job: Job, responder: Responder) -> None:
        reply = await self._stream(job, responder)
        passed_on = job.runner_error_status or HTTPStatus.OK
        if reply is None:
            self._log_answer(job, passed_on)
            return
        self._log_answer(job, reply.status, reply.reason)
        if responder.has_begun:
            # Part of an answer is out: ended here, it must not look whole.
            responder.end_incomplete()
        else:
            await responder.send_reply(reply)

    async def _stream(self, job: Job, responder: Responder) -> Reply | None:
        """Relay until the stream is whole; else return why it isn't."""
        while True:
            placed = await self._place(job)
            if isinstance(placed, NoSlot):
                return self._tries.no_slot_reply(job, placed)
            failure = await self._one_stream(job, placed, responder)
            if failure is None:
                return None
            job.last_failure = failure
            if not self._tries.take_retry(job, failure):
                return self._tries.failure_reply(job, failure)

    async def _one_stream(
        self, job: Job, placed: Placement, responder: Responder
    ) -> Failure | None:
        attempt = self._tries.make_attempt(job, placed)
        started = self._tries.now()
        relay = StreamRelay(
            job,
            responder,
            self._parts.dialect,
            self._parts.placer,
            placed,
            self._parts.clock,
        )
        outcome: Failure | None = CALLER_LEFT
        try:
            async with asyncio.timeout(self._tries.remaining_s(job)):
                head = await attempt.send(
                    partial(self._tries.make_outgoing, job, placed.runner),
                    job.next_event_due_at,
                )
                outcome = (
                    head
                    if isinstance(head, Failure)
                    else await relay.run(attempt, head)
                )
        except TimeoutError:
            outcome = timeout_failure(attempt)
        finally:
            attempt.drop_connection()
            self._tries.finish_attempt(
                job, placed, outcome, started, relay.event_count
            )
        return outcome

    async def _place(self, job: Job) -> Placement | NoSlot:
        try:
            async with asyncio.timeout(self._tries.remaining_for_slot_s(job)):
                return await self._tries.acquire_slot(job)
        except TimeoutError:
            return NoSlot('no slot came free in time', REFUSED_RETRY_AFTER_S)

    def _worth_resending(self, job: Job, status: int) -> bool:
        if status < SERVER_ERRORS:
            return False
        job.runner_error_status = status
        if not job.admission.route.may_repeat:
            return False
        return self._tries.take_rerun(job)

    def _note_denied(self, attempt_id: str, path: str, reply: Reply) -> None:
        self._parts.meters.count('denied', int(reply.status))
        self._parts.events.record(
            'denied',
            req=attempt_id,
            status=int(reply.status),
            path=path,
            why=reply.reason,
            **reply.inputs,
        )

    def _log_answer(self, job: Job, status: int, reason: str = '') -> None:
        self._count_answer(job, status)
        failure = job.last_failure
        first_at = job.first_event_at
        self._parts.events.record(
            'answered',
            req=job.facts.attempt_id,
            route=job.admission.route.name,
            workspace=job.admission.workspace,
            tier=int(job.admission.tier),
            work=int(job.facts.expected_work),
            status=int(status),
            runners=','.join(job.tried_runners),
            why=failure.reason if failure else reason,
            framing=job.framing,
            cut_bytes=job.cut_bytes,
            first_event_ms=''
            if first_at is None
            else int((first_at - job.req.received_at) * MILLISECONDS),
            ms=self._tries.ms_since(job.req.received_at),
        )

    def _note_left(self, job: Job) -> None:
        job.caller_left_at = self._tries.now()
        if not (job.possible_runs or job.may_be_running):
            self._tries.refund_allotment(job)
        stage = 'placed' if job.tried_runners else 'queued'
        self._parts.meters.count('callers_left', job.admission.service, stage)
        self._parts.events.record(
            'caller_left',
            req=job.facts.attempt_id,
            stage=stage,
            runners=','.join(job.tried_runners),
            ms=self._tries.ms_since(job.req.received_at),
        )

    def _count_answer(self, job: Job, status: int) -> None:
        meters = self._parts.meters
        service, tier = job.admission.service, int(job.admission.tier)
        cause = job.last_failure.run_status if job.last_failure else 'none'
        meters.count('answers', service, tier, int(status), cause)
        passed = self._tries.now() - job.req.received_at
        meters.observe('answer_seconds', passed, service, tier)
        if job.first_event_at is not None:
            passed = job.first_event_at - job.req.received_at
            meters.observe('first_event_seconds', passed, service, tier)


def _stopping() -> Reply:
    return own_reply(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'this VM is stopping; nothing was run',
        0,
        close=True,
    )
