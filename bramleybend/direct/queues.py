"""This VM's queues, one for each service."""

from collections.abc import Iterator
from random import Random
from typing import Final

from bramleybend.clock import Clock
from bramleybend.decisions.overload import UNBOUNDED, Overload
from bramleybend.direct.book import Book
from bramleybend.direct.members import Members
from bramleybend.direct.owner import ServiceQueue, make_queue
from bramleybend.direct.queue_log import QueueLog
from bramleybend.direct.ranks import rank_of
from bramleybend.direct.runner_limits import RunnerLimits
from bramleybend.events import EventLog

# VMs share a limit while each of them has a request in this time.
SHARING_S: Final = 2.0


class Queues:
    """This VM's queue of each service."""

    log: QueueLog

    def __init__(
        self,
        book: Book,
        members: Members,
        limits: RunnerLimits,
        clock: Clock,
        rng: Random,
        overload: Overload,
    ) -> None:
        """Start without services; they come with the manifest."""
        self._overload = overload
        self._book = book
        self._members = members
        self.limits = limits
        self._clock = clock
        self._rng = rng
        self._queues: dict[str, ServiceQueue] = {}

    def __iter__(self) -> Iterator[tuple[str, ServiceQueue]]:
        """Go over the queues by service."""
        return iter(self._queues.items())

    def of(self, service: str) -> ServiceQueue:
        """Return a service's queue."""
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
            entries = self._book.runners.get(service, ())
            queue.take_runners(entries, warm=True)
            self.take_limits()
        return queue

    def is_engine(self, service: str) -> bool:
        """Tell whether a service's work is ordered by one owner."""
        manifest = self._book.manifest
        facts = manifest.services.get(service) if manifest else None
        return facts is not None and facts.is_engine

    def engines(self) -> list[str]:
        """Return the services whose work is ordered by one owner."""
        manifest = self._book.manifest
        services = manifest.services if manifest else {}
        return [name for name, facts in services.items() if facts.is_engine]

    def take_runners(self) -> None:
        """Tell every queue which runners it has now."""
        for service, queue in self._queues.items():
            entries = self._book.runners.get(service, ())
            queue.take_runners(entries, warm=True)

    def take_limits(self) -> None:
        """Tell every queue how often runners in need may get a request.

        An engine's owner orders all of its work, so it uses the whole limit.
        Other services are ordered by each VM for itself: of their limits each
        of some VMs has a part, and the others send nothing there.
        """
        whole = self.limits.in_force()
        parts = {
            runner: self._part_of(runner, per_s)
            for runner, per_s in whole.items()
        }
        for service, queue in self._queues.items():
            queue.take_rates(whole if self.is_engine(service) else parts)

    def _part_of(self, runner: str, per_s: float) -> float:
        others = self._members.serving(self._clock.monotonic())
        vms = len(others) + 1
        sharing = max(min(int(per_s * SHARING_S), vms), 1)
        ours = rank_of(runner, self._members.own)
        ahead = sum(rank_of(runner, one) > ours for one in others)
        return per_s / sharing if ahead < sharing else 0


def make_queues(
    book: Book,
    members: Members,
    clock: Clock,
    events: EventLog,
    rng: Random,
    overload: Overload = UNBOUNDED,
) -> Queues:
    """Make the queues of a VM, which keep to what runners say they take."""
    limits = RunnerLimits(clock, events, rng)
    queues = Queues(book, members, limits, clock, rng, overload)
    limits.changed = queues.take_limits
    queues.log = QueueLog(queues, events)
    return queues
