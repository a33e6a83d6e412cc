"""Acquires runner slots for jobs, and the exceptions for suspect content."""

import asyncio
from dataclasses import replace
from datetime import timedelta
from functools import partial
from typing import Final

from bramleybend.decisions.actions import RunReport
from bramleybend.direct.job import Components, Job
from bramleybend.direct.messages import StreamOrigin
from bramleybend.direct.models import RunnerEntry
from bramleybend.direct.placement import NoSlot, Placement
from bramleybend.direct.placement_check import PlacementCheck
from bramleybend.direct.stream_origins import key_of
from bramleybend.events import MS_PER_S
from bramleybend.models import SlotRequest

# The time before a caller's timeout at which its answer must be sent.
ANSWER_MARGIN_S: Final = 0.02
# The queue rejects a request before the dispatcher gives up on it, because the
# queue knows when the caller should retry.
QUEUE_MARGIN_S: Final = 2 * ANSWER_MARGIN_S
# Share of the remaining time that is kept in reserve for a stream: its token
# rate falls as other runs join its runner.
PACE_RESERVE: Final = 0.3
RECHECK_S: Final = 0.2  # while suspect content waits; about a heartbeat
UNSENT: Final = 'unsent'
VERSION_GONE: Final = NoSlot(
    'no runner of the version that began the stream', retry_after_s=None
)
QUARANTINED: Final = NoSlot(
    'this content ended the runners that ran it', retry_after_s=None
)


