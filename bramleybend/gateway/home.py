"""A home: only it may dispatch the request ids minted under its tickets.

A gateway has one current home. When another VM has taken that home for dead
and sealed its journal, the gateway opens a new one. The old home gives out no
more tickets and dispatches nothing that needs an intent in its journal, but
still answers for the ids that it knows.
"""

import asyncio
from dataclasses import replace
from datetime import timedelta
from functools import partial
from typing import Final

from result import Err, Ok

from bramleybend.answers import (
    Answer,
    Outcome,
    answer_expired,
    answer_not_run,
    answer_rejected,
)
from bramleybend.events import MILLISECONDS, EventLog
from bramleybend.gateway.dispatcher import Dispatcher
from bramleybend.gateway.job import DispatchDeps, Job
from bramleybend.gateway.journal_writer import JournalWriter
from bramleybend.gateway.request_checks import check_terms
from bramleybend.gateway.run import CallerRequest, Run, finish_on_fault
from bramleybend.metrics import Metric
from bramleybend.models import JournalMode, Profile, Terms
from bramleybend.state.id_table import Expired, Full, IdTable, Known
from bramleybend.state.journal_records import encode_intent, encode_outcome
from bramleybend.state.tickets import RequestId, Ticket, dispatch_mode

LOG_RETRY_AFTER: Final = timedelta(seconds=2)
NEW_TICKET_RETRY_AFTER: Final = timedelta(seconds=1)


