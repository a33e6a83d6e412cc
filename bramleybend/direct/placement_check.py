"""Checks that what a placement was decided on still holds.

A request waits between the ask for a slot, its grant and its first byte at the
runner: for the owner, for a free slot, for a connection, and while this VM
stands still. What was true before such a wait may not be true after it.
"""

from bramleybend.direct.job import Components, Job
from bramleybend.direct.models import RunnerState
from bramleybend.direct.placement import Placement


class PlacementCheck:
    """Tells whether a job may run at the runner of its slot now."""

    def __init__(self, components: Components) -> None:
        """Check against what this VM knows."""
        self._catalog = components.catalog
        self._containment = components.containment
        self._versions = components.versions

    def problem(self, job: Job, placement: Placement) -> str:
        """Return why the job may not run there now; empty if it may."""
        runner = self._catalog.used_runner(placement.runner.incarnation)
        if self._catalog.runner_list_age.is_outdated:
            return 'the list of runners is outdated'
        if runner is None or runner.state is RunnerState.LEAVING:
            return 'the runner is leaving'
        if runner.incarnation in self.barred_runners(job):
            return 'the runner may not run streams of this version'
        if self._containment.is_refused(job.content):
            return 'its content is quarantined'
        if self.runs_alone(job) and not placement.ask.suspect:
            return 'its content has to run alone'
        return ''

    def barred_runners(self, job: Job) -> set[str]:
        """Return the runners that may not run the job, by software version."""
        if not job.may_be_resumed:
            return set()
        return self._versions.barred_runners(job.admission.service, job.version)

    def runs_alone(self, job: Job) -> bool:
        """Tell whether the job's content may crash its runner."""
        return self._containment.runs_alone(job.content)
