"""A cluster with callers around it, as the tests of failures use it."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

from bramleybend.answers import Outcome
from tests.utils.callers import Caller
from tests.utils.cluster import EXAMPLE, Cluster, Layout
from tests.utils.entry_vm import EntryVm
from tests.utils.eventlog import parse_events
from tests.utils.http_client import NO_WORD_YET
from tests.utils.ledger import Ledger, Verdict
from tests.utils.load import Stream, plan, play
from tests.utils.own_loop import watched_loop
from tests.utils.waiting import wait_until
from tests.utils.work import Declared, WorkMaker

REFUSED = 'ConnectionRefusedError'
LARGE_SCHOOL = 'walton-aero-club'  # may use every profile


class Scenario:
    """What one test drives and looks at."""

    def __init__(self, cluster: Cluster, document: str) -> None:
        """Stand before a cluster that runs under these terms."""
        self.cluster = cluster
        self.ledger = Ledger()
        self.declared = Declared.load(document)
        self.make = WorkMaker(self.declared)

    def caller(self, first: EntryVm | None = None, **options: bool) -> Caller:
        """Return a caller that asks `first` before the other VMs."""
        vms = sorted(self.cluster.vms, key=lambda vm: vm is not first)
        return Caller([vm.endpoint for vm in vms], self.ledger, **options)

    def callers(self) -> list[Caller]:
        """Return two callers for each VM that ask it first."""
        return [self.caller(vm) for vm in self.cluster.vms * 2]

    @contextlib.asynccontextmanager
    async def load(
        self,
        streams: Sequence[Stream],
        seconds: float = 60,
    ) -> AsyncIterator[None]:
        """Send a load while the body runs; then wait for every answer."""
        over = asyncio.Event()
        arrivals = plan(self.declared, streams, seconds)
        playing = asyncio.create_task(
            play(arrivals, self.callers(), over.is_set),
        )
        try:
            yield
            over.set()
            await playing
        finally:
            playing.cancel()

    async def settle(self) -> None:
        """Wait until each shard has its owner and serves low tiers too.

        A new owner starts nothing but the highest tier for a while, since
        it doesn't know what its predecessor promised.
        """
        await wait_until(self._is_owned, 'each service has an owner')
        warming = Caller([vm.endpoint for vm in self.cluster.vms], Ledger())
        waits = []
        if self.cluster.runners.plains:
            plain = self.make.plain(LARGE_SCHOOL, 'availability')
            waits.append(warming.send(plain))
        if self.cluster.runners.engines:
            bulk = self.make.engine(LARGE_SCHOOL, 'syllabus-summary', 10, 1)
            waits.append(warming.send(bulk))
        for record in await asyncio.gather(*waits):
            assert record.outcome is Outcome.DONE, record.describe()

    def count(self, outcome: Outcome, profile: str = '') -> int:
        """Count the requests that ended so, of one profile or of all."""
        return sum(
            record.outcome is outcome
            for record in self.ledger.records
            if profile in {'', record.work.profile}
        )

    async def done_more(self, count: int, what: str) -> None:
        """Wait until more than so many further requests are done."""
        goal = self.count(Outcome.DONE) + count
        await wait_until(lambda: self.count(Outcome.DONE) > goal, what)

    def owner(self, service: str) -> EntryVm:
        """Return a VM whose scheduler has owned a service's queue."""
        for vm in self.cluster.vms:
            lines = vm.scheduler.log_text().splitlines()
            for event in parse_events(lines):
                owned = event['event'] == 'shard_owned'
                if owned and event['service'] == service:
                    return vm
        raise AssertionError(f'nobody owns {service}')

    def broken_sends(self) -> list[str]:
        """Return why connections of callers broke."""
        return [
            reason
            for record in self.ledger.records
            for attempt in record.attempts
            for reason in attempt.broken
        ]

    def cut_answers(self) -> list[str]:
        """Return the broken sends in which the system cut a request off.

        A closed port takes nothing in, and a caller that loses patience with
        a queue before any word of the answer gives up by itself.
        """
        return [
            reason
            for reason in self.broken_sends()
            if REFUSED not in reason and NO_WORD_YET not in reason
        ]

    def verdict(self) -> Verdict:
        """Judge all answers against the runners' records."""
        runners = self.cluster.runners
        return self.ledger.judge(runners.runs_of(), runners.run_ids())

    def _is_owned(self) -> bool:
        owned = {
            event['service']
            for event in parse_events(self.cluster.event_lines())
            if event['event'] == 'shard_owned'
        }
        return owned >= set(self.declared.document['services'])


@contextlib.asynccontextmanager
async def scenario(
    layout: Layout,
    run_dir: Path,
    document: str = '',
) -> AsyncIterator[Scenario]:
    """Start a cluster and wait until every VM serves every tier."""
    async with Cluster(layout, run_dir) as cluster:
        document = document or EXAMPLE.read_text()
        await cluster.ready(document)
        scene = Scenario(cluster, document)
        with watched_loop(run_dir):
            await scene.settle()
            yield scene


def assert_clean(verdict: Verdict) -> None:
    """Every request has one answer, and none of them is wrong."""
    assert not verdict.wrong, '\n'.join(verdict.wrong[:5])
    assert not verdict.lost, str(verdict)