class Home:
    """The request ids of one incarnation, with their runs and the journal."""

    def __init__(
        self,
        ticket: Ticket,
        ids: IdTable[Run],
        journal: JournalWriter,
        deps: DispatchDeps,
    ) -> None:
        """Start a home for the ticket's incarnation; `ids` starts empty."""
        self.incarnation = ticket.incarnation
        self.journal = journal
        self.run_tasks: set[asyncio.Task[None]] = set()
        self._ticket = ticket
        self._ids = ids
        self._deps = deps
        self._dispatcher = Dispatcher(deps)

    @property
    def events(self) -> EventLog:
        """The gateway's event log."""
        return self._deps.events

    def make_ticket(self, *, intent_first: bool) -> Ticket:
        """Return a ticket of the current epoch, for callers to mint ids."""
        epoch = self._ids.current_epoch(self._deps.clock.monotonic())
        return Ticket(
            self._ticket.address,
            self._ticket.port,
            self.incarnation,
            epoch,
            intent_first=intent_first,
        )

    def find_run(self, request_id: RequestId) -> Run | None:
        """Return the run of an id; None for an id that is not known."""
        seen = self._ids.lookup(request_id, self._deps.clock.monotonic())
        return seen.entry if isinstance(seen, Known) else None

    def expired_answer(self, request_id: RequestId) -> Answer | None:
        """Return `expired` for an id too old to know whether it has run."""
        seen = self._ids.lookup(request_id, self._deps.clock.monotonic())
        return (
            answer_expired(seen.reason) if isinstance(seen, Expired) else None
        )

    def submit(
        self,
        request_id: RequestId,
        req: CallerRequest,
        terms: Terms,
    ) -> Run | Answer:
        """Return the run of a known id or start one; an answer if neither."""
        known_run = self.find_run(request_id)
        if known_run is not None:
            return _join_run(known_run, req)
        checked = check_terms(req, terms)
        match checked:
            case Err(answer):
                return answer
            case Ok(profile):
                return self._start_run(request_id, req, terms, profile)
        raise AssertionError(checked)

    def _start_run(
        self,
        request_id: RequestId,
        req: CallerRequest,
        terms: Terms,
        profile: Profile,
    ) -> Run | Answer:
        # The profile's timeout limits the deadline, so that a mistake in a
        # caller's deadline doesn't hold a slot for a day.
        max_deadline = (
            self._deps.clock.monotonic() + profile.timeout.total_seconds()
        )
        run = Run(replace(req, deadline=min(req.deadline, max_deadline)))
        added = self._ids.add(request_id, run, self._deps.clock.monotonic())
        if isinstance(added, Expired):
            return answer_expired(added.reason)
        if isinstance(added, Full):
            return answer_not_run(
                'this VM holds too many ids', NEW_TICKET_RETRY_AFTER
            )
        job = Job(run, profile, terms.services[profile.service])
        started_at = self._deps.clock.monotonic()
        run.on_first_data = partial(
            self._record_duration,
            Metric.FIRST_TOKEN,
            job,
            started_at,
        )
        task = asyncio.create_task(self._execute(request_id, job))
        self.run_tasks.add(task)
        task.add_done_callback(self.run_tasks.discard)
        task.add_done_callback(partial(finish_on_fault, run, self.events))
        return run

    async def _execute(self, request_id: RequestId, job: Job) -> None:
        """Run the job to its outcome and write that to the journal."""
        started_at = self._deps.clock.monotonic()
        self._deps.metrics.count(
            Metric.ACCEPTED,
            tier=int(job.profile.tier),
        )
        self.events.record(
            'accepted',
            job.request_id,
            tier=int(job.profile.tier),
            profile=job.profile.name,
            workspace=job.run.req.workspace,
        )
        answer = await self._run_to_outcome(request_id, job)
        job.run.finish(answer)
        self._record_duration(Metric.REQUEST, job, started_at)
        self._record_outcome(job, answer)
        self.journal.queue_record(
            encode_outcome(
                request_id,
                answer.outcome,
                int(answer.http_status),
                job.run.content_type,
                job.run.answer_body if job.run.is_complete else None,
            ),
        )

    async def _run_to_outcome(self, request_id: RequestId, job: Job) -> Answer:
        mode = dispatch_mode(request_id, job.profile.journal)
        if mode is JournalMode.BEFORE_DISPATCH:
            if not await self._write_intent_in_time(request_id, job):
                return self._intent_refusal()
        else:
            self.journal.queue_record(encode_intent(request_id))
        dispatch_task = asyncio.create_task(self._dispatcher.dispatch(job))
        abandoned = asyncio.create_task(job.run.abandoned.wait())
        try:
            await asyncio.wait(
                (dispatch_task, abandoned),
                return_when=asyncio.FIRST_COMPLETED,
            )
            # A run that was dispatched is cancelled by its attempt, as only
            # the attempt knows whether the runner has confirmed that.
            if not dispatch_task.done() and not job.run.was_dispatched:
                job.run.give_up()
                dispatch_task.cancel()
                return answer_not_run(
                    'its caller has gone', NEW_TICKET_RETRY_AFTER
                )
            return await dispatch_task
        finally:
            abandoned.cancel()

    async def _write_intent_in_time(
        self, request_id: RequestId, job: Job
    ) -> bool:
        # If the link to the log is cut, each call takes its whole timeout. The
        # caller is told `not_run` before its deadline, and an intent that is
        # confirmed later is not dispatched.
        intent = encode_intent(request_id)
        left_s = self._deps.answer_deadline(job) - self._deps.clock.monotonic()
        try:
            async with asyncio.timeout(left_s):
                return await self.journal.write_intent(str(request_id), intent)
        except TimeoutError:
            return False

    def _intent_refusal(self) -> Answer:
        if self.journal.is_sealed:
            return answer_not_run(
                'this ticket has ended; ask for a new one',
                NEW_TICKET_RETRY_AFTER,
            )
        return answer_not_run(
            'the log is down and this profile writes to it first',
            LOG_RETRY_AFTER,
        )

    def _record_duration(
        self, metric: Metric, job: Job, started_at: float
    ) -> None:
        elapsed = self._deps.clock.monotonic() - started_at
        self._deps.metrics.timing(
            metric,
            timedelta(seconds=elapsed),
            tier=int(job.tier),
        )

    def _record_outcome(self, job: Job, answer: Answer) -> None:
        tier = int(job.profile.tier)
        self._deps.metrics.count(
            Metric.OUTCOMES,
            outcome=str(answer.outcome),
            tier=tier,
        )
        if answer.outcome is Outcome.DONE:
            self._deps.metrics.count(Metric.GOODPUT, tier=tier)
        self.events.record(
            'settled',
            job.request_id,
            outcome=answer.outcome,
            tier=tier,
            reason=answer.reason,
            **self._late_field(job),
        )

    def _late_field(self, job: Job) -> dict[str, int]:
        """Return `late_ms` for a request that ended after its deadline."""
        late_s = self._deps.clock.monotonic() - job.run.req.deadline
        if late_s <= 0:
            return {}
        return {'late_ms': round(late_s * MILLISECONDS)}


def _join_run(run: Run, req: CallerRequest) -> Run | Answer:
    # The same id with another body must not get the first body's answer.
    if run.req.fingerprint != req.fingerprint:
        return answer_rejected(
            'this id was sent before with another body',
            'mint a new id for a new request',
        )
    return run
