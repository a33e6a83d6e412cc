"""The shards that a scheduler serves, and which of them it owns."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Final

from bramleybend.decisions.actions import ShardView
from bramleybend.decisions.ownership import rank_owners, shard_of
from bramleybend.decisions.quarantine import ContentStatus
from bramleybend.decisions.shard_policy import make_shard_policy
from bramleybend.decisions.tier_floor import DEFAULT_TIMES
from bramleybend.models import RunnerState, Service, Terms, Vm
from bramleybend.scheduler.pause_detector import PauseDetector
from bramleybend.scheduler.shard_messages import (
    OwnershipMoved,
    RunnersListed,
)
from bramleybend.scheduler.shard_task import ShardDeps, ShardTask
from bramleybend.state.member import Member

# Gateways send requests to a new owner before it reads the VM list again. The
# shard must have its runners by then, or it would refuse the requests.
UPDATE_INTERVAL_S: Final = 0.5
PAUSE_CHECKS_PER_UPDATE: Final = 10


@dataclass(frozen=True)
class ShardSources:
    """Accessors of the current state that decides which shards are owned."""

    terms: Callable[[], Terms | None]
    runners: Callable[[], Sequence[Vm]]
    members: Callable[[], Sequence[Member]]
    own_vm: str
    is_schedulable: Callable[[str], bool] = lambda _runner: True


class OwnershipCache:
    """Caches the owner of each shard until the members change."""

    def __init__(
        self,
        members: Callable[[], Sequence[Member]],
        own_vm: str,
    ) -> None:
        """Start with an empty cache."""
        self._members = members
        self._own_vm = own_vm
        self._cached_members: tuple[Member, ...] = ()
        self._owners: dict[tuple[str, int], str] = {}

    def is_owned(self, service: str, shard: int) -> bool:
        """Whether this VM owns a shard among the current members."""
        # Ranking hashes every member for every shard. With 350 members and 75
        # shards, ranking at each update would take more than this process's
        # share of a core, so shards are ranked only when the members change.
        members = tuple(self._members())
        if members != self._cached_members:
            self._cached_members = members
            self._owners.clear()
        key = (service, shard)
        if key not in self._owners:
            ranked = rank_owners(service, shard, members)
            self._owners[key] = ranked[0].vm if ranked else ''
        return self._owners[key] == self._own_vm


class ShardTable:
    """Creates a shard's task when the shard is first owned or requested."""

    def __init__(
        self,
        sources: ShardSources,
        deps: ShardDeps,
        rng: Random,
    ) -> None:
        """Start without any shard."""
        self._sources = sources
        self._deps = deps
        self._rng = rng
        self._tasks: dict[tuple[str, int], ShardTask] = {}
        self._worker_tasks: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._owned_since: dict[tuple[str, int], float] = {}
        self._pause_detector = PauseDetector(
            deps.clock, DEFAULT_TIMES.max_view_age_s
        )
        self._owners = OwnershipCache(sources.members, sources.own_vm)
        self._weights: dict[str, float] = {}
        self._weights_version = 0  # of the terms that the weights come from
        self._posted_runners: dict[tuple[str, int], tuple[Vm, ...]] = {}

    def get_task(self, service: str, shard: int) -> ShardTask | None:
        """Return a shard's task, or None if the terms don't declare the shard.

        A gateway may learn of a change of owner before this VM does, so this
        VM also serves shards that it doesn't own.
        """
        task = self._tasks.get((service, shard))
        if task is not None:
            return task
        terms = self._sources.terms()
        declared = terms.services.get(service) if terms else None
        if terms is None or declared is None or shard >= declared.shards:
            return None
        self._update_weights(terms)
        return self._create_task(declared, shard)

    def is_settled(self, task: ShardTask) -> bool:
        """Whether this owner knows every run of the shard.

        After a takeover the gateways register their runs again. Until the
        grace period is over, the owner may not know all lower-tier runs yet;
        if it reported that there are none, a higher tier would be shed while
        a lower one is being served.
        """
        if (task.service, task.shard) not in self._owned_since:
            return False
        return not self._pause_detector.was_paused and task.is_settled(
            self._now()
        )

    def get_verdict(self, fingerprint: str) -> ContentStatus:
        """Return whether content is clear, suspect or refused after crashes."""
        now = self._deps.clock.monotonic()
        return self._deps.crashes.status_of(fingerprint, now)

    async def run(self) -> None:
        """Apply changes of runners, terms and members until cancelled."""
        checks = 0
        while True:
            if checks % PAUSE_CHECKS_PER_UPDATE == 0:
                self.update()
            await asyncio.sleep(UPDATE_INTERVAL_S / PAUSE_CHECKS_PER_UPDATE)
            self.mark_running()
            checks += 1

    def mark_running(self) -> None:
        """Record that this process runs; update at once after a long pause."""
        if self._pause_detector.was_paused:
            self.update()
        self._pause_detector.mark_running()

    def update(self) -> None:
        """Begin or end ownership of shards and post changes of runners."""
        was_paused = self._pause_detector.was_paused
        self._pause_detector.mark_running()
        terms = self._sources.terms()
        if terms is None:
            return
        self._update_weights(terms)
        service_by_shard = {
            (service.name, shard): service
            for service in terms.services.values()
            for shard in range(service.shards)
        }
        for key in self._owned_since.keys() - service_by_shard.keys():
            self._end_ownership(key)
        for (_, shard), service in service_by_shard.items():
            self._update_shard(service, shard, was_paused=was_paused)

    def list_owned_loads(self) -> list[ShardView]:
        """Return the load of each shard that this VM owns."""
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
        """The tasks of all shards served, owned or not."""
        return tuple(self._tasks.values())

    @property
    def owned_shards(self) -> tuple[tuple[str, int], ...]:
        """The shards that this VM owns, by service and number."""
        return tuple(self._owned_since)

    def is_drained(self, service: str, shard: int, runner: str) -> bool:
        """Whether a runner has no run granted by this VM and will get none.

        The runner may still have runs that other VMs granted.
        """
        task = self._tasks.get((service, shard))
        if task is None:
            return True
        listed = task.runners.get(runner)
        is_closed = listed is None or listed.state is RunnerState.LEAVING
        return is_closed and runner not in task.runner_by_hold.values()

    def release_all(self) -> None:
        """Move every hold to the shard's next owner, before a planned stop."""
        self._owned_since.clear()
        for task in self._tasks.values():
            task.post(OwnershipMoved())

    def _update_weights(self, terms: Terms) -> None:
        # The policies of existing shards share this mapping, so changing it
        # in place applies the new weights to requests that already wait.
        if terms.version != self._weights_version:
            self._weights_version = terms.version
            self._weights.clear()
            for workspace in terms.workspaces.values():
                self._weights[workspace.name] = workspace.weight

    def _now(self) -> float:
        return self._deps.clock.monotonic()

    def _update_shard(
        self, service: Service, shard: int, *, was_paused: bool
    ) -> None:
        key = (service.name, shard)
        if self._owners.is_owned(service.name, shard):
            if was_paused:
                # Another VM may have owned the shard meanwhile. Gateways
                # register its runs here one by one, as after any takeover.
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
            self._with_effective_state(vm)
            for vm in self._sources.runners()
            if vm.service == service.name
            and shard_of(vm.name, service.shards) == task.shard
        )
        key = (service.name, task.shard)
        if self._posted_runners.get(key) != runners:
            self._posted_runners[key] = runners
            task.post(RunnersListed(runners))

    def _with_effective_state(self, vm: Vm) -> Vm:
        # An unschedulable runner counts as leaving: it finishes its runs and
        # gets no new ones. If it were left out, the shard would forget runs
        # that are still being served.
        if self._sources.is_schedulable(vm.name):
            return vm
        return replace(vm, state=RunnerState.LEAVING)


def make_shard_table(sources: ShardSources, deps: ShardDeps) -> ShardTable:
    """Build a scheduler's table of shards."""
    return ShardTable(sources, deps, Random())
