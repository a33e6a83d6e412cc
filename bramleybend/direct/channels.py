"""The connections to runners, kept and shared by all requests of a VM."""

from collections import defaultdict
from collections.abc import Callable
from itertools import islice
from math import inf
from typing import Final

from bramleybend.clients.channel import Channel, connect
from bramleybend.clients.message_bounds import MessageBounds
from bramleybend.clock import Clock
from bramleybend.direct.answer_memory import AnswerMemory
from bramleybend.direct.models import RunnerEntry

MAX_CONNECTED_RUNNERS: Final = 4  # runners that an ask names


class RunnerChannels:
    """One VM's connections, by runner."""

    def __init__(
        self, clock: Clock, bounds: MessageBounds, memory: AnswerMemory
    ) -> None:
        """Start without connections."""
        self._clock = clock
        self.bounds = bounds
        self.memory = memory
        self._idle: dict[str, list[Channel]] = defaultdict(list)
        self._open: dict[str, int] = defaultdict(int)
        self._services: dict[str, str] = {}  # by runner
        self.max_connections: Callable[[RunnerEntry], float] = _unbounded

    async def acquire(
        self, runner: RunnerEntry, *, fresh: bool = False
    ) -> Channel:
        """Return a connection; an `OSError` means that nothing was sent."""
        self._services[runner.incarnation] = runner.service
        idle = self._idle[runner.incarnation]
        while idle and not fresh:
            channel = idle.pop()
            if channel.usable:
                return channel
            self._drop(runner.incarnation, channel)
        if self._open[runner.incarnation] >= self.max_connections(runner):
            raise ConnectionError('all our connections to it are in use')
        self._open[runner.incarnation] += 1
        try:
            return await connect(
                runner.address, runner.port, self._clock, bounds=self.bounds
            )
        except BaseException:
            self._open[runner.incarnation] -= 1
            raise

    def connected_runners(self, service: str) -> frozenset[str]:
        """Return a service's runners to which a connection is open and free.

        Of many, those that were used last: all of them would make an ask long.
        """
        free = (
            name
            for name, idle in reversed(self._idle.items())
            if idle and self._services.get(name) == service and idle[-1].usable
        )
        return frozenset(islice(free, MAX_CONNECTED_RUNNERS))

    def release(self, runner: RunnerEntry, channel: Channel) -> None:
        """Keep a connection whose exchange ended whole, else drop it."""
        if channel.release():
            # Put last, as the runner that was used last.
            idle = self._idle.pop(runner.incarnation, [])
            self._idle[runner.incarnation] = [*idle, channel]
        else:
            self._open[runner.incarnation] -= 1

    def drop(self, runner: RunnerEntry, channel: Channel) -> None:
        """Drop a connection in the middle of an exchange.

        One on which nothing was sent is kept.
        """
        if channel.usable:
            self._idle[runner.incarnation].append(channel)
        else:
            self._drop(runner.incarnation, channel)

    def keep_only(self, incarnations: set[str]) -> None:
        """Close what leads to runners that are gone."""
        for gone in self._idle.keys() - incarnations:
            self._services.pop(gone, None)
            for channel in self._idle.pop(gone):
                self._drop(gone, channel)

    def close_idle(self) -> None:
        """Close all that are idle."""
        self.keep_only(set())

    def _drop(self, incarnation: str, channel: Channel) -> None:
        channel.abort()
        self._open[incarnation] -= 1


def _unbounded(runner: RunnerEntry) -> float:
    return inf
