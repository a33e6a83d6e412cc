"""Charges the tries of requests to the allotments of their workspaces.

Load pattern: runners break off many requests, which run again at others.
Without it: each further try takes tokens that nobody counts, and a workspace
at its limit gets up to twice its limit.
"""

import asyncio
from typing import Final

from bramleybend.direct.job import Components, Job
from bramleybend.direct.slot_acquisition import ms_between

# Other VMs' admissions arrive with their heartbeats, so a longer sleep would
# miss changes of the account.
MAX_SLEEP_S: Final = 0.1
MIN_SLEEP_S: Final = 0.005


class TryCharges:
    """Charges further tries, and refunds the tries that did not run."""

    def __init__(self, components: Components) -> None:
        """Use the given components."""
        self._components = components

    async def charge(self, job: Job) -> None:
        """Charge the next try of a job once its workspace has room.

        The first try was charged at its admission. One that did not run leaves
        its charge to the next.
        """
        is_waiting = False
        while len(job.charges) <= job.possible_runs:
            decision = self._components.admission_control.charge_further_try(
                job.admission, job.facts
            )
            if decision.charge is not None:
                job.charges.append(decision.charge)
                return
            if not is_waiting:
                is_waiting = True
                self._record(job, 'further_try_waits', owed=int(decision.debt))
            delay_s = max(decision.retry_after_s, MIN_SLEEP_S)
            await asyncio.sleep(min(delay_s, MAX_SLEEP_S))

    def refund_unused(self, job: Job) -> None:
        """Refund the charges beyond the tries that may have run."""
        runs = job.possible_runs + job.may_be_running
        unused = job.charges[runs:]
        job.charges = job.charges[:runs]
        if not any(charge.units for charge in unused):
            return
        for charge in unused:
            self._components.admission_control.refund(
                job.admission.workspace, charge
            )
        units = sum(refunded.units for refunded in unused)
        self._record(job, 'refunded', units=int(units))

    def _record(self, job: Job, event: str, **facts: int) -> None:
        now = self._components.clock.monotonic()
        self._components.events.record(
            event,
            req=job.facts.attempt_id,
            workspace=job.admission.workspace,
            **facts,
            ms=ms_between(job.req.received_at, now),
        )
