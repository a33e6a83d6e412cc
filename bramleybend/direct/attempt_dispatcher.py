"""Sends a job to one runner after another, within the retry limits."""

from http import HTTPStatus
from typing import Final

from bramleybend.clients.channel import OutgoingRequest
from bramleybend.decisions.actions import RunReport
from bramleybend.direct.attempt import (
    TIMEOUT,
    Attempt,
    Failure,
    FailureCause,
    RunStatus,
    WholeAnswer,
)
from bramleybend.direct.header_codec import ForwardingFacts
from bramleybend.direct.job import Components, Job
from bramleybend.direct.placement import NoSlot, Placement
from bramleybend.direct.placement_check import PlacementCheck
from bramleybend.direct.replies import Reply, own_reply
from bramleybend.direct.slot_acquisition import (
    ANSWER_MARGIN_S,
    QUARANTINED,
    UNSENT,
    SlotAcquisition,
    ms_between,
)

# Refusals of one request by runners after which the caller is told to retry
# later instead of the request being kept. A refusal takes about a millisecond,
# and after three of them the service is full.
MAX_REFUSALS: Final = 3
# A runner that refused a request stays full for about the time of one run.
REFUSED_RETRY_AFTER_S: Final = 0.3
DONE: Final = 'done'
FAILED: Final = 'failed'
UNKNOWN: Final = 'unknown'  # nothing is known about how the runner did
# Causes for which an attempt that was not run was not sent either.
NEVER_SENT: Final = frozenset(
    (FailureCause.UNREACHABLE, FailureCause.PATH_LOST, FailureCause.OUTDATED)
)
CALLER_LEFT: Final = Failure(
    RunStatus.MAY_HAVE_RUN, 'its caller left', FailureCause.NONE
)
CALLER_LEFT_BEFORE_SEND: Final = Failure(
    RunStatus.NOT_RUN, 'its caller left', FailureCause.NONE
)


