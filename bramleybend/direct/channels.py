"""Pools of connections to runners, shared by all requests of a VM."""

from collections import defaultdict
from collections.abc import Callable
from itertools import islice
from math import inf
from typing import Final, Protocol

from bramleybend.clients.channel import Channel
from bramleybend.clients.message_bounds import MessageBounds
from bramleybend.direct.message_memory import MessageMemory
from bramleybend.direct.models import RunnerEntry

# Runners with a free connection that a slot request names.
MAX_CONNECTED_RUNNERS: Final = 4


class Connector(Protocol):
    """Opens connections to runners and knows which paths work."""

    async def connect(self, runner: RunnerEntry) -> Channel:
        """Open a connection; an `OSError` means that nothing was sent."""

    def note_heard(self, runner: RunnerEntry) -> None:
        """Record that a runner answered."""

    def note_silent(self, runner: RunnerEntry) -> bool:
        """Record that a runner acknowledged nothing for too long.

        Returns whether other runners answered meanwhile. If none did, this VM's
        own links are the likely cause.
        """

    def is_silent(self, incarnation: str) -> bool:
        """Return whether a runner was not heard lately."""

    def avoided(self) -> frozenset[str]:
        """Return the incarnations of runners that are not reached now."""


class RunnerChannels:
    """The VM's connections to runners, pooled by incarnation."""

    def __init__(
        self, connector: Connector, bounds: MessageBounds, memory: MessageMemory
    ) -> None:
        """Create empty pools."""
        self.connector = connector
        self.bounds = bounds
        self.memory = memory
        self._idle: dict[str, list[Channel]] = defaultdict(list)
        self._open_counts: dict[str, int] = defaultdict(int)
        self._services: dict[str, str] = {}  # by runner
        self.max_connections: Callable[[RunnerEntry], float] = (
            _no_max_connections
        )

    async def acquire(self, runner: RunnerEntry) -> Channel:
        """Return a pooled or new connection.

        An `OSError` means that nothing was sent.
        """
        self._services[runner.incarnation] = runner.service
        idle = self._idle[runner.incarnation]
        while idle:
            channel = idle.pop()
            if channel.is_usable:
                return channel
            self._abort(runner.incarnation, channel)
        if self._open_counts[runner.incarnation] >= self.max_connections(
            runner
        ):
            raise ConnectionError('all our connections to it are in use')
        self._open_counts[runner.incarnation] += 1
        try:
            return await self.connector.connect(runner)
        except BaseException:
            self._open_counts[runner.incarnation] -= 1
            raise

    def connected_runners(self, service: str) -> frozenset[str]:
        """Return the service's runners that have a free, open connection.

        Only those that were used last are named, since naming all would make a
        slot request long.
        """
        free_runners = (
            name
            for name, idle in reversed(self._idle.items())
            if idle
            and self._services.get(name) == service
            and idle[-1].is_usable
        )
        return frozenset(islice(free_runners, MAX_CONNECTED_RUNNERS))

    def release(self, runner: RunnerEntry, channel: Channel) -> None:
        """Return a connection to its pool, or drop it if it can't be reused."""
        if channel.release():
            # Reinserted at the end of the dict, which orders runners by last
            # use.
            idle = self._idle.pop(runner.incarnation, [])
            self._idle[runner.incarnation] = [*idle, channel]
        else:
            self._open_counts[runner.incarnation] -= 1

    def drop(self, runner: RunnerEntry, channel: Channel) -> None:
        """Close a connection in the middle of an exchange.

        A connection on which nothing was sent returns to its pool.
        """
        if channel.is_usable:
            self._idle[runner.incarnation].append(channel)
        else:
            self._abort(runner.incarnation, channel)

    def add_idle(self, runner: RunnerEntry, channel: Channel) -> None:
        """Add a connection that was opened ahead of its use."""
        self._services[runner.incarnation] = runner.service
        self._open_counts[runner.incarnation] += 1
        self._idle[runner.incarnation].append(channel)

    def note_silent(self, runner: RunnerEntry) -> bool:
        """Handle that a runner acknowledged nothing for too long.

        Returns whether the runner is the likely cause. If this VM's links are,
        idle connections to other runners of the service are lost, too.
        """
        is_runner = self.connector.note_silent(runner)
        for name, service in self._services.items():
            if service == runner.service and self.connector.is_silent(name):
                self.close_idle_where(name, _is_direct)
        return is_runner

    def close_idle_where(
        self, incarnation: str, is_stale: Callable[[Channel], bool]
    ) -> None:
        """Close the idle connections to a runner that are stale."""
        idle = self._idle.get(incarnation, [])
        stale = [channel for channel in idle if is_stale(channel)]
        for channel in stale:
            idle.remove(channel)
            self._abort(incarnation, channel)

    def runners_with_idle(self) -> list[str]:
        """Return the incarnations of runners with an idle connection."""
        return [name for name, idle in self._idle.items() if idle]

    def close_all_except(self, incarnations: set[str]) -> None:
        """Close idle connections to runners that are not in `incarnations`."""
        for stale in self._idle.keys() - incarnations:
            self._services.pop(stale, None)
            for channel in self._idle.pop(stale):
                self._abort(stale, channel)

    def close_idle(self) -> None:
        """Close all idle connections."""
        self.close_all_except(set())

    def _abort(self, incarnation: str, channel: Channel) -> None:
        channel.abort()
        self._open_counts[incarnation] -= 1


def _is_direct(channel: Channel) -> bool:
    return channel.via is None


def _no_max_connections(runner: RunnerEntry) -> float:
    return inf
