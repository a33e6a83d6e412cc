"""Builds the gateway process from its components, starts and stops it."""

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any, Final

import grpc

from bramleybend.clients.http_log import make_http_log
from bramleybend.clock import Clock
from bramleybend.control import ControlService
from bramleybend.decisions.tier_floor import ShedPermits
from bramleybend.events import EventLog
from bramleybend.gateway.floor_round import FloorRounds, FloorRpc
from bramleybend.gateway.forwarding import (
    Forwarder,
    ForwardRpc,
    HomeService,
)
from bramleybend.gateway.home import Home
from bramleybend.gateway.http_server import HttpServer
from bramleybend.gateway.intake import Intake, IntakeDeps
from bramleybend.gateway.job import DispatchDeps
from bramleybend.gateway.journal_writer import JournalWriter
from bramleybend.gateway.lost_home import LostHomes
from bramleybend.gateway.routes import Routes
from bramleybend.gateway.slot_client import OwnerRpc, SlotClient
from bramleybend.gateway.view import ViewFollower
from bramleybend.identity import Identity, make_identity
from bramleybend.loop_watch import LoopWatch
from bramleybend.metrics import Metric, make_metrics
from bramleybend.settings import Settings
from bramleybend.state.id_table import IdTable
from bramleybend.state.tickets import Ticket
from bramleybend.wire.bramleybend_pb2_grpc import (
    add_ControlServicer_to_server,
    add_HomeServicer_to_server,
)
from bramleybend.wire.channels import SERVER_OPTIONS, Channels
from bramleybend.wire.headers import Headers

DRAIN_POLL_S: Final = 0.05


