"""The shards a scheduler serves, and which of them it owns now."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Final

from bramleybend.decisions.actions import ShardView
from bramleybend.decisions.floor import DEFAULT_TIMES
from bramleybend.decisions.owner import make_shard_policy
from bramleybend.decisions.ownership import owners_of, shard_of
from bramleybend.decisions.quarantine import Verdict
from bramleybend.models import RunnerState, Service, Terms, Vm
from bramleybend.scheduler.shard_messages import (
    OwnershipMoved,
    RunnersListed,
)
from bramleybend.scheduler.pause_detector import PauseDetector
from bramleybend.scheduler.shard_task import ShardDeps, ShardTask
from bramleybend.state.member import Member

# A shard whose owner has just moved here is asked about by gateways before
# the next look at the list; it must not refuse them for want of runners.
UPDATE_INTERVAL_S: Final = 0.5
PAUSE_CHECKS_PER_UPDATE: Final = 10


@dataclass(frozen=True)
class ShardSources:
    """What decides about ownership, as it is known now."""

    terms: Callable[[], Terms | None]
    runners: Callable[[], Sequence[Vm]]
    members: Callable[[], Sequence[Member]]
    own_vm: str
    is_schedulable: Callable[[str], bool] = lambda _runner: True


class OwnershipCache:
    """Remembers who owns what among the same members."""

    def __init__(
        self,
        members: Callable[[], Sequence[Member]],
        own_vm: str,
    ) -> None:
        """Have ranked nothing yet."""
        self._members = members
        self._own_vm = own_vm
        self._cached_members: tuple[Member, ...] = ()
        self._owners: dict[tuple[str, int], str] = {}

    def is_owned(self, service: str, shard: int) -> bool:
        """Whether this VM owns a shard among the members of now."""
        # Ranking hashes every member for every shard. At 350 members and 75
        # shards, done at each look, that alone would cost a node more than
        # its share of a core, so it is done again only for new members.
        members = tuple(self._members())
        if members != self._cached_members:
            self._cached_members = members
            self._owners.clear()
        key = (service, shard)
        if key not in self._owners:
            ranked = owners_of(service, shard, members)
            self._owners[key] = ranked[0].vm if ranked else ''
        return self._owners[key] == self._own_vm


class ShardTable:
    """Creates a shard's task when it is first owned or asked for."""

    def __init__(
        self,
        sources: ShardSources,
        deps: ShardDeps,
        rng: Random,
    ) -> None:
        """Serve nothing yet."""
        self._sources = sources
        self._deps = deps
        self._rng = rng
        self._tasks: dict[tuple[str, int], ShardTask] = {}
        self._worker_tasks: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._owned_since: dict[tuple[str, int], float] = {}
        self._pause_detector = PauseDetector(deps.clock, DEFAULT_TIMES.fresh_s)
        self._owners = OwnershipCache(sources.members, sources.own_vm)
        self._weights: dict[str, float] = {}
        self._weights_version = 0  # the terms' version
        self._posted_runners: dict[tuple[str, int], tuple[Vm, ...]] = {}

    def get(self, service: str, shard: int) -> ShardTask | None:
        """Return a shard's task, or None for one that no terms name.

        A gateway may know of a change of owner before this VM does, so a
        shard is served for whoever asks, owned or not.
        """
        task = self._tasks.get((service, shard))
        if task is not None:
            return task
        terms = self._sources.terms()
        named = terms.services.get(service) if terms else None
        if terms is None or named is None or shard >= named.shards:
            return None
        self._update_weights(terms)
        return self._create_task(named, shard)

    def is_settled(self, task: ShardTask) -> bool:
        """Whether every run of the shard must be known here by now.

        After a takeover the gateways register their runs anew. Until the
        grace is over, "nothing lower runs" might only mean "not yet heard
        of", and a higher tier would be shed beside a lower one.
        """
        if (task.service, task.shard) not in self._owned_since:
            return False
        return not self._pause_detector.was_paused and task.is_settled(
            self._now()
        )

    def get_verdict(self, fingerprint: str) -> Verdict:
        """Whether this content was in flight when runners crashed."""
        now = self._deps.clock.monotonic()
        return self._deps.crashes.verdict(fingerprint, now)

    async def run(self) -> None:
        """Follow list, terms and members until cancelled."""
        notes = 0
        while True:
            if notes % PAUSE_CHECKS_PER_UPDATE == 0:
                self.update()
            await asyncio.sleep(UPDATE_INTERVAL_S / PAUSE_CHECKS_PER_UPDATE)
            self.mark_running()
            notes += 1

    def mark_running(self) -> None:
        """Note that this process runs; after a long pause, look at once."""
        if self._pause_detector.was_paused:
            self.update()
        self._pause_detector.mark_running()

    def update(self) -> None:
        """Create what is owned now, hand runners out, move what is not."""
        paused = self._pause_detector.was_paused
        self._pause_detector.mark_running()
        terms = self._sources.terms()
        if terms is None:
            return
        self._update_weights(terms)
        named = {
            (service.name, shard): service
            for service in terms.services.values()
            for shard in range(service.shards)
        }
        for key in self._owned_since.keys() - named.keys():
            self._end_ownership(key)
        for (_, shard), service in named.items():
            self._update_shard(service, shard, paused=paused)

    def loads(self) -> list[ShardView]:
        """Return the load of the shards owned here."""
        views: list[ShardView] = []
        for key in self._owned_since:
            task = self._tasks[key]
            load = task.policy.load()
            views.append(
                ShardView(
                    service=task.service,
                    shard=task.shard,
                    running=load.running,
                    waiting=load.waiting,
                    limit=load.limit,
                    age_s=0,
                ),
            )
        return views

    @property
    def tasks(self) -> tuple[ShardTask, ...]:
        """Every shard served, owned or not."""
        return tuple(self._tasks.values())

    @property
    def owned(self) -> tuple[tuple[str, int], ...]:
        """The shards owned here, by service and number."""
        return tuple(self._owned_since)

    def is_drained(self, service: str, shard: int, runner: str) -> bool:
        """Whether a runner gets no new work and has none from here."""
        task = self._tasks.get((service, shard))
        if task is None:
            return True
        listed = task.runners.get(runner)
        closed = listed is None or listed.state is RunnerState.LEAVING
        return closed and runner not in task.runner_by_hold.values()

    def release_all(self) -> None:
        """Send every hold on to the next owner, before a planned stop."""
        self._owned_since.clear()
        for task in self._tasks.values():
            task.post(OwnershipMoved())

    def _update_weights(self, terms: Terms) -> None:
        # One mapping, changed in place, so that new weights hold for the
        # queues that stand already.
        if terms.version != self._weights_version:
            self._weights_version = terms.version
            self._weights.clear()
            for workspace in terms.workspaces.values():
                self._weights[workspace.name] = workspace.weight

    def _now(self) -> float:
        return self._deps.clock.monotonic()

    def _update_shard(
        self, service: Service, shard: int, *, paused: bool
    ) -> None:
        key = (service.name, shard)
        if self._owners.is_owned(service.name, shard):
            if paused:
                # Another may have owned the shard meanwhile. Its runs come
                # here one by one, as after any takeover.
                self._owned_since.pop(key, None)
            self._begin_ownership(service, shard)
        elif key in self._owned_since:
            self._end_ownership(key)
        task = self._tasks.get(key)
        if task is not None:
            self._post_runners(task, service)

    def _end_ownership(self, key: tuple[str, int]) -> None:
        self._owned_since.pop(key)
        self._tasks[key].post(OwnershipMoved())
        self._deps.events.record('shard_moved', service=key[0], shard=key[1])

    def _begin_ownership(self, service: Service, shard: int) -> None:
        key = (service.name, shard)
        if key in self._owned_since:
            return
        if key not in self._tasks:
            self._create_task(service, shard)
        self._owned_since[key] = self._now()
        self._tasks[key].begin_ownership(self._owned_since[key])
        self._deps.events.record(
            'shard_owned',
            service=service.name,
            shard=shard,
        )

    def _create_task(self, service: Service, shard: int) -> ShardTask:
        key = (service.name, shard)
        policy = make_shard_policy(service, self._rng, self._weights)
        task = ShardTask(service.name, shard, policy, self._deps)
        self._tasks[key] = task
        self._post_runners(task, service)
        self._worker_tasks[key] = asyncio.create_task(task.run())
        return task

    def _post_runners(self, task: ShardTask, service: Service) -> None:
        runners = tuple(
            self._with_schedulable_state(vm)
            for vm in self._sources.runners()
            if vm.service == service.name
            and shard_of(vm.name, service.shards) == task.shard
        )
        key = (service.name, task.shard)
        if self._posted_runners.get(key) != runners:
            self._posted_runners[key] = runners
            task.post(RunnersListed(runners))

    def _with_schedulable_state(self, vm: Vm) -> Vm:
        # Out of the list, its runs would be forgotten while they go on; as
        # one that leaves, it ends them and gets no more.
        if self._sources.is_schedulable(vm.name):
            return vm
        return replace(vm, state=RunnerState.LEAVING)


def make_shards(sources: ShardSources, deps: ShardDeps) -> ShardTable:
    """Build a scheduler's table of shards."""
    return ShardTable(sources, deps, Random())
