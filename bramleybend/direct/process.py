"""The program of an entry VM: builds, starts and stops its components."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Final

from result import Err, Ok

from bramleybend.clock import Clock
from bramleybend.decisions.allotments import (
    STARTUP_HOLD_S,
    make_allotment_ledger,
)
from bramleybend.direct.admission import AdmissionControl
from bramleybend.direct.catalog import Catalog
from bramleybend.direct.containment import Containment
from bramleybend.direct.drain import Drain
from bramleybend.direct.feed import Feed
from bramleybend.direct.header_codec import HeaderCodec
from bramleybend.direct.ingress import Ingress
from bramleybend.direct.job import Components
from bramleybend.direct.members import Members, OwnVm
from bramleybend.direct.meters import Meters
from bramleybend.direct.models import IngressLimits, RunnerEntry
from bramleybend.direct.peer_message_handler import (
    PeerMessageHandler,
    SharedTables,
)
from bramleybend.direct.peers import Peers
from bramleybend.direct.placement import Placer
from bramleybend.direct.queues import make_queues
from bramleybend.direct.request_handler import RequestHandler
from bramleybend.direct.runner_access import RunnerAccess
from bramleybend.direct.stream_origins import StreamLog
from bramleybend.direct.stream_recorder import make_streams
from bramleybend.direct.suspension import SWEEP_EVERY_S, WatchedSleep
from bramleybend.entry_settings import EntrySettings
from bramleybend.events import EventLog

# Share of the connections that a runner accepts from all VMs together. The rest
# is left for VMs that start and for connections that only one end has closed.
CONNECTION_SHARE: Final = 0.8

logger = logging.getLogger(__name__)


class EntryProcess:
    """Builds the components of an entry VM; starts and stops them."""

    def __init__(
        self,
        cfg: EntrySettings,
        clock: Clock,
        header_codec: HeaderCodec,
        stream_log: StreamLog,
        rng: Random,
    ) -> None:
        """Build the components; nothing is started yet."""
        self._cfg = cfg
        self._clock = clock
        self.identity = cfg.make_identity()
        self.events = EventLog(
            cfg.vm, self.identity.incarnation, clock, max_kept_events=0
        )
        self.catalog = Catalog(clock, self.events)
        self.meters = Meters(self._gauges())
        self.members = Members(
            OwnVm(
                cfg.vm,
                self.identity.incarnation,
                cfg.address,
                f'{cfg.front.host}:{cfg.front.port}',
                cfg.domain,
                cfg.capacity_level(),
            )
        )
        self._allotments = make_allotment_ledger(
            cfg.allotment_tolerance(),
            clock.monotonic(),
            is_first_start=cfg.first_start,
        )
        self.containment = Containment(clock, self.events)
        self._queues = make_queues(
            self.catalog,
            self.members,
            clock,
            self.events,
            rng,
            cfg.overload(),
        )
        self.placer = Placer(
            self.catalog, self.members, self._queues, clock, self.events
        )
        self.placer.may_own = self._may_own
        self._access = RunnerAccess(
            self.catalog,
            self.members,
            clock,
            self.events,
            rng,
            cfg.answer_bounds(),
            cfg.answer_memory(),
        )
        self._access.channels.max_connections = self._max_connections
        self._access.connector.on_tunnel = lambda service: self.meters.count(
            'tunnels_opened', service
        )
        tables = SharedTables(
            self.members,
            self.placer,
            self._queues,
            self._allotments,
            self.containment,
        )
        self._message_handler = PeerMessageHandler(
            tables, self._readiness, clock
        )
        self._message_handler.unreached = self._access.paths.unreached
        self.peers = Peers(
            self.members,
            self._queues.engine_services,
            self._message_handler,
            cfg.peer_port,
            clock,
            self.events,
        )
        self.peers.add_seeds(cfg.seed_addresses())
        self._streams = make_streams(
            self.catalog,
            self.members,
            stream_log,
            self.peers.send,
            clock,
            self.events,
        )
        self._message_handler.stream_recorder = self._streams.recorder
        self.placer.send = self.peers.send
        self._request_handler = RequestHandler(
            self._make_components(header_codec, rng)
        )
        self.ingress = Ingress(
            self._request_handler.handle,
            self._ingress_limits,
            clock,
            self._request_handler.record_unreadable,
            cfg.request_memory(),
        )
        self._tasks: list[asyncio.Task[None]] = []
        self.stop_requested = asyncio.Event()
        self.is_leaving = False
        self.on_sweep: Callable[[], None] = _ignore_sweep
        self.catalog.add_listener(self._catalog_changed)
        self.members.expected.is_unknown_until = (
            clock.monotonic() + STARTUP_HOLD_S
        )

    def is_ready(self) -> bool:
        """Return whether this VM accepts callers."""
        return self.catalog.is_complete and not self.is_leaving

    def front_addresses(self) -> list[str]:
        """Return the addresses of all VMs that accept callers now."""
        others = self.members.serving(self._clock.monotonic())
        addresses = [member.caller_endpoint for member in others]
        if self.is_ready():
            addresses.append(self.members.own.caller_endpoint)
        return sorted(addresses)

    async def start(self) -> None:
        """Bind the sockets and start the background tasks."""
        await self.peers.start(self._cfg.address)
        await self._access.start(self._cfg.address, self._cfg.peer_port)
        await self.ingress.start(self._cfg.front.host, self._cfg.front.port)
        self.spawn(self.peers.run())
        self.spawn(self._sweep_queues())
        self.spawn(self._queues.log.run())
        self.spawn(
            self._streams.recorder.run(is_first_start=self._cfg.first_start)
        )
        self.events.record('started', **self._cfg.logged_fields())

    def follow_feed(self, feed: Feed) -> None:
        """Follow a log of the platform and report progress to other VMs."""
        feed.store_schedule.is_among_first = self.members.is_among_first
        feed.woke_at = self.catalog.runner_list_age.standstills.woke_at
        self._message_handler.feeds.append(feed)
        self.spawn(feed.run())

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a background task; if it ends, the process stops."""
        task = asyncio.create_task(work)
        task.add_done_callback(self._stop_on_task_end)
        self._tasks.append(task)

    def reload(self) -> None:
        """Read new seeds from the settings; other settings don't change."""
        match self._cfg.read_again():
            case Ok(cfg):
                self.peers.add_seeds(cfg.seed_addresses())
                self.events.record('reloaded', seeds=cfg.seeds)
            case Err(problem):
                self.events.record('reload_refused', why=str(problem))

    async def drain(self) -> None:
        """Withdraw from the directory, then wait for requests in flight."""
        self.is_leaving = True
        self.peers.send_round()
        drain = Drain(
            self.ingress,
            self._request_handler,
            self._is_busy,
            self._clock,
            self.events,
        )
        await drain.run(self._cfg.drain_timeout_s)

    async def close(self) -> None:
        """Close connections and cancel tasks at once."""
        await self.ingress.stop()
        for task in self._tasks:
            task.remove_done_callback(self._stop_on_task_end)
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.peers.close()
        self._access.close()

    def _is_busy(self) -> bool:
        """Return whether callers, or those of other VMs, are still served."""
        return bool(self.ingress.busy_count or self._access.tunnels.open_count)

    def _stop_on_task_end(self, task: 'asyncio.Task[None]') -> None:
        """Stop the process, which must not serve without one of its tasks."""
        if not task.cancelled():
            logger.error(
                'a background task ended; stopping the process',
                exc_info=task.exception(),
            )
            self.stop_requested.set()

    def _make_components(
        self, header_codec: HeaderCodec, rng: Random
    ) -> Components:
        return Components(
            self.catalog,
            AdmissionControl(
                self.catalog,
                self.members,
                self._allotments,
                self._queues,
                self._clock,
                rng,
            ),
            self.placer,
            self.containment,
            self._access.make_crash_check(self.containment),
            self._queues.limits,
            self._access.channels,
            header_codec,
            self._cfg.resend_budget(),
            self._streams.versions,
            self._streams.origins,
            self.members.count,
            self._tokens_per_event,
            self._clock,
            self.events,
            self.meters,
        )

    def _gauges(self) -> dict[str, Callable[[], float]]:
        return {
            'manifest_age_seconds': self.catalog.manifest_age_s,
            'manifest_version': self.catalog.manifest_version,
            'runners': lambda: sum(
                map(len, self.catalog.runners_by_service.values())
            ),
            'peers_alive': lambda: len(
                self.members.alive(self._clock.monotonic())
            ),
            'in_flight': lambda: self.ingress.busy_count,
            'tunnels_served': lambda: self._access.tunnels.open_count,
            'services_unreached': lambda: len(self._access.paths.unreached()),
            'peer_messages': lambda: self.peers.traffic.sent_messages,
            'peer_bytes': lambda: self.peers.traffic.sent_bytes,
        }

    def _ingress_limits(self) -> IngressLimits:
        manifest = self.catalog.manifest
        return manifest.limits if manifest else IngressLimits()

    def _tokens_per_event(self, service: str) -> int:
        manifest = self.catalog.manifest
        facts = manifest.services.get(service) if manifest else None
        return facts.event_tokens if facts else 1

    def _max_connections(self, runner: RunnerEntry) -> float:
        manifest = self.catalog.manifest
        facts = manifest.services.get(runner.service) if manifest else None
        max_total = facts.max_connections if facts else 1
        return max(max_total * CONNECTION_SHARE / self.members.count(), 1)

    def _may_own(self) -> bool:
        return self.is_ready()

    def _readiness(self) -> tuple[bool, bool]:
        return self.is_ready(), self.is_leaving

    def _catalog_changed(self) -> None:
        self._streams.versions.update()
        self._queues.update_runners()
        incarnations = self._access.update_runners()
        self._queues.limits.retain_only(incarnations)

    async def _sweep_queues(self) -> None:
        loop = asyncio.get_running_loop()
        watched = WatchedSleep(self.events, self._clock, loop.time)
        standstills = self.catalog.runner_list_age.standstills
        standstills.note_running()
        while True:
            if await watched.sleep(SWEEP_EVERY_S):
                for feed in self._message_handler.feeds:
                    feed.wake()
            standstills.note_running()
            for _, queue in self._queues:
                queue.drop_expired()
            self._queues.update_rate_limits()
            self._access.sweep()
            self.on_sweep()


def _ignore_sweep() -> None:
    """Serve as the callback until another one is set."""
