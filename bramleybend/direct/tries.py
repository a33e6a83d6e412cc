"""Sends a job to runners, one after another, within its bounds."""

from datetime import timedelta
from http import HTTPStatus
from typing import Final

from bramleybend.clients.channel import Outgoing
from bramleybend.decisions.actions import RunReport
from bramleybend.direct.attempt import (
    TIMEOUT,
    Attempt,
    Failure,
    FailureCause,
    RunStatus,
    WholeAnswer,
)
from bramleybend.direct.dialect import ForwardingFacts
from bramleybend.direct.job import Components, Job
from bramleybend.direct.models import RunnerEntry
from bramleybend.direct.placing import NoSlot, Placement
from bramleybend.direct.replies import Reply, own_reply
from bramleybend.models import Ask

# Sends of one request that no runner began to run. A refusal is answered in
# about a millisecond; after three the service is full, and the caller waits
# better than the request does.
MAX_REFUSALS: Final = 3
# What is left of a caller's patience when an answer must be on its way.
ANSWER_MARGIN_S: Final = 0.02
# The queue refuses earlier than we give up on it: it knows when to come back.
QUEUE_MARGIN_S: Final = 2 * ANSWER_MARGIN_S
# Runners that turned a request away are full for about one run's time.
REFUSED_RETRY_AFTER_S: Final = 0.3
# Of the time left for a stream: its pace falls as others join its runner.
PACE_RESERVE: Final = 0.3
DONE: Final = 'done'
FAILED: Final = 'failed'
UNSENT: Final = 'unsent'
CALLER_LEFT: Final = Failure(
    RunStatus.MAY_HAVE_RUN, 'its caller left', FailureCause.NONE
)
CALLER_LEFT_BEFORE_SEND: Final = Failure(
    RunStatus.NOT_RUN, 'its caller left', FailureCause.NONE
)


