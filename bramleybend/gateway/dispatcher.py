"""Carries one run from its home to a runner and settles its outcome."""

import asyncio
from datetime import timedelta
from typing import Final

from bramleybend.answers import Answer, Outcome, not_run, unknown
from bramleybend.decisions.retries import RetryBudgets, backoff
from bramleybend.gateway.attempt import AttemptEnd, End
from bramleybend.gateway.hedge import Hedger
from bramleybend.gateway.job import Deps, Job
from bramleybend.gateway.slot_search import SlotSearch
from bramleybend.gateway.supervisor import Supervisor
from bramleybend.metrics import Metric

RETRY_AFTER: Final = timedelta(seconds=1)
MAX_ATTEMPTS: Final = 4
REPEATABLE: Final = frozenset((End.STOPPED, End.TORN, End.UNHEARD))


class Dispatcher:
    """Finds a slot, dispatches, and tries again only where that is safe."""

    def __init__(self, deps: Deps) -> None:
        """Take the means; hold no state between runs."""
        self._deps = deps
        self._search = SlotSearch(deps)
        self._hedger = Hedger(deps, self._search, Supervisor(deps))
        self._retries = RetryBudgets()

    async def dispatch(self, job: Job) -> Answer:
        """Run the job to its outcome."""
        excluded: list[str] = []
        ran: AttemptEnd | None = None
        for number in range(MAX_ATTEMPTS):
            slot = await self._search.find(job, excluded)
            if isinstance(slot, Answer):
                return self._given_up(job, slot, ran)
            end = await self._hedger.carry(job, slot, str(number))
            if end.end is End.WHOLE:
                self._retries.succeeded(
                    job.run.req.workspace,
                    job.service.name,
                    self._deps.clock.monotonic(),
                )
                return Answer(Outcome.DONE, 'whole')
            if end.end is not End.NOT_SENT:
                ran = end
            if not self._may_go_on(job, end):
                break
            excluded.append(slot.runner)
            self._deps.note(job, 'retry', end=end.end)
            self._deps.metrics.count(Metric.RETRIED, tier=int(job.tier))
            pause = backoff(number + 1, self._deps.rng)
            await asyncio.sleep(pause.total_seconds())
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
        return _final(ran, out_of_time=not self._deps.left_s(job))

    def _may_go_on(self, job: Job, end: AttemptEnd) -> bool:
        """Whether another try is safe and still of use."""
        if not self._deps.left_s(job) or job.run.abandoned.is_set():
            return False
        if end.end is End.NOT_SENT:
            return True
        # Once a caller has read part of an answer, a second run could go on
        # with other words: the whole would be nobody's answer.
        return (
            end.end in REPEATABLE
            and not job.run.has_begun
            and self._retries.allow(
                job.profile.repeat,
                job.run.req.workspace,
                job.service.name,
                self._deps.clock.monotonic(),
            )
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
