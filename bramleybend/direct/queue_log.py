"""Tells once a second what waits at an owner, beside its free slots.

Requests that wait or are refused look the same to their callers whether the
runners are full, the owner is late or its policy leaves slots free.
"""

import asyncio
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

from bramleybend.direct.owner import ServiceQueue
from bramleybend.events import MILLISECONDS, EventLog

EVERY_S: Final = 1.0


class QueueLog:
    """Records the queues in which something waits."""

    def __init__(
        self, queues: Iterable[tuple[str, ServiceQueue]], events: EventLog
    ) -> None:
        """Watch a VM's queues."""
        self._queues = queues
        self._events = events

    async def run(self) -> None:
        """Record each second, until cancelled."""
        while True:
            await asyncio.sleep(EVERY_S)
            self.record()

    def record(self) -> None:
        """Record the queues as they stand now."""
        for service, queue in self._queues:
            backlog = queue.backlog()
            counts = Counter(queue.counts)
            queue.counts.clear()
            if backlog is not None:
                self._events.record(
                    'queue',
                    service=service,
                    waiting=_by_tier(backlog.waiting),
                    oldest_ms=int(backlog.oldest_s * MILLISECONDS),
                    running=backlog.running,
                    slots=backlog.slots,
                    open_runners=backlog.open_runners,
                    asked=counts['asked'],
                    repeated=counts['repeated'],
                    granted=counts['granted'],
                    refused=counts['refused'],
                )


def _by_tier(waiting: Mapping[int, int]) -> str:
    return ','.join(f'{tier}:{count}' for tier, count in waiting.items())