class SlotAcquisition:
    """Asks for slots and gives back those that may not be used."""

    def __init__(self, components: Components, check: PlacementCheck) -> None:
        """Use the given components."""
        self._components = components
        self._check = check

    async def acquire(self, job: Job) -> Placement | NoSlot:
        """Wait for the owner to grant a slot at a runner.

        The slot is given back if the job may no longer run there.
        """
        self._keep_recorded_version(job)
        while True:
            await self._components.catalog.runner_list_age.wait_until_current()
            if self._is_refused(job):
                return QUARANTINED
            if self._is_version_gone(job):
                return VERSION_GONE
            ask = self._ask(job)
            placement = await self._place(job, ask)
            if isinstance(placement, NoSlot):
                return placement
            problem = self._check.problem(job, placement)
            if not problem:
                self._note_version(job, placement.runner)
                self._record_placement(job, placement)
                return placement
            self._record_return(job, placement, problem)
            self._components.placer.release(placement, RunReport(UNSENT))

    def _ask(self, job: Job) -> SlotRequest:
        facts = job.facts
        return SlotRequest(
            request_id=self._components.placer.next_request_id(),
            service=job.admission.service,
            tier=job.admission.tier,
            workspace=job.admission.workspace,
            cost=facts.expected_work,
            prompt_tokens=facts.prompt_tokens,
            prefixes=(),
            deadline=self._answer_deadline(job),
            latest_answer_start=job.next_event_due_at - QUEUE_MARGIN_S,
            cancellable=False,
            suspect=self._components.containment.runs_alone(job.content),
            excluded=self._excluded_runners(job),
            on_time_until=job.req.received_at
            + job.admission.route.target_latency_s,
            connected=self._components.channels.connected_runners(
                job.admission.service
            ),
        )

    def _refresh(self, job: Job, ask: SlotRequest) -> SlotRequest:
        """Exclude the runners that a waiting stream may not begin at now."""
        if not job.may_be_resumed:
            return ask
        return replace(ask, excluded=self._excluded_runners(job))

    def _answer_deadline(self, job: Job) -> float:
        """Return when the answer should end at its runner's current rate."""
        deadline = job.answer_due_at - QUEUE_MARGIN_S
        if job.admission.route.streaming:
            deadline -= max(job.remaining_s(self._now()), 0) * PACE_RESERVE
        return deadline

    def _excluded_runners(self, job: Job) -> frozenset[str]:
        """Return the runners to avoid, as long as others remain.

        A runner that fails this content again and again may itself be faulty.
        But if it is the only runner, a run that failed by chance is retried
        there, because the caller would otherwise get the failure.
        """
        crashed = self._components.containment.crashed_runners(job.content)
        entries = self._components.catalog.runners_by_service.get(
            job.admission.service, ()
        )
        barred = self._check.barred_runners(job)
        known = {entry.incarnation for entry in entries} - barred
        avoided = self._components.channels.connector.avoided()
        for excluded in (
            job.excluded | crashed | avoided,
            job.excluded | crashed,
        ):
            if not known <= excluded:
                return excluded | barred
        if job.possible_runs and known <= job.excluded:
            return frozenset(barred)
        return job.excluded | barred

    async def _place(self, job: Job, ask: SlotRequest) -> Placement | NoSlot:
        """Wait for a slot; stop waiting once there can be none."""
        place = partial(
            self._components.placer.place, ask, partial(self._refresh, job)
        )
        if not ask.suspect and job.version is None:
            return await place()
        placing = asyncio.create_task(place())
        try:
            while not placing.done():
                if self._is_refused(job):
                    return QUARANTINED
                if self._is_version_gone(job):
                    return VERSION_GONE
                await asyncio.wait((placing,), timeout=RECHECK_S)
        finally:
            placing.cancel()
        return placing.result()

    def _keep_recorded_version(self, job: Job) -> None:
        """Keep a stream that is tried again to its version.

        While several versions serve, the version of its first run is recorded
        as its origin even before its first event.
        """
        if job.version is None and job.placed_version is not None:
            if self._components.versions.is_mixed(job.admission.service):
                job.version = job.placed_version

    def _note_version(self, job: Job, runner: RunnerEntry) -> None:
        """Keep the version of a stream that may go on elsewhere."""
        if not job.may_be_resumed:
            return
        versions = self._components.versions
        version = versions.version_of(runner)
        job.placed_version = version
        facts = job.facts
        is_take_up = bool(facts.last_event_id and facts.resumed_attempt)
        self._components.origins.add(
            StreamOrigin(
                key_of(
                    facts.resumed_attempt if is_take_up else facts.attempt_id
                ),
                job.admission.workspace,
                job.admission.service,
                version,
            )
        )

    def _is_version_gone(self, job: Job) -> bool:
        return job.version is not None and not (
            self._components.versions.is_served(
                job.admission.service, job.version
            )
        )

    def _is_refused(self, job: Job) -> bool:
        return self._components.containment.is_refused(job.content)

    def _record_return(
        self, job: Job, placement: Placement, problem: str
    ) -> None:
        self._components.events.record(
            'slot_returned',
            req=job.facts.attempt_id,
            service=job.admission.service,
            runner=placement.runner.name,
            version=placement.runner.version,
            owner=placement.owner.vm if placement.owner else 'own',
            list_age_ms=round(
                self._components.catalog.runner_list_age.seconds() * MS_PER_S
            ),
            why=problem,
        )

    def _record_placement(self, job: Job, placement: Placement) -> None:
        job.tried_runners.append(placement.runner.name)
        self._components.meters.observe(
            'queue_seconds',
            self._now() - job.req.received_at,
            job.admission.service,
            int(job.admission.tier),
        )
        self._components.events.record(
            'placed',
            req=job.facts.attempt_id,
            service=job.admission.service,
            tokens=job.facts.prompt_tokens,
            output=job.facts.expected_output_tokens,
            charged=job.charged_units,
            runner=placement.runner.name,
            version=placement.runner.version,
            resumes=job.facts.resumed_attempt,
            owner=placement.owner.vm if placement.owner else 'own',
            waited_ms=ms_between(job.req.received_at, self._now()),
        )

    def _now(self) -> float:
        return self._components.clock.monotonic()


def ms_between(start: float, end: float) -> int:
    """Return the milliseconds between two monotonic times."""
    return timedelta(seconds=end - start) // timedelta(milliseconds=1)