class Gateway:
    """One gateway process."""

    def __init__(self, cfg: Settings, identity: Identity, clock: Clock) -> None:
        """Build the components; `start` runs them."""
        self.stopping = asyncio.Event()
        self.events = EventLog('gateway', identity.incarnation, clock)
        self._cfg = cfg
        self.identity = identity
        self._clock = clock
        self._tasks: list[asyncio.Task[Any]] = []
        self._channels = Channels()
        self._log = make_http_log(cfg.log_service)
        self._metrics = make_metrics(cfg.statsd, cfg.vm)
        self._headers = Headers(
            identity,
            self.events,
            lambda: self.views.terms_version,
        )
        self.views = ViewFollower(
            self._headers,
            str(cfg.address),
            cfg.scheduler_port,
            self._channels,
            clock,
            self.events,
        )
        self._deps = self._make_dispatch_deps()
        self.intake: Intake
        self._http: HttpServer
        self._grpc: grpc.aio.Server

    async def start(self) -> None:
        """Listen for callers, peers and operators; poll for views."""
        self.intake = self._make_intake()
        routes = Routes(self.intake, self._list_addresses)
        self._http = HttpServer(
            routes.handle,
            lambda: self._metrics.count(Metric.REJECTED, reason='http'),
        )
        self._grpc = grpc.aio.server(options=SERVER_OPTIONS)
        add_HomeServicer_to_server(
            HomeService(
                self.intake.accept_forwarded,
                self._clock,
                self._headers,
            ),
            self._grpc,
        )
        add_ControlServicer_to_server(
            ControlService(GatewayControl(self), self.events),
            self._grpc,
        )
        self._grpc.add_insecure_port(
            f'{self._cfg.address}:{self._cfg.gateway_port}',
        )
        await self._grpc.start()
        self._start_task(self.views.follow())
        self._start_task(LoopWatch(self.events, self._clock).run())
        await self._http.start(self._cfg.address, self._cfg.http_port)
        self.events.record('started', vm=self._cfg.vm)

    def reload(self) -> None:
        """Record that a reload is ignored; settings are read at the start."""
        self.events.record('reload_ignored')

    async def stop(self) -> None:
        """Refuse new requests, wait for those in flight, then close all."""
        self.intake.is_draining = True
        self.events.record('draining', in_flight=self.intake.in_flight)
        deadline = self._clock.monotonic() + self._cfg.drain_timeout_s
        while self._has_work and self._clock.monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
        await self._http.stop(max(deadline - self._clock.monotonic(), 0))
        for home in self.intake.homes:
            await home.journal.close()
        for task in self._tasks:
            task.cancel()
        await self._grpc.stop(grace=1)
        await self._channels.close()
        self.events.record('stopped', in_flight=self.intake.in_flight)

    @property
    def _has_work(self) -> bool:
        return bool(self.intake.in_flight or self._http.answering_count)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    def _list_addresses(self) -> list[str]:
        others = [
            member.address
            for member in self.views.owner_candidates()
            if member.address != self._cfg.address
        ]
        Random().shuffle(others)
        return [
            f'{address}:{self._cfg.http_port}'
            for address in (self._cfg.address, *others)
        ]

    def _is_member(self, address: str) -> bool:
        return any(
            member.address == address for member in self.views.view.members
        )

    def _make_dispatch_deps(self) -> DispatchDeps:
        slot_client = SlotClient(
            OwnerRpc(
                self._channels,
                self._cfg.scheduler_port,
                self.views.owner_candidates,
                self._headers,
            ),
            self._clock,
            self.events,
        )
        floor_rounds = FloorRounds(
            ShedPermits(),
            FloorRpc(
                self._channels,
                self._cfg.scheduler_port,
                slot_client.find_owner,
                lambda: self.views.view_age_s,
                self._headers,
            ),
            self._clock,
        )
        return DispatchDeps(
            slot_client,
            floor_rounds,
            self.views,
            self._clock,
            self.events,
            self._metrics,
            Random(),
        )

    def _make_intake(self) -> Intake:
        forwarder = Forwarder(
            ForwardRpc(self._channels, self._headers, self._is_member),
            LostHomes(self._log, self._cfg.vm, self._clock, self.events),
            self._clock,
            self.events,
        )
        return Intake(
            IntakeDeps(
                self.views,
                forwarder,
                self._new_home,
                self._clock,
                self.events,
                self._metrics,
                self._cfg.terms_stale_after_s,
            ),
        )

    def _new_home(self) -> Home:
        home_identity = make_identity(
            self._cfg.vm,
            self._cfg.domain,
            str(self._cfg.address),
        )
        journal = JournalWriter(
            self._log,
            home_identity.incarnation,
            self.events,
            self._metrics,
        )
        self._start_task(journal.run())
        return Home(
            Ticket(
                str(self._cfg.address),
                self._cfg.gateway_port,
                home_identity.incarnation,
                epoch=0,
            ),
            IdTable(home_identity.incarnation, self._clock.monotonic()),
            journal,
            self._deps,
        )


class GatewayControl:
    """The gateway's side of the operators' control service."""

    def __init__(self, gateway: Gateway) -> None:
        """Serve status and drain requests for one gateway."""
        self._gateway = gateway

    def status(self) -> dict[str, object]:
        """Return the fields of docs/operators/CTL.md."""
        gateway = self._gateway
        return {
            'process': 'gateway',
            'vm': gateway.identity.vm,
            'incarnation': gateway.identity.incarnation,
            'domain': gateway.identity.domain,
            'terms_version': gateway.views.terms_version,
            'terms_age_s': gateway.views.terms_age_s,
            'draining': gateway.intake.is_draining,
            'in_flight': gateway.intake.in_flight,
            'log_ok': all(home.journal.log_ok for home in gateway.intake.homes),
        }

    def drain(self) -> None:
        """Begin a planned stop."""
        self._gateway.stopping.set()


def make_gateway(cfg: Settings, clock: Clock) -> Gateway:
    """Build a gateway with a new incarnation."""
    identity = make_identity(cfg.vm, cfg.domain, str(cfg.address))
    return Gateway(cfg, identity, clock)
