"""The scheduler process: builds its parts, starts them and stops them."""

import asyncio
from typing import Any, Final

import grpc

from bramleybend.clients.http_log import make_http_log
from bramleybend.clients.http_vm_list import make_http_vm_list
from bramleybend.clock import Clock
from bramleybend.control import ControlService
from bramleybend.decisions.actions import ShardView
from bramleybend.decisions.ownership import rank_owners
from bramleybend.decisions.quarantine import CrashRegistry
from bramleybend.events import EventLog
from bramleybend.identity import Identity, make_identity
from bramleybend.loop_watch import LoopWatch
from bramleybend.metrics import Metric, make_metrics
from bramleybend.scheduler.order_deps import OrderDeps, OrderSources
from bramleybend.scheduler.order_manager import OrderManager, make_order_manager
from bramleybend.scheduler.owner_service import OwnerService
from bramleybend.scheduler.peer_transport import GrpcPeerTransport
from bramleybend.scheduler.peers import PeerSources, make_peers
from bramleybend.scheduler.scheduler_control import SchedulerControl
from bramleybend.scheduler.shard_table import (
    ShardSources,
    ShardTable,
    make_shard_table,
)
from bramleybend.scheduler.shard_task import ShardDeps
from bramleybend.scheduler.suspect_records import export_suspects
from bramleybend.scheduler.view_service import ViewService, ViewSources
from bramleybend.scheduler.vm_list_poller import VmListPoller
from bramleybend.settings import Settings
from bramleybend.state.terms_follower import FollowerDeps, TermsFollower
from bramleybend.wire.bramleybend_pb2_grpc import (
    add_ControlServicer_to_server,
    add_LocalServicer_to_server,
    add_OwnerServicer_to_server,
)
from bramleybend.wire.channels import SERVER_OPTIONS
from bramleybend.wire.headers import Headers

# Gateways learn within one view, 0.5 s, that this owner is leaving. Requests
# that arrive later are still served, and their gateways register the runs with
# the next owner.
LEAVE_NOTICE_S: Final = 2.0
RELEASE_WAIT_S: Final = 0.05  # for the shard tasks to close their streams
GAUGE_INTERVAL_S: Final = 1.0
GRPC_STOP_GRACE_S: Final = 0.5


