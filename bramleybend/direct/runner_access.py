"""This VM's ways to the runners: connections, tunnels and what it knows of them."""

import asyncio
from functools import partial
from random import Random
from typing import Final

from bramleybend.clients.channel import Channel
from bramleybend.clients.message_bounds import MessageBounds
from bramleybend.clock import Clock
from bramleybend.decisions.runner_paths import RunnerPaths
from bramleybend.direct.catalog import Catalog
from bramleybend.direct.channels import RunnerChannels
from bramleybend.direct.containment import Containment
from bramleybend.direct.crash_check import CrashCheck
from bramleybend.direct.helper_choice import HelperChoice
from bramleybend.direct.members import Members
from bramleybend.direct.message_memory import MessageMemory
from bramleybend.direct.models import RunnerEntry, RunnerState
from bramleybend.direct.runner_connector import RunnerConnector
from bramleybend.direct.tunnel_channel import TUNNEL_PORT_OFFSET
from bramleybend.direct.tunnel_server import TunnelServer
from bramleybend.events import EventLog

# Probes of lost paths at a time. A VM that has lost many probes them in turn.
MAX_PROBES: Final = 4


class RunnerAccess:
    """Keeps connections, tunnels and paths in line with runners and VMs."""

    def __init__(
        self,
        catalog: Catalog,
        members: Members,
        clock: Clock,
        events: EventLog,
        rng: Random,
        bounds: MessageBounds,
        memory: MessageMemory,
    ) -> None:
        """Build the parts; `start` opens the port for tunnels."""
        self._catalog = catalog
        self._members = members
        self._clock = clock
        self.paths = RunnerPaths()
        self._helpers = HelperChoice(members, clock, rng)
        self.connector = RunnerConnector(
            self.paths, self._helpers, clock, bounds, events
        )
        self.channels = RunnerChannels(self.connector, bounds, memory)
        self.tunnels = TunnelServer(
            self._find_runner, self._is_peer, self.connector, events
        )
        self._probes: dict[str, asyncio.Task[None]] = {}  # by runner

    async def start(self, address: str, peer_port: int) -> None:
        """Accept tunnels of other VMs, and open some when necessary."""
        port = peer_port + TUNNEL_PORT_OFFSET
        await self.tunnels.start(address, port)
        self.connector.enable_tunnels(address, port)

    def close(self) -> None:
        """Close all idle connections and all tunnels."""
        for task in self._probes.values():
            task.cancel()
        self.tunnels.close()
        self.channels.close_idle()

    def make_crash_check(self, containment: Containment) -> CrashCheck:
        """Make the check that tells crashes of runners from lost paths."""
        return CrashCheck(self.channels, containment)

    def update_runners(self) -> set[str]:
        """Forget the runners that are gone; return those in use."""
        by_service = {
            service: {entry.incarnation for entry in entries}
            for service, entries in self._catalog.runners_by_service.items()
        }
        self.paths.update_runners(by_service)
        incarnations = set().union(*by_service.values())
        self.channels.close_all_except(incarnations)
        return incarnations

    def sweep(self) -> None:
        """Probe lost paths; close tunnels through VMs that leave or are lost."""
        for runner in self.channels.runners_with_idle():
            self.channels.close_idle_where(runner, self._is_useless_tunnel)
        now = self._clock.monotonic()
        for runner in self.paths.due_probes(now, MAX_PROBES):
            entry = self._catalog.used_runner(runner)
            if entry is not None and runner not in self._probes:
                task = asyncio.create_task(self._probe(entry))
                self._probes[runner] = task
                task.add_done_callback(partial(self._end_probe, runner))

    async def _probe(self, runner: RunnerEntry) -> None:
        try:
            channel = await self.connector.connect_directly(runner)
        except OSError:
            return  # logged as a lost path, and probed again
        self.channels.add_idle(runner, channel)
        self.channels.close_idle_where(runner.incarnation, _is_tunnel)

    def _end_probe(self, runner: str, task: 'asyncio.Task[None]') -> None:
        self._probes.pop(runner, None)

    def _is_useless_tunnel(self, channel: Channel) -> bool:
        return channel.via is not None and not self._helpers.is_usable(
            channel.via
        )

    def _find_runner(self, service: str, name: str) -> RunnerEntry | None:
        """Return a runner to which a tunnel may lead."""
        entry = self._catalog.used_runner(name)
        if entry is None or entry.service != service:
            return None
        return None if entry.state is RunnerState.LEAVING else entry

    def _is_peer(self, address: str) -> bool:
        return any(member.address == address for member in self._members)


def _is_tunnel(channel: Channel) -> bool:
    return channel.via is not None
