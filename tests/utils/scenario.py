"""A test cluster with callers, for the failure tests."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

from bramleybend.answers import Outcome
from tests.utils.callers import Caller
from tests.utils.cluster import EXAMPLE, Cluster, Layout
from tests.utils.entry_vm import EntryVm
from tests.utils.event_loop_lag import log_loop_lag
from tests.utils.eventlog import parse_events
from tests.utils.http_client import BEFORE_RESPONSE_HEAD
from tests.utils.ledger import Ledger, Verdict
from tests.utils.load import Stream, plan, play
from tests.utils.waiting import wait_until
from tests.utils.work import Declaration, WorkFactory

CONNECTION_REFUSED = 'ConnectionRefusedError'
LARGE_SCHOOL = 'walton-aero-club'  # may use every profile


class Scenario:
    """The cluster, the callers and the recorded requests of one test."""

    def __init__(self, cluster: Cluster, document: str) -> None:
        """Use a running cluster under the terms in `document` (YAML)."""
        self.cluster = cluster
        self.ledger = Ledger()
        self.declaration = Declaration.load(document)
        self.make = WorkFactory(self.declaration)

    def caller(self, first: EntryVm | None = None, **options: bool) -> Caller:
        """Return a caller that resolves addresses at `first` first."""
        vms = sorted(self.cluster.vms, key=lambda vm: vm is not first)
        return Caller([vm.endpoint for vm in vms], self.ledger, **options)

    def callers(self) -> list[Caller]:
        """Return two callers for each VM, which ask that VM first."""
        return [self.caller(vm) for vm in self.cluster.vms * 2]

    @contextlib.asynccontextmanager
    async def load(
        self,
        streams: Sequence[Stream],
        seconds: float = 60,
    ) -> AsyncIterator[None]:
        """Send a load during the body, then wait for the open requests."""
        is_stopped = asyncio.Event()
        arrivals = plan(self.declaration, streams, seconds)
        load_task = asyncio.create_task(
            play(arrivals, self.callers(), is_stopped.is_set),
        )
        try:
            yield
            is_stopped.set()
            await load_task
        finally:
            load_task.cancel()

    async def wait_until_all_tiers_served(self) -> None:
        """Wait until each shard has an owner that serves all tiers.

        A new owner at first dispatches the highest tier only, because it
        doesn't know which slots its predecessor granted.
        """
        await wait_until(self._is_owned, 'each service has an owner')
        warm_up_caller = Caller(
            [vm.endpoint for vm in self.cluster.vms], Ledger()
        )
        waits = []
        if self.cluster.runners.plains:
            plain = self.make.plain(LARGE_SCHOOL, 'availability')
            waits.append(warm_up_caller.send(plain))
        if self.cluster.runners.engines:
            bulk = self.make.engine(LARGE_SCHOOL, 'syllabus-summary', 10, 1)
            waits.append(warm_up_caller.send(bulk))
        for record in await asyncio.gather(*waits):
            assert record.outcome is Outcome.DONE, record.describe()

    def count(self, outcome: Outcome, profile: str = '') -> int:
        """Count the requests with this outcome, of one profile or of all."""
        return sum(
            record.outcome is outcome
            for record in self.ledger.records
            if profile in {'', record.work.profile}
        )

    async def done_more(self, count: int, what: str) -> None:
        """Wait until more than `count` further requests are done."""
        goal = self.count(Outcome.DONE) + count
        await wait_until(lambda: self.count(Outcome.DONE) > goal, what)

    def owner(self, service: str) -> EntryVm:
        """Return the first VM whose log says that it owned a service's shard.

        Its scheduler may have lost the shard since.
        """
        for vm in self.cluster.vms:
            lines = vm.scheduler.log_text().splitlines()
            for event in parse_events(lines):
                owned = event['event'] == 'shard_owned'
                if owned and event['service'] == service:
                    return vm
        raise AssertionError(f'no scheduler has owned a shard of {service}')

    def broken_sends(self) -> list[str]:
        """Return the reason of each broken connection of a caller."""
        return [
            reason
            for record in self.ledger.records
            for attempt in record.attempts
            for reason in attempt.broken
        ]

    def cut_answers(self) -> list[str]:
        """Return the broken sends that the system interrupted.

        Refused connections are left out, as the VM never received those
        requests; so are timeouts before the response head, as there the
        caller itself gave up on a queued request.
        """
        return [
            reason
            for reason in self.broken_sends()
            if CONNECTION_REFUSED not in reason
            and BEFORE_RESPONSE_HEAD not in reason
        ]

    def verdict(self) -> Verdict:
        """Check all answers against the run records of the runners."""
        runners = self.cluster.runners
        return self.ledger.judge(runners.runs_of(), runners.run_ids())

    def _is_owned(self) -> bool:
        owned = {
            event['service']
            for event in parse_events(self.cluster.event_lines())
            if event['event'] == 'shard_owned'
        }
        return owned >= set(self.declaration.document['services'])


@contextlib.asynccontextmanager
async def scenario(
    layout: Layout,
    run_dir: Path,
    document: str = '',
) -> AsyncIterator[Scenario]:
    """Start a cluster and wait until all shards serve every tier."""
    async with Cluster(layout, run_dir) as cluster:
        document = document or EXAMPLE.read_text()
        await cluster.ready(document)
        started_scenario = Scenario(cluster, document)
        with log_loop_lag(run_dir):
            await started_scenario.wait_until_all_tiers_served()
            yield started_scenario


def assert_clean(verdict: Verdict) -> None:
    """Assert that every request has an answer and that none is wrong."""
    assert not verdict.wrong, '\n'.join(verdict.wrong[:5])
    assert not verdict.lost, str(verdict)