class Scheduler:
    """One scheduler process."""

    def __init__(self, cfg: Settings, identity: Identity, clock: Clock) -> None:
        """Connect the parts; nothing runs before `start`."""
        self.stopping = asyncio.Event()
        self.identity = identity
        self.events = EventLog('scheduler', identity.incarnation, clock)
        self._cfg = cfg
        self._clock = clock
        self._tasks: list[asyncio.Task[Any]] = []
        self._metrics = make_metrics(cfg.statsd, cfg.vm)
        self._headers = Headers(
            identity,
            self.events,
            lambda: self.terms_follower.version,
        )
        self.crashes = CrashRegistry()
        self.vm_list_poller = VmListPoller(
            make_http_vm_list(cfg.vm_list),
            cfg.list_poll_s,
            clock,
            self.events,
            self._metrics,
        )
        self.terms_follower = self._make_terms_follower()
        self.order_manager = self._make_order_manager()
        self.shard_table = self._make_shard_table()
        self._peer_transport = GrpcPeerTransport(cfg.scheduler_port)
        self.peers = make_peers(
            self._peer_sources(), self._peer_transport, clock
        )
        self._grpc_server: grpc.aio.Server

    async def start(self) -> None:
        """Open the gRPC port and start the background tasks."""
        self._grpc_server = grpc.aio.server(options=SERVER_OPTIONS)
        self._add_services()
        await self._grpc_server.start()
        self._start_tasks()
        self.events.record('started', vm=self._cfg.vm)

    def reload(self) -> None:
        """Keep the settings; flags and environment variables can't change."""
        self.events.record('reload_ignored')

    async def stop(self) -> None:
        """Announce the stop, release every shard, then stop serving."""
        self.events.record('draining')
        self.peers.announce_leaving()
        await asyncio.sleep(LEAVE_NOTICE_S)
        self.shard_table.release_all()
        await asyncio.sleep(RELEASE_WAIT_S)
        for task in self._tasks:
            task.cancel()
        await self._grpc_server.stop(GRPC_STOP_GRACE_S)
        await self._peer_transport.close()
        self.events.record('stopped')

    def list_shard_views(self) -> list[ShardView]:
        """Return a view of every declared shard.

        The load of a shard that this VM doesn't own comes by gossip; it is 0
        for a shard of which nothing is known.
        """
        own = {
            (each.service, each.shard): each
            for each in self.shard_table.list_owned_loads()
        }
        remote = self.peers.get_remote_loads()
        terms = self.terms_follower.terms
        if terms is None:
            return []
        return [
            own.get((service.name, shard))
            or remote.get((service.name, shard))
            or ShardView(service.name, shard, 0, 0, 0, 0)
            for service in terms.services.values()
            for shard in range(service.shards)
        ]

    def _add_services(self) -> None:
        add_OwnerServicer_to_server(
            OwnerService(self.shard_table, self._clock, self._headers),
            self._grpc_server,
        )
        add_LocalServicer_to_server(
            ViewService(self._view_sources(), self._headers),
            self._grpc_server,
        )
        add_ControlServicer_to_server(
            ControlService(SchedulerControl(self), self.events),
            self._grpc_server,
        )
        self.peers.add_service(self._grpc_server)
        self._grpc_server.add_insecure_port(
            f'{self._cfg.address}:{self._cfg.scheduler_port}',
        )

    def _start_tasks(self) -> None:
        for work in (
            self.vm_list_poller.run(),
            self.terms_follower.follow(),
            self.peers.run(),
            self.shard_table.run(),
            self.order_manager.run(),
            self._send_gauges(),
            LoopWatch(self.events, self._clock).run(),
        ):
            self._tasks.append(asyncio.create_task(work))

    def _make_terms_follower(self) -> TermsFollower:
        return TermsFollower(
            FollowerDeps(
                make_http_log(self._cfg.log_service),
                lambda: self.peers.fetch_terms(),
                self._is_terms_renewer,
            ),
            self._clock,
            self.events,
            self._metrics,
        )

    def _make_shard_table(self) -> ShardTable:
        return make_shard_table(
            ShardSources(
                lambda: self.terms_follower.terms,
                lambda: self.vm_list_poller.runners,
                lambda: self.peers.list_owner_candidates(),
                self.identity.vm,
                self.order_manager.is_schedulable,
            ),
            ShardDeps(
                self._clock,
                self.events,
                self._metrics,
                self.crashes,
            ),
        )

    def _make_order_manager(self) -> OrderManager:
        return make_order_manager(
            OrderSources(
                lambda: self.terms_follower.terms,
                lambda: (
                    self.peers.terms_age_s() <= self._cfg.terms_stale_after_s
                ),
                lambda: self.vm_list_poller.runners,
                lambda: self.shard_table.owned_shards,
                lambda *runner: self.shard_table.is_drained(*runner),
            ),
            OrderDeps(
                self.identity.vm,
                make_http_log(self._cfg.log_service),
                self._clock,
                self.events,
                self._metrics,
            ),
        )

    def _peer_sources(self) -> PeerSources:
        return PeerSources(
            self.identity,
            self.terms_follower,
            self.crashes,
            lambda: self.vm_list_poller.entry_vms,
            lambda: self.shard_table.list_owned_loads(),
        )

    def _view_sources(self) -> ViewSources:
        return ViewSources(
            self.terms_follower,
            lambda: self.peers.list_contacts(),
            lambda: self.vm_list_poller.runners,
            self.list_shard_views,
            lambda: export_suspects(self.crashes),
            self.peers.terms_age_s,
        )

    def _is_terms_renewer(self) -> bool:
        ranked = rank_owners('terms', 0, self.peers.list_owner_candidates())
        return bool(ranked) and (ranked[0].vm == self.identity.vm)

    async def _send_gauges(self) -> None:
        while True:
            await asyncio.sleep(GAUGE_INTERVAL_S)
            self._metrics.gauge(
                Metric.TERMS_VERSION, self.terms_follower.version
            )
            self._metrics.gauge(
                Metric.MEMBERS, len(self.peers.list_owner_candidates())
            )
            self._metrics.gauge(Metric.TERMS_AGE, self.peers.terms_age_s())


def make_scheduler(cfg: Settings, clock: Clock) -> Scheduler:
    """Build a scheduler with a new incarnation id."""
    identity = make_identity(cfg.vm, cfg.domain, str(cfg.address))
    return Scheduler(cfg, identity, clock)
