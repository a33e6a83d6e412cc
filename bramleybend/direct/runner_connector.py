"""Connects to runners: directly, or through another VM if that fails.

Failure: a VM loses its own links to runners. Whether a failed connection tells
of the runner or of the link can't be seen from the connection, but other VMs
can try the same runner.

The ways to a runner are raced: the next one starts once the one before it has
failed, or has taken `STAGGER_S`; the first connection wins. So a lost path
costs a request `STAGGER_S`, and nothing once the loss is known, as tunnels then
go first. Only if another VM doesn't reach the runner either is it reported as
down.
"""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Final

from bramleybend.clients.channel import CONNECT_TIMEOUT_S, Channel, connect
from bramleybend.clients.message_bounds import MessageBounds
from bramleybend.clock import Clock
from bramleybend.decisions.runner_paths import RunnerPaths
from bramleybend.direct.connection_race import Way, race
from bramleybend.direct.helper_choice import MAX_HELPERS, HelperChoice
from bramleybend.direct.members import Member
from bramleybend.direct.models import RunnerEntry
from bramleybend.direct.tunnel_channel import TunnelRefusedError, open_tunnel
from bramleybend.events import EventLog
from bramleybend.timeouts import timeout_scope

STAGGER_S: Final = 0.08
# Shorter than the time after which a silent connection is given up: if any
# runner was heard in this time, the links of this VM work.
HEARD_LATELY_S: Final = 1.0


class PathLostError(ConnectionError):
    """This VM doesn't reach a runner, which may be sound."""


class RunnerConnector:
    """Opens connections to runners and records which paths work."""

    def __init__(
        self,
        paths: RunnerPaths,
        helpers: HelperChoice,
        clock: Clock,
        bounds: MessageBounds,
        events: EventLog,
    ) -> None:
        """Create a connector; tunnels stay off until `enable_tunnels`."""
        self._paths = paths
        self._helpers = helpers
        self._clock = clock
        self._bounds = bounds
        self._events = events
        self._own_address = ''
        self._tunnel_port = 0
        self.on_tunnel: Callable[[str], object] = _ignore_tunnel  # service

    def enable_tunnels(self, own_address: str, port: int) -> None:
        """Open tunnels from an address of this VM to a port of others."""
        self._own_address = own_address
        self._tunnel_port = port

    async def connect(self, runner: RunnerEntry) -> Channel:
        """Open a connection; an `OSError` means that nothing was sent.

        Raises `PathLostError` unless the runner itself is likely to be down.
        """
        search = _HelperSearch(partial(self._choose_helpers, runner))
        tunnels = [
            partial(self._open_tunnel, runner, search)
            for _ in range(MAX_HELPERS)
        ]
        direct = partial(self.connect_directly, runner)
        ways: list[Way] = [direct, *tunnels]
        if self._paths.is_lost(runner.service, runner.incarnation):
            ways = [*tunnels, direct]
        try:
            async with timeout_scope(CONNECT_TIMEOUT_S):
                return await race(ways, STAGGER_S)
        except OSError as exc:
            self._note_unreached(runner, search)
            reason = str(exc) or 'it did not answer'
            if search.is_runner_down or not search.was_any_found:
                raise ConnectionError(reason) from exc
            raise PathLostError(reason) from exc

    async def connect_directly(self, runner: RunnerEntry) -> Channel:
        """Open a direct connection and record whether the path works."""
        started_at = self._clock.monotonic()
        try:
            channel = await connect(
                runner.address, runner.port, self._clock, bounds=self._bounds
            )
        except OSError:
            self.note_failed(runner)
            raise
        except asyncio.CancelledError:
            # Overtaken by a tunnel, or its caller left.
            if self._clock.monotonic() - started_at >= STAGGER_S:
                self.note_failed(runner)
            raise
        self.note_connected(runner)
        return channel

    def note_heard(self, runner: RunnerEntry) -> None:
        """Record that a runner answered."""
        now = self._clock.monotonic()
        self._paths.record_heard(runner.service, runner.incarnation, now)

    def note_silent(self, runner: RunnerEntry) -> bool:
        """Record that a runner acknowledged nothing for too long.

        Returns whether other runners answered meanwhile. If none did, this VM's
        own links are the likely cause.
        """
        since = self._clock.monotonic() - HEARD_LATELY_S
        if self._paths.was_other_heard(
            runner.service, runner.incarnation, since
        ):
            return True
        self.note_failed(runner)
        return False

    def is_silent(self, incarnation: str) -> bool:
        """Return whether a runner was not heard lately."""
        since = self._clock.monotonic() - HEARD_LATELY_S
        return not self._paths.was_heard(incarnation, since)

    def avoided(self) -> frozenset[str]:
        """Return the incarnations of runners that are not reached now."""
        return self._paths.avoided(self._clock.monotonic())

    def note_connected(self, runner: RunnerEntry) -> None:
        """Record that a direct connection to a runner succeeded."""
        service = runner.service
        was_unreached = self._paths.is_unreached(service)
        now = self._clock.monotonic()
        if self._paths.record_connected(service, runner.incarnation, now):
            self._events.record(
                'path_regained', service=service, runner=runner.name
            )
        if was_unreached and not self._paths.is_unreached(service):
            self._events.record('service_reached', service=service)

    def note_failed(self, runner: RunnerEntry) -> None:
        """Record that a direct connection to a runner failed."""
        service = runner.service
        was_unreached = self._paths.is_unreached(service)
        now = self._clock.monotonic()
        if self._paths.record_failure(service, runner.incarnation, now):
            self._events.record(
                'path_lost', service=service, runner=runner.name
            )
        if self._paths.is_unreached(service) and not was_unreached:
            self._events.record('service_unreached', service=service)

    def _choose_helpers(self, runner: RunnerEntry) -> list[Member]:
        if not self._tunnel_port:
            return []
        return self._helpers.choose(runner.service)

    def _note_unreached(
        self, runner: RunnerEntry, search: '_HelperSearch'
    ) -> None:
        self._paths.avoid(runner.incarnation, self._clock.monotonic())
        for vm in search.unanswered:
            self._helpers.avoid(vm)

    async def _open_tunnel(
        self, runner: RunnerEntry, search: '_HelperSearch'
    ) -> Channel:
        helper = search.next_helper()
        search.unanswered.add(helper.vm)
        try:
            channel = await open_tunnel(
                helper,
                self._tunnel_port,
                runner,
                self._clock,
                self._bounds,
                self._own_address,
            )
        except TunnelRefusedError as exc:
            search.unanswered.discard(helper.vm)
            search.is_runner_down |= exc.is_runner_unreachable
            raise
        self._events.record(
            'tunnel_opened',
            service=runner.service,
            runner=runner.name,
            via=helper.vm,
        )
        self.on_tunnel(runner.service)
        return channel


class _HelperSearch:
    """The VMs that are asked for one connection, and what they found out.

    They are chosen only once the direct connection fails or is slow.
    """

    def __init__(self, choose: Callable[[], list[Member]]) -> None:
        self._choose = choose
        self._helpers: list[Member] | None = None
        self.was_any_found = False
        self.is_runner_down = False  # another VM doesn't reach it either
        self.unanswered: set[str] = set()  # VMs that were asked

    def next_helper(self) -> Member:
        """Return the next VM to ask; an `OSError` means that there is none."""
        if self._helpers is None:
            self._helpers = self._choose()
            self.was_any_found = bool(self._helpers)
        if not self._helpers:
            raise ConnectionError('no other VM reaches it')
        return self._helpers.pop(0)


def _ignore_tunnel(service: str) -> None:
    """Stand in until a callback is set."""
