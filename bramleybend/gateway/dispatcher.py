"""Carries one run from its home to a runner and settles its outcome."""

import asyncio
from datetime import timedelta
from typing import Final

from bramleybend.answers import Answer, Outcome, not_run, unknown
from bramleybend.decisions.retries import RetryBudgets, backoff
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
    """Finds a slot, dispatches, and tries again only where that is safe."""

    def __init__(self, deps: DispatchDeps) -> None:
        """Take the means; hold no state between runs."""
        self._deps = deps
        self._search = SlotSearch(deps)
        self._hedger = Hedger(deps, self._search, Supervisor(deps))
        self._retries = RetryBudgets()

    async def dispatch(self, job: Job) -> Answer:
        """Run the job to its outcome."""
        excluded: list[str] = []
        sent_end: AttemptEnd | None = None
        for number in range(MAX_ATTEMPTS):
            slot = await self._search.find(job, excluded)
            if isinstance(slot, Answer):
                return self._failure_answer(job, slot, sent_end)
            end = await self._hedger.run_attempt(job, slot, str(number))
            if end.kind is EndKind.WHOLE:
                self._retries.succeeded(
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
            delay = backoff(number + 1, self._deps.rng)
            await asyncio.sleep(delay.total_seconds())
        refused = not_run('no runner took it', RETRY_AFTER)
        return self._failure_answer(job, refused, sent_end)

    def _failure_answer(
        self,
        job: Job,
        answer: Answer,
        sent_end: AttemptEnd | None,
    ) -> Answer:
        # Once an earlier try has reached a runner, `not_run` is untrue
        # whatever the last one met, and a caller that acts on it would have
        # its work done twice.
        if sent_end is None:
            return answer
        return _answer_of(sent_end, out_of_time=not self._deps.remaining_s(job))

    def _may_retry(self, job: Job, end: AttemptEnd) -> bool:
        """Whether another try is safe and still of use."""
        if not self._deps.remaining_s(job) or job.run.abandoned.is_set():
            return False
        if end.kind is EndKind.NOT_SENT:
            return True
        # Once a caller has read part of an answer, a second run could go on
        # with other words: the whole would be nobody's answer.
        return (
            end.kind in RETRYABLE_ENDS
            and not job.run.has_answer_data
            and self._retries.allow(
                job.profile.repeat,
                job.run.req.workspace,
                job.service.name,
                self._deps.clock.monotonic(),
            )
        )


def _answer_of(end: AttemptEnd, *, out_of_time: bool) -> Answer:
    match end.kind:
        case EndKind.STOPPED:
            reason = 'its deadline passed' if out_of_time else 'given up'
            return Answer(
                Outcome.CANCELLED,
                f'stopped while it ran: {reason}',
                'send it under a new id if it is still wanted',
            )
        case EndKind.UNHEARD:
            return unknown('the runner was sent it and did not answer')
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
