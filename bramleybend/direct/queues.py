"""This VM's queues, one for each service."""

from collections.abc import Iterator
from random import Random

from bramleybend.clock import Clock
from bramleybend.direct.book import Book
from bramleybend.direct.owner import ServiceQueue, make_queue


class Queues:
    """This VM's queue of each service."""

    def __init__(self, book: Book, clock: Clock, rng: Random) -> None:
        """Start without services; they come with the manifest."""
        self._book = book
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
            )
            self._queues[service] = queue
            entries = self._book.runners.get(service, ())
            queue.take_runners(entries, warm=True)
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
