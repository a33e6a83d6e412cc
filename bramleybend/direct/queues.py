"""This VM's queues, one for each service."""

from collections.abc import Iterator
from random import Random
from typing import Final

from bramleybend.clock import Clock
from bramleybend.decisions.overload import UNBOUNDED, OverloadBounds
from bramleybend.direct.catalog import Catalog
from bramleybend.direct.members import Members
from bramleybend.direct.queue_log import QueueLog
from bramleybend.direct.ranks import rank_of
from bramleybend.direct.runner_limits import RunnerLimits
from bramleybend.direct.service_queue import ServiceQueue, make_queue
from bramleybend.events import EventLog

# A runner's rate limit is divided among as many VMs as can each send it at
# least one request in this time.
LIMIT_SHARING_S: Final = 2.0


class Queues:
    """Creates this VM's queues and passes runners and rate limits to them."""

    log: QueueLog

    def __init__(
        self,
        catalog: Catalog,
        members: Members,
        limits: RunnerLimits,
        clock: Clock,
        rng: Random,
        overload: OverloadBounds,
    ) -> None:
        """Start without queues; each is created when first used."""
        self._overload = overload
        self._catalog = catalog
        self._members = members
        self.limits = limits
        self._clock = clock
        self._rng = rng
        self._queues: dict[str, ServiceQueue] = {}

    def __iter__(self) -> Iterator[tuple[str, ServiceQueue]]:
        """Iterate over the queues with the names of their services."""
        return iter(self._queues.items())

    def queue_for(self, service: str) -> ServiceQueue:
        """Return a service's queue; creates it if necessary."""
        queue = self._queues.get(service)
        if queue is None:
            queue = make_queue(
                service,
                is_engine=self.is_engine(service),
                clock=self._clock,
                rng=self._rng,
                overload=self._overload,
            )
            self._queues[service] = queue
            entries = self._catalog.runners_by_service.get(service, ())
            queue.update_runners(entries, warm=True)
            self.update_rate_limits()
        return queue

    def is_engine(self, service: str) -> bool:
        """Tell whether one owner dispatches all requests of a service."""
        manifest = self._catalog.manifest
        declared = manifest.services.get(service) if manifest else None
        return declared is not None and declared.is_engine

    def engine_services(self) -> list[str]:
        """Return the services whose requests are dispatched by one owner."""
        manifest = self._catalog.manifest
        services = manifest.services if manifest else {}
        return [
            name for name, declared in services.items() if declared.is_engine
        ]

    def update_runners(self) -> None:
        """Pass the current runners to every queue."""
        for service, queue in self._queues.items():
            entries = self._catalog.runners_by_service.get(service, ())
            queue.update_runners(entries, warm=True)

    def update_rate_limits(self) -> None:
        """Pass the rate limits of runners to every queue.

        The owner of an engine service dispatches all of its requests, so it
        uses the whole limit. Requests of other services are dispatched by
        every VM: some VMs get an equal part of each limit, and the others send
        no requests to that runner.
        """
        full_limits = self.limits.in_force()
        own_parts = {
            runner: self._own_part(runner, per_s)
            for runner, per_s in full_limits.items()
        }
        for service, queue in self._queues.items():
            queue.update_rate_limits(
                full_limits if self.is_engine(service) else own_parts
            )

    def _own_part(self, runner: str, per_s: float) -> float:
        others = self._members.serving(self._clock.monotonic())
        vms = len(others) + 1
        sharing = max(min(int(per_s * LIMIT_SHARING_S), vms), 1)
        own_rank = rank_of(runner, self._members.own)
        ahead = sum(rank_of(runner, other) > own_rank for other in others)
        return per_s / sharing if ahead < sharing else 0


def make_queues(
    catalog: Catalog,
    members: Members,
    clock: Clock,
    events: EventLog,
    rng: Random,
    overload: OverloadBounds = UNBOUNDED,
) -> Queues:
    """Make a VM's queues, with the rate limits of runners and the log."""
    limits = RunnerLimits(clock, events, rng)
    queues = Queues(catalog, members, limits, clock, rng, overload)
    limits.on_change = queues.update_rate_limits
    queues.log = QueueLog(queues, events)
    return queues
