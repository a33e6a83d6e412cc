"""Records the queue lengths and free slots of a VM's queues every second.

To a caller, a request that waits or is refused looks the same whether the
runners are full, the owner is slow or its policy leaves slots free. These
events tell the cases apart.
"""

import asyncio
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

from bramleybend.direct.service_queue import ServiceQueue
from bramleybend.events import MILLISECONDS, EventLog

INTERVAL_S: Final = 1.0


class QueueLog:
    """Records an event for each queue in which requests wait."""

    def __init__(
        self, queues: Iterable[tuple[str, ServiceQueue]], events: EventLog
    ) -> None:
        """Record these queues, given with their services' names."""
        self._queues = queues
        self._events = events

    async def run(self) -> None:
        """Record every second until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            self.record()

    def record(self) -> None:
        """Record the queues now and reset their counts."""
        for service, queue in self._queues:
            backlog = queue.backlog()
            counts = Counter(queue.counts)
            queue.counts.clear()
            if backlog is not None:
                self._events.record(
                    'queue',
                    service=service,
                    waiting=_format_by_tier(backlog.waiting),
                    oldest_ms=int(backlog.oldest_wait_s * MILLISECONDS),
                    running=backlog.running,
                    slots=backlog.slots,
                    open_runners=backlog.free_runners,
                    asked=counts['asked'],
                    repeated=counts['repeated'],
                    granted=counts['granted'],
                    refused=counts['refused'],
                )


def _format_by_tier(waiting: Mapping[int, int]) -> str:
    return ','.join(f'{tier}:{count}' for tier, count in waiting.items())