class AttemptDispatcher:
    """Places a job, and decides whether it may go on to another runner."""

    def __init__(self, parts: Components) -> None:
        """Serve by these parts."""
        self._parts = parts

    async def acquire_slot(self, job: Job) -> Placement | NoSlot:
        """Wait for a slot at a runner."""
        ask = self._ask(job)
        placed = await self._parts.placer.place(ask)
        if isinstance(placed, Placement):
            job.tried_runners.append(placed.runner.name)
            self._parts.meters.observe(
                'queue_seconds',
                self.now() - job.req.received_at,
                job.admission.service,
                int(job.admission.tier),
            )
            self._parts.events.record(
                'placed',
                req=job.facts.attempt_id,
                service=job.admission.service,
                tokens=job.facts.prompt_tokens,
                output=job.facts.expected_output,
                runner=placed.runner.name,
                owner=placed.owner.vm if placed.owner else 'own',
                waited_ms=self.ms_since(job.req.received_at),
            )
        return placed

    def make_attempt(self, job: Job, placed: Placement) -> Attempt:
        """Prepare to send a job to a runner."""
        job.current_attempt = Attempt(
            self._parts.channels,
            self._parts.dialect,
            self._parts.limits,
            placed.runner,
            job.facts.attempt_id,
        )
        return job.current_attempt

    def make_outgoing(self, job: Job, runner: RunnerEntry) -> Outgoing:
        """Return the request as the runner gets it."""
        onward = ForwardingFacts(
            runner,
            job.admission.workspace,
            max(self.remaining_s(job), 0),
            job.last_event_id or job.facts.resume_after,
        )
        headers = self._parts.dialect.runner_headers(job.req.headers, onward)
        return Outgoing(job.req.method, job.req.target, headers, job.req.body)

    def finish_attempt(
        self,
        job: Job,
        placed: Placement,
        outcome: WholeAnswer | Failure | None,
        started: float,
        events: int = 0,
    ) -> None:
        """Give the slot back and tell how the run went."""
        if outcome is CALLER_LEFT and not job.may_be_running:
            outcome = CALLER_LEFT_BEFORE_SEND
        job.current_attempt = None
        failure = outcome if isinstance(outcome, Failure) else None
        if failure is None or failure.run_status is RunStatus.MAY_HAVE_RUN:
            job.possible_runs += 1
        job.excluded |= {placed.runner.incarnation}
        if failure is None:
            self._parts.containment.record_completion(job.fingerprint)
        else:
            self._note_failure(job, placed, failure)
        sign = failure.cause if failure else FailureCause.NONE
        made = events * self._parts.event_tokens(job.admission.service)
        report = RunReport(
            _outcome_of(job, outcome),
            refused=sign is FailureCause.FULL,
            crashed=sign is FailureCause.UNREACHABLE,
            moved=sign is FailureCause.MOVED,
            prompt_tokens=job.facts.prompt_tokens,
            completion_tokens=made or 1,
            seconds=self.now() - started,
        )
        self._parts.placer.ended(placed, report)

    def take_retry(self, job: Job, failure: Failure) -> bool:
        """Tell whether a job without an answer may go to another runner."""
        if (
            job.caller_left_at is not None
            or self.remaining_for_slot_s(job) <= 0
        ):
            return False
        if failure.run_status is RunStatus.MAY_HAVE_RUN:
            return job.admission.route.may_repeat and self.take_rerun(job)
        if failure.cause is not FailureCause.MOVED:
            job.refusal_count += 1
        if job.refusal_count >= MAX_REFUSALS or self.remaining_s(job) <= 0:
            return False
        # What reached no runner counts as no arrival anywhere.
        return failure.cause is FailureCause.UNREACHABLE or self._spend(job)

    def take_rerun(self, job: Job) -> bool:
        """Tell whether one more run is allowed, and count it."""
        return (
            not self._parts.containment.is_refused(job.fingerprint)
            and job.possible_runs < job.admission.route.most_runners
            and self.remaining_s(job) > ANSWER_MARGIN_S
            and self._spend(job)
        )

    def no_slot_reply(self, job: Job, refusal: NoSlot) -> Reply:
        """Answer a job that no runner took."""
        if job.possible_runs:
            return own_reply(
                HTTPStatus.BAD_GATEWAY,
                'a runner failed it and no other was free; it may have run',
            )
        self.refund_allotment(job)
        return own_reply(
            HTTPStatus.SERVICE_UNAVAILABLE,
            f'{refusal.reason}; nothing was run',
            refusal.retry_after_s,
        )

    def quarantined_reply(self, job: Job) -> Reply:
        """Answer a job whose content crashed runner after runner."""
        self.refund_allotment(job)
        return own_reply(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'this content ended the runners that ran it; nothing was run',
            inputs={'content': job.fingerprint},
        )

    def refund_allotment(self, job: Job) -> None:
        """Undo the count against an allotment, once."""
        if job.is_charged:
            job.is_charged = False
            self._parts.intake.refund(job.admission)

    def failure_reply(self, job: Job, failure: Failure) -> Reply:
        """Answer a job whose last try failed."""
        if not job.possible_runs:
            return self.no_slot_reply(
                job, NoSlot(failure.reason, REFUSED_RETRY_AFTER_S)
            )
        status = (
            HTTPStatus.GATEWAY_TIMEOUT
            if failure.reason == TIMEOUT
            else HTTPStatus.BAD_GATEWAY
        )
        return own_reply(status, f'{failure.reason}; it may have run')

    def remaining_s(self, job: Job) -> float:
        """Return the seconds until the caller must have an answer."""
        return job.answer_due_at - self.now()

    def remaining_for_slot_s(self, job: Job) -> float:
        """Return the seconds until its caller no longer waits for a start.

        Held on in the queue, requests of callers who had left took slots of
        others: of a heavy load on 84 VMs, 3,545 of 26,000 tries ended so.
        """
        return job.next_event_due_at - ANSWER_MARGIN_S - self.now()

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._parts.clock.monotonic()

    def ms_since(self, moment: float) -> int:
        """Return the milliseconds since a moment, for the log."""
        passed = timedelta(seconds=self.now() - moment)
        return passed // timedelta(milliseconds=1)

    def _ask(self, job: Job) -> Ask:
        facts = job.facts
        return Ask(
            request_id=self._parts.placer.next_id(),
            service=job.admission.service,
            tier=job.admission.tier,
            workspace=job.admission.workspace,
            cost=facts.expected_work,
            prompt_tokens=facts.prompt_tokens,
            prefixes=(),
            deadline=self._ends_by(job),
            begin_by=job.next_event_due_at - QUEUE_MARGIN_S,
            cancellable=False,
            suspect=self._parts.containment.runs_alone(job.fingerprint),
            excluded=self._excluded(job),
            on_time_until=job.req.received_at + job.admission.route.objective_s,
            connected=self._parts.channels.connected_runners(
                job.admission.service
            ),
        )

    def _ends_by(self, job: Job) -> float:
        """Return by when the answer should end at its runner's present pace."""
        ends_by = job.answer_due_at - QUEUE_MARGIN_S
        if job.admission.route.streaming:
            ends_by -= max(self.remaining_s(job), 0) * PACE_RESERVE
        return ends_by

    def _excluded(self, job: Job) -> frozenset[str]:
        """Leave out runners that failed this content, while others remain.

        One that breaks off again and again may itself be the fault. But where
        it is the only one, a run that failed by chance is tried there again:
        refused for want of another, callers would get the failure.
        """
        crashed = self._parts.containment.crashed_runners(job.fingerprint)
        entries = self._parts.book.runners.get(job.admission.service, ())
        known = {entry.incarnation for entry in entries}
        if not known <= job.excluded | crashed:
            return job.excluded | crashed
        if job.possible_runs and known <= job.excluded:
            return frozenset()
        return job.excluded

    def _spend(self, job: Job) -> bool:
        return self._parts.resends.spend(
            job.admission.service, self._parts.vm_count(), self.now()
        )

    def _note_failure(
        self, job: Job, placed: Placement, failure: Failure
    ) -> None:
        if failure.cause is FailureCause.CONNECTION_CLOSED:
            self._parts.containment.record_crash(job.fingerprint, placed.runner)
        self._parts.meters.count(
            'tries_failed', job.admission.service, failure.run_status
        )
        self._parts.events.record(
            'try_failed',
            req=job.facts.attempt_id,
            runner=placed.runner.name,
            fate=failure.run_status,
            why=failure.reason,
        )


def _outcome_of(job: Job, outcome: WholeAnswer | Failure | None) -> str:
    if not isinstance(outcome, Failure):
        return FAILED if _is_failure(job, outcome) else DONE
    is_unsent = (
        outcome.run_status is RunStatus.NOT_RUN
        and outcome.cause is FailureCause.NONE
    )
    return UNSENT if is_unsent else FAILED


def _is_failure(job: Job, outcome: WholeAnswer | Failure | None) -> bool:
    """Tell whether an answer that is passed on is a runner's failure.

    Taken for a run like others, one that failed at once would make its
    runner look fast, and draw more work to it.
    """
    if isinstance(outcome, WholeAnswer):
        return outcome.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    return job.runner_error_status is not None


def timeout_failure(attempt: Attempt) -> Failure:
    """Tell what is certain of a try whose time is up."""
    fate = RunStatus.MAY_HAVE_RUN if attempt.sent else RunStatus.NOT_RUN
    return Failure(fate, TIMEOUT, FailureCause.NONE)
