"""Dispatches a job to runners, with retries, and returns its outcome."""

import asyncio
from datetime import timedelta
from typing import Final

from bramleybend.answers import Answer, Outcome, answer_not_run, answer_unknown
from bramleybend.decisions.retries import RetryBudgets, backoff_delay
from bramleybend.gateway.attempt import AttemptEnd, EndKind
from bramleybend.gateway.hedge import Hedger
from bramleybend.gateway.job import DispatchDeps, Job
from bramleybend.gateway.slot_search import SlotSearch
from bramleybend.gateway.supervisor import Supervisor
from bramleybend.metrics import Metric

RETRY_AFTER: Final = timedelta(seconds=1)
MAX_ATTEMPTS: Final = 4
RETRYABLE_ENDS: Final = frozenset(
    (EndKind.STOPPED, EndKind.TORN, EndKind.UNHEARD)
)


class Dispatcher:
    """Acquires slots and runs attempts; retries only where that is safe."""

    def __init__(self, deps: DispatchDeps) -> None:
        """Start with full retry budgets and without measured calls."""
        self._deps = deps
        self._search = SlotSearch(deps)
        self._hedger = Hedger(deps, self._search, Supervisor(deps))
        self._retries = RetryBudgets()

    async def dispatch(self, job: Job) -> Answer:
        """Run the job until its outcome is final."""
        excluded: list[str] = []
        sent_end: AttemptEnd | None = None
        for attempt_number in range(MAX_ATTEMPTS):
            slot = await self._search.find(job, excluded)
            if isinstance(slot, Answer):
                return self._failure_answer(job, slot, sent_end)
            end = await self._hedger.run_attempt(job, slot, str(attempt_number))
            if end.kind is EndKind.WHOLE:
                self._retries.record_success(
                    job.run.req.workspace,
                    job.service.name,
                    self._deps.clock.monotonic(),
                )
                return Answer(Outcome.DONE, 'whole')
            if end.kind is not EndKind.NOT_SENT:
                sent_end = end
            if not self._may_retry(job, end):
                break
            excluded.append(slot.runner)
            self._deps.record_event(job, 'retry', end=end.kind)
            self._deps.metrics.count(Metric.RETRIED, tier=int(job.tier))
            delay = backoff_delay(attempt_number + 1, self._deps.rng)
            await asyncio.sleep(delay.total_seconds())
        refusal = answer_not_run('no runner took it', RETRY_AFTER)
        return self._failure_answer(job, refusal, sent_end)

    def _failure_answer(
        self,
        job: Job,
        answer: Answer,
        sent_end: AttemptEnd | None,
    ) -> Answer:
        # If an earlier attempt reached a runner, `not_run` would be false
        # however the last attempt ended: the caller would send the request
        # again, and it could run twice.
        if sent_end is None:
            return answer
        return _answer_of(
            sent_end, is_past_deadline=not self._deps.remaining_s(job)
        )

    def _may_retry(self, job: Job, end: AttemptEnd) -> bool:
        """Whether another attempt is safe and can still be in time."""
        if not self._deps.remaining_s(job) or job.run.abandoned.is_set():
            return False
        if end.kind is EndKind.NOT_SENT:
            return True
        # A second run may produce a different answer, which can't continue
        # the part that the caller has already read.
        return (
            end.kind in RETRYABLE_ENDS
            and not job.run.has_answer_data
            and self._retries.try_spend(
                job.profile.repeat,
                job.run.req.workspace,
                job.service.name,
                self._deps.clock.monotonic(),
            )
        )


def _answer_of(end: AttemptEnd, *, is_past_deadline: bool) -> Answer:
    match end.kind:
        case EndKind.STOPPED:
            reason = 'its deadline passed' if is_past_deadline else 'given up'
            return Answer(
                Outcome.CANCELLED,
                f'stopped while it ran: {reason}',
                'send it under a new id if it is still wanted',
            )
        case EndKind.UNHEARD:
            return answer_unknown('the runner was sent it and did not answer')
        case EndKind.ANSWERED:
            return Answer(
                Outcome.FAILED,
                f'the runner answered {end.status}',
                'mend the request before you send it under a new id',
            )
        case EndKind.TOO_LARGE:
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
