"""Records in the event log and the meters what became of requests."""

from bramleybend.direct.job import Components, Job
from bramleybend.direct.replies import Reply
from bramleybend.direct.slot_acquisition import ms_between


class RequestLog:
    """Records rejections, answers and callers that left."""

    def __init__(self, components: Components) -> None:
        """Use the given components."""
        self._components = components

    def record_denied(self, attempt_id: str, path: str, reply: Reply) -> None:
        """Record a request that was rejected before it was queued."""
        self._components.meters.count('denied', int(reply.status))
        self._components.events.record(
            'denied',
            req=attempt_id,
            status=int(reply.status),
            path=path,
            why=reply.reason,
            **reply.inputs,
        )

    def record_answer(self, job: Job, status: int, reason: str = '') -> None:
        """Record the answer to a request, whoever gave it."""
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
            else ms_between(job.req.received_at, first_at),
            ms=ms_between(job.req.received_at, self._now()),
        )

    def record_caller_left(self, job: Job) -> None:
        """Record that a caller left before its answer was complete."""
        stage = 'placed' if job.tried_runners else 'queued'
        self._components.meters.count(
            'callers_left', job.admission.service, stage
        )
        self._components.events.record(
            'caller_left',
            req=job.facts.attempt_id,
            stage=stage,
            runners=','.join(job.tried_runners),
            ms=ms_between(job.req.received_at, self._now()),
        )

    def _update_answer_meters(self, job: Job, status: int) -> None:
        meters = self._components.meters
        service, tier = job.admission.service, int(job.admission.tier)
        cause = job.last_failure.run_status if job.last_failure else 'none'
        meters.count('answers', service, tier, int(status), cause)
        elapsed_s = self._now() - job.req.received_at
        meters.observe('answer_seconds', elapsed_s, service, tier)
        if job.first_event_at is not None:
            elapsed_s = job.first_event_at - job.req.received_at
            meters.observe('first_event_seconds', elapsed_s, service, tier)

    def _now(self) -> float:
        return self._components.clock.monotonic()
