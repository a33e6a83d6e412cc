"""Handles a request of the raw path from its arrival to its answer."""

import asyncio
from functools import partial
from http import HTTPStatus
from typing import Final

from bramleybend.direct.admission import Admission
from bramleybend.direct.attempt import Failure, WholeAnswer
from bramleybend.direct.attempt_dispatcher import (
    CALLER_LEFT,
    REFUSED_RETRY_AFTER_S,
    AttemptDispatcher,
    timeout_failure,
)
from bramleybend.direct.job import Components, Job
from bramleybend.direct.models import RequestMetadata
from bramleybend.direct.placement import NoSlot, Placement
from bramleybend.direct.relay import StreamRelay
from bramleybend.direct.replies import RawRequest, Reply, own_reply
from bramleybend.direct.responder import Responder
from bramleybend.direct.try_charges import TryCharges

MS_PER_SECOND: Final = 1000
UNKNOWN_ORIGIN: Final = NoSlot(
    'the version that began the stream is not known', retry_after_s=None
)
MIN_SERVER_ERROR_STATUS: Final = 500  # a runner answered with a failure


class RequestHandler:
    """Admits requests, runs them on runners and answers their callers."""

    def __init__(self, components: Components) -> None:
        """Create a handler that uses the given components."""
        self._components = components
        self._dispatcher = AttemptDispatcher(components)
        self._charges = TryCharges(components)
        self._background_tasks: set[asyncio.Task[Reply]] = set()
        self.is_shutting_down = False  # set during a planned stop

    async def handle(self, req: RawRequest, responder: Responder) -> None:
        """Admit and serve one request, or answer why it was rejected."""
        if self.is_shutting_down:
            await responder.send_reply(_shutdown_reply())
            return
        facts = self._components.header_codec.request_facts(req.headers)
        await self._components.admission_control.wait_until_informed(facts)
        admission = self._components.admission_control.admit(req, facts)
        if isinstance(admission, Reply):
            self._record_denied(facts.attempt_id, req.path, admission)
            await responder.send_reply(admission)
            return
        job = self._make_job(req, facts, admission)
        try:
            await self._serve(job, responder)
        except asyncio.CancelledError:
            self._record_caller_left(job)
            raise
        finally:
            self._charges.refund_unused(job)

    def record_unreadable(self, reply: Reply) -> None:
        """Log and count a request that the ingress could not read."""
        self._record_denied('', '', reply)

    def _make_job(
        self, req: RawRequest, facts: RequestMetadata, admission: Admission
    ) -> Job:
        if admission.charge.is_beyond:
            self._components.events.record(
                'beyond_allotment',
                req=facts.attempt_id,
                workspace=admission.workspace,
                units=int(admission.charge.units),
            )
        timeout_s = admission.route.timeout_s
        if facts.timeout_s is not None:
            timeout_s = min(timeout_s, facts.timeout_s)
        self._components.resend_budget.record_request(
            admission.service,
            self._components.vm_count(),
            self._dispatcher.now(),
        )
        content = self._components.containment.identify(req, facts)
        answer_due_at = req.received_at + timeout_s
        return Job(
            req,
            facts,
            admission,
            answer_due_at,
            content,
            charges=[admission.charge],
        )

    async def _serve(self, job: Job, responder: Responder) -> None:
        if self._components.containment.is_refused(job.content):
            reply = self._dispatcher.quarantined_reply(job)
            self._record_denied(job.facts.attempt_id, job.req.path, reply)
            await responder.send_reply(reply)
        elif job.admission.route.streaming:
            await self._serve_stream(job, responder)
        else:
            await self._serve_buffered(job, responder)

    async def _serve_buffered(self, job: Job, responder: Responder) -> None:
        if job.admission.route.can_run_again:
            reply = await self._run_buffered(job)
        else:
            reply = await self._run_uncancelled(job)
        self._record_answer(job, reply.status, reply.reason)
        await responder.send_reply(reply)

    async def _run_uncancelled(self, job: Job) -> Reply:
        """Run a non-idempotent request to its end even if its caller leaves.

        Cancelling it at a runner could leave it half done, and nobody could
        tell whether it took effect. A request that is not at a runner yet is
        cancelled.
        """
        task = asyncio.create_task(self._run_buffered(job))
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            job.caller_left_at = self._dispatcher.now()
            if not job.may_be_running:
                task.cancel()
            raise

    async def _run_buffered(self, job: Job) -> Reply:
        """Run the request on one runner after another until one answers it."""
        while True:
            placement = await self._acquire_slot(job)
            if isinstance(placement, NoSlot):
                return self._dispatcher.no_slot_reply(job, placement)
            outcome = await self._try_buffered(job, placement)
            if isinstance(outcome, Failure):
                job.last_failure = outcome
                if not self._dispatcher.take_retry(job, outcome):
                    return self._dispatcher.failure_reply(job, outcome)
            elif not self._should_rerun(job, outcome.head.status):
                headers = self._components.header_codec.caller_headers(
                    outcome.head
                )
                return Reply(outcome.head.status, headers, outcome.body)

    async def _try_buffered(
        self, job: Job, placement: Placement
    ) -> WholeAnswer | Failure:
        attempt = self._dispatcher.make_attempt(job, placement)
        started_at = self._dispatcher.now()
        outcome: WholeAnswer | Failure = CALLER_LEFT
        try:
            async with asyncio.timeout(self._dispatcher.remaining_s(job)):
                head = await attempt.send(
                    partial(
                        self._dispatcher.make_outgoing, job, placement.runner
                    ),
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
            self._dispatcher.finish_attempt(job, placement, outcome, started_at)
        return outcome

    async def _serve_stream(self, job: Job, responder: Responder) -> None:
        if await self._has_known_version(job):
            reply = await self._run_stream(job, responder)
        else:
            reply = self._dispatcher.no_slot_reply(job, UNKNOWN_ORIGIN)
        passed_on = job.runner_error_status or HTTPStatus.OK
        if reply is None:
            self._record_answer(job, passed_on)
            return
        self._record_answer(job, reply.status, reply.reason)
        if responder.has_begun:
            # Part of the answer was already sent, so the connection is closed
            # without the end of the message: the caller must not take it for
            # complete.
            responder.end_incomplete()
        else:
            await responder.send_reply(reply)

    async def _has_known_version(self, job: Job) -> bool:
        """Find at which version a stream that is taken up must go on."""
        if not (job.may_be_resumed and job.facts.last_event_id):
            return True
        admission = job.admission
        job.version = await self._components.origins.find_version(
            job.facts.resumed_attempt, admission.workspace, admission.service
        )
        if job.version is None:
            self._components.events.record(
                'stream_origin_unknown',
                req=job.facts.attempt_id,
                resumes=job.facts.resumed_attempt,
                versions=','.join(
                    self._components.versions.recent(admission.service)
                ),
            )
        return job.version is not None

    async def _run_stream(self, job: Job, responder: Responder) -> Reply | None:
        """Relay the stream to its end; return an error reply if that fails."""
        while True:
            placement = await self._acquire_slot(job)
            if isinstance(placement, NoSlot):
                return self._dispatcher.no_slot_reply(job, placement)
            failure = await self._try_stream(job, placement, responder)
            if failure is None:
                return None
            job.last_failure = failure
            if not self._dispatcher.take_retry(job, failure):
                return self._dispatcher.failure_reply(job, failure)

    async def _try_stream(
        self, job: Job, placement: Placement, responder: Responder
    ) -> Failure | None:
        attempt = self._dispatcher.make_attempt(job, placement)
        started_at = self._dispatcher.now()
        relay = StreamRelay(
            job,
            responder,
            self._components.header_codec,
            self._components.placer,
            self._components.versions,
            placement,
            self._components.clock,
        )
        outcome: Failure | None = CALLER_LEFT
        try:
            async with asyncio.timeout(self._dispatcher.remaining_s(job)):
                head = await attempt.send(
                    partial(
                        self._dispatcher.make_outgoing, job, placement.runner
                    ),
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
            self._dispatcher.finish_attempt(
                job, placement, outcome, started_at, relay.event_count
            )
        return outcome

    async def _acquire_slot(self, job: Job) -> Placement | NoSlot:
        try:
            async with asyncio.timeout(
                self._dispatcher.remaining_for_slot_s(job)
            ):
                await self._charges.charge(job)
                return await self._dispatcher.acquire_slot(job)
        except TimeoutError:
            return NoSlot('no slot came free in time', REFUSED_RETRY_AFTER_S)

    def _should_rerun(self, job: Job, status: int) -> bool:
        if status < MIN_SERVER_ERROR_STATUS:
            return False
        job.runner_error_status = status
        if not job.admission.route.can_run_again:
            return False
        return self._dispatcher.take_rerun(job)

    def _record_denied(self, attempt_id: str, path: str, reply: Reply) -> None:
        self._components.meters.count('denied', int(reply.status))
        self._components.events.record(
            'denied',
            req=attempt_id,
            status=int(reply.status),
            path=path,
            why=reply.reason,
            **reply.inputs,
        )

    def _record_answer(self, job: Job, status: int, reason: str = '') -> None:
        self._update_answer_meters(job, status)
        failure = job.last_failure
        first_at = job.first_event_at
        self._components.events.record(
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
            else int((first_at - job.req.received_at) * MS_PER_SECOND),
            ms=self._dispatcher.ms_since(job.req.received_at),
        )

    def _record_caller_left(self, job: Job) -> None:
        job.caller_left_at = self._dispatcher.now()
        stage = 'placed' if job.tried_runners else 'queued'
        self._components.meters.count(
            'callers_left', job.admission.service, stage
        )
        self._components.events.record(
            'caller_left',
            req=job.facts.attempt_id,
            stage=stage,
            runners=','.join(job.tried_runners),
            ms=self._dispatcher.ms_since(job.req.received_at),
        )

    def _update_answer_meters(self, job: Job, status: int) -> None:
        meters = self._components.meters
        service, tier = job.admission.service, int(job.admission.tier)
        cause = job.last_failure.run_status if job.last_failure else 'none'
        meters.count('answers', service, tier, int(status), cause)
        elapsed_s = self._dispatcher.now() - job.req.received_at
        meters.observe('answer_seconds', elapsed_s, service, tier)
        if job.first_event_at is not None:
            elapsed_s = job.first_event_at - job.req.received_at
            meters.observe('first_event_seconds', elapsed_s, service, tier)


def _shutdown_reply() -> Reply:
    return own_reply(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'this VM is stopping; nothing was run',
        0,
        must_close=True,
    )
