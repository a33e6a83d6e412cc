"""Handles a request of the raw path from its arrival to its answer."""

import asyncio
from functools import partial
from http import HTTPStatus
from typing import Final

from bramleybend.direct.admission import Admission
from bramleybend.direct.attempt import TIMEOUT, Failure, WholeAnswer
from bramleybend.direct.attempt_dispatcher import (
    CALLER_LEFT,
    REFUSED_RETRY_AFTER_S,
    AttemptDispatcher,
    timeout_failure,
)
from bramleybend.direct.deadlines import Deadlines
from bramleybend.direct.job import Components, Job
from bramleybend.direct.models import RequestMetadata
from bramleybend.direct.placement import NoSlot, Placement
from bramleybend.direct.relay import StreamRelay
from bramleybend.direct.replies import RawRequest, Reply, own_reply
from bramleybend.direct.request_log import RequestLog
from bramleybend.direct.responder import Responder
from bramleybend.direct.try_charges import TryCharges

UNKNOWN_ORIGIN: Final = NoSlot(
    'the version that began the stream is not known', retry_after_s=None
)
STOPPING: Final = 'this VM is stopping'
MIN_SERVER_ERROR_STATUS: Final = 500  # a runner answered with a failure


class RequestHandler:
    """Admits requests, runs them on runners and answers their callers."""

    def __init__(self, components: Components) -> None:
        """Create a handler that uses the given components."""
        self._components = components
        self._dispatcher = AttemptDispatcher(components)
        self._charges = TryCharges(components)
        self._log = RequestLog(components)
        self._background_tasks: set[asyncio.Task[Reply]] = set()
        self._is_shutting_down = False
        self._slot_waits = Deadlines()
        self._runs = Deadlines()

    async def handle(self, req: RawRequest, responder: Responder) -> None:
        """Admit and serve one request, or answer why it was rejected."""
        if self._is_shutting_down:
            await responder.send_reply(_shutdown_reply())
            return
        facts = self._components.header_codec.request_facts(req.headers)
        await self._components.admission_control.wait_until_informed(facts)
        admission = self._components.admission_control.admit(req, facts)
        if isinstance(admission, Reply):
            self._log.record_denied(facts.attempt_id, req.path, admission)
            await responder.send_reply(admission)
            return
        job = self._make_job(req, facts, admission)
        try:
            await self._serve(job, responder)
        except asyncio.CancelledError:
            job.caller_left_at = self._dispatcher.now()
            self._log.record_caller_left(job)
            raise
        finally:
            self._charges.refund_unused(job)

    def shut_down(self, place_for_s: float) -> None:
        """Reject new requests, and those that get no slot within a time."""
        self._is_shutting_down = True
        self._slot_waits.end_within(place_for_s)

    def end_runs(self) -> None:
        """Answer the requests that are still at runners.

        They may have run; one of which nothing was relayed yet is told so.
        """
        self._runs.end_within(0)

    def record_unreadable(self, reply: Reply) -> None:
        """Log and count a request that the ingress could not read."""
        self._log.record_denied('', '', reply)

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
            self._log.record_denied(job.facts.attempt_id, job.req.path, reply)
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
        self._log.record_answer(job, reply.status, reply.reason)
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
            async with self._runs.limit(self._dispatcher.remaining_s(job)):
                head = await attempt.send(
                    partial(self._dispatcher.make_outgoing, job, placement),
                    job.next_event_due_at,
                )
                if isinstance(head, Failure):
                    outcome = head
                else:
                    job.framing = head.framing
                    outcome = await attempt.read_whole(head)
        except TimeoutError:
            outcome = timeout_failure(
                attempt, STOPPING if self._runs.has_ended else TIMEOUT
            )
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
            self._log.record_answer(job, passed_on)
            return
        self._log.record_answer(job, reply.status, reply.reason)
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
            async with self._runs.limit(self._dispatcher.remaining_s(job)):
                head = await attempt.send(
                    partial(self._dispatcher.make_outgoing, job, placement),
                    job.next_event_due_at,
                )
                outcome = (
                    head
                    if isinstance(head, Failure)
                    else await relay.run(attempt, head)
                )
        except TimeoutError:
            outcome = timeout_failure(
                attempt, STOPPING if self._runs.has_ended else TIMEOUT
            )
        finally:
            attempt.drop_connection()
            self._dispatcher.finish_attempt(
                job, placement, outcome, started_at, relay.event_count
            )
        return outcome

    async def _acquire_slot(self, job: Job) -> Placement | NoSlot:
        try:
            async with self._slot_waits.limit(
                self._dispatcher.remaining_for_slot_s(job)
            ):
                await self._charges.charge(job)
                return await self._dispatcher.acquire_slot(job)
        except TimeoutError:
            if self._slot_waits.has_ended:
                return NoSlot(STOPPING, retry_after_s=0)
            return NoSlot('no slot came free in time', REFUSED_RETRY_AFTER_S)

    def _should_rerun(self, job: Job, status: int) -> bool:
        if status < MIN_SERVER_ERROR_STATUS:
            return False
        job.runner_error_status = status
        if not job.admission.route.can_run_again:
            return False
        return self._dispatcher.take_rerun(job)


def _shutdown_reply() -> Reply:
    return own_reply(
        HTTPStatus.SERVICE_UNAVAILABLE,
        f'{STOPPING}; nothing was run',
        0,
        must_close=True,
    )