class AttemptDispatcher:
    """Acquires slots for a job and decides whether it may be retried."""

    def __init__(self, components: Components) -> None:
        """Create a dispatcher that uses the given components."""
        self._components = components
        self._check = PlacementCheck(components)
        self.acquire_slot = SlotAcquisition(components, self._check).acquire

    def make_attempt(self, job: Job, placement: Placement) -> Attempt:
        """Create the attempt that sends a job to the runner of its slot."""
        job.current_attempt = Attempt(
            self._components.channels,
            self._components.header_codec,
            self._components.runner_limits,
            placement.runner,
            job.facts.attempt_id,
        )
        return job.current_attempt

    def make_outgoing(
        self, job: Job, placement: Placement
    ) -> OutgoingRequest | Failure:
        """Return the request with the headers rewritten for the runner.

        Returns a failure if the job may no longer run there.
        """
        problem = self._check.problem(job, placement)
        if problem:
            return Failure(RunStatus.NOT_RUN, problem, FailureCause.OUTDATED)
        forwarding = ForwardingFacts(
            placement.runner,
            job.admission.workspace,
            max(self.remaining_s(job), 0),
            job.last_event_id or job.facts.last_event_id,
        )
        headers = self._components.header_codec.runner_headers(
            job.req.headers, forwarding
        )
        return OutgoingRequest(
            job.req.method, job.req.target, headers, job.req.body
        )

    def finish_attempt(
        self,
        job: Job,
        placement: Placement,
        outcome: WholeAnswer | Failure | None,
        started_at: float,
        event_count: int = 0,
    ) -> None:
        """Release the slot and report the outcome of the attempt."""
        if outcome is CALLER_LEFT and not job.may_be_running:
            outcome = CALLER_LEFT_BEFORE_SEND
        job.current_attempt = None
        failure = outcome if isinstance(outcome, Failure) else None
        if failure is None or failure.run_status is RunStatus.MAY_HAVE_RUN:
            job.possible_runs += 1
        if not _may_be_tried_again_there(failure):
            job.excluded |= {placement.runner.incarnation}
        if failure is None:
            self._components.containment.record_completion(job.content)
        else:
            self._record_failure(job, placement, failure)
        cause = failure.cause if failure else FailureCause.NONE
        generated_tokens = event_count * self._components.event_tokens(
            job.admission.service
        )
        report = RunReport(
            _outcome_of(job, outcome),
            refused=cause is FailureCause.FULL,
            crashed=cause is FailureCause.UNREACHABLE,
            moved=cause is FailureCause.MOVED,
            prompt_tokens=job.facts.prompt_tokens,
            completion_tokens=generated_tokens or 1,
            seconds=self.now() - started_at,
        )
        self._components.placer.release(placement, report)

    def take_retry(self, job: Job, failure: Failure) -> bool:
        """Decide whether a failed job is retried; count the retry if so."""
        if (
            job.caller_left_at is not None
            or self.remaining_for_slot_s(job) <= 0
        ):
            return False
        if failure.run_status is RunStatus.MAY_HAVE_RUN:
            return job.admission.route.can_run_again and self.take_rerun(job)
        if failure.cause not in {FailureCause.MOVED, FailureCause.OUTDATED}:
            job.refusal_count += 1
        if job.refusal_count >= MAX_REFUSALS or self.remaining_s(job) <= 0:
            return False
        # An attempt of which nothing was sent put no load on a runner, so it
        # is not counted against the resend budget.
        return failure.cause in NEVER_SENT or self._spend_resend(job)

    def take_rerun(self, job: Job) -> bool:
        """Decide whether a job that may have run runs again; count it if so."""
        return (
            not self._components.containment.is_refused(job.content)
            and job.possible_runs < job.admission.route.max_runners
            and self.remaining_s(job) > ANSWER_MARGIN_S
            and self._spend_resend(job)
        )

    def no_slot_reply(self, job: Job, refusal: NoSlot) -> Reply:
        """Return the answer to a job that got no slot."""
        if job.possible_runs:
            return own_reply(
                HTTPStatus.BAD_GATEWAY,
                'a runner failed it and no other was free; it may have run',
            )
        return own_reply(
            HTTPStatus.SERVICE_UNAVAILABLE,
            f'{refusal.reason}; nothing was run',
            refusal.retry_after_s,
        )

    def quarantined_reply(self, job: Job) -> Reply:
        """Return the answer to a job whose content is quarantined."""
        return own_reply(
            HTTPStatus.SERVICE_UNAVAILABLE,
            f'{QUARANTINED.reason}; nothing was run',
            inputs={'content': job.content.whole},
        )

    def failure_reply(self, job: Job, failure: Failure) -> Reply:
        """Return the answer to a job whose last attempt failed."""
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
        """Return the seconds until the caller must have its answer."""
        return job.remaining_s(self.now())

    def remaining_for_slot_s(self, job: Job) -> float:
        """Return the seconds until it is too late to start the job at a runner.

        Requests that stayed in the queue after their caller had left took slots
        from others: under a heavy load on 84 VMs, 3,545 of 26,000 attempts
        ended that way.
        """
        return job.next_event_due_at - ANSWER_MARGIN_S - self.now()

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._components.clock.monotonic()

    def ms_since(self, moment: float) -> int:
        """Return the milliseconds since a monotonic time, for the event log."""
        return ms_between(moment, self.now())

    def _spend_resend(self, job: Job) -> bool:
        return self._components.resend_budget.try_spend(
            job.admission.service, self._components.vm_count(), self.now()
        )

    def _record_failure(
        self, job: Job, placement: Placement, failure: Failure
    ) -> None:
        if failure.cause is FailureCause.CONNECTION_CLOSED:
            self._components.crash_check.record_crash(
                job.content, placement.runner
            )
        self._components.meters.count(
            'tries_failed', job.admission.service, failure.run_status
        )
        self._components.events.record(
            'try_failed',
            req=job.facts.attempt_id,
            runner=placement.runner.name,
            fate=failure.run_status,
            cause=failure.cause,
            why=failure.reason,
        )


def _outcome_of(job: Job, outcome: WholeAnswer | Failure | None) -> str:
    if not isinstance(outcome, Failure):
        return FAILED if _is_runner_failure(job, outcome) else DONE
    if outcome.cause is FailureCause.PATH_LOST:
        return UNKNOWN
    is_unsent = outcome.run_status is RunStatus.NOT_RUN and outcome.cause in {
        FailureCause.NONE,
        FailureCause.OUTDATED,
    }
    return UNSENT if is_unsent else FAILED


def _may_be_tried_again_there(failure: Failure | None) -> bool:
    """Return whether the runner may get the request later or on another path."""
    return (
        failure is not None
        and failure.cause in {FailureCause.PATH_LOST, FailureCause.OUTDATED}
        and failure.run_status is RunStatus.NOT_RUN
    )


def _is_runner_failure(job: Job, outcome: WholeAnswer | Failure | None) -> bool:
    """Return whether the answer that was relayed is a runner's failure.

    If it were counted as a success, a runner that fails at once would look fast
    and would be given more work.
    """
    if isinstance(outcome, WholeAnswer):
        return outcome.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    return job.runner_error_status is not None


def timeout_failure(attempt: Attempt, reason: str) -> Failure:
    """Return the failure of an attempt that ran out of time."""
    run_status = (
        RunStatus.MAY_HAVE_RUN if attempt.is_sent else RunStatus.NOT_RUN
    )
    return Failure(run_status, reason, FailureCause.NONE)
