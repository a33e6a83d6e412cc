"""Process of an entry VM, connected to the platform's interfaces."""

from importlib import import_module
from random import Random

from bramleybend.clock import Clock
from bramleybend.direct.feed import Feed, FeedSettings
from bramleybend.direct.ingress import Ingress
from bramleybend.direct.log_backup import BackedUpLog, LogBackup
from bramleybend.direct.models import IngressLimits
from bramleybend.direct.process import EntryProcess
from bramleybend.direct.quarantine_backup import QuarantineBackup
from bramleybend.direct.runner_list import RunnerList
from bramleybend.direct.vm_discovery import VmDiscovery
from bramleybend.entry_settings import EntrySettings
from bramleybend.platform.directory import Directory
from bramleybend.platform.feeds import (
    MANIFEST_FEED,
    RUNNER_FEED,
    ManifestApplier,
)
from bramleybend.platform.mirror import Mirror
from bramleybend.platform.platform_dialect import make_header_codec
from bramleybend.platform.quarantine_records import QuarantineRecords
from bramleybend.platform.runner_entry import decode_runner
from bramleybend.platform.snapshot_store import SnapshotStore
from bramleybend.platform.store_client import StoreClient, make_mirror_client
from bramleybend.platform.stream_records import StreamRecords
from bramleybend.platform.vm_records import VmRecords


class PlatformProcess:
    """Runs an entry process, its feeds from the store and its listeners."""

    def __init__(self, cfg: EntrySettings, clock: Clock) -> None:
        """Create the parts; `start` opens the ports."""
        self._cfg = cfg
        self._clock = clock
        self._rng = Random()
        self.store = StoreClient(cfg.store.host, cfg.store.port, clock)
        self.entry = EntryProcess(
            cfg,
            clock,
            make_header_codec(),
            StreamRecords(self.store),
            self._rng,
        )
        self.stopping = self.entry.stop_requested
        self.reload = self.entry.reload
        self._mirror_clients: dict[str, StoreClient] = {}
        self.feeds = (self._make_manifest_feed(), self._make_runner_feed())
        self._listeners = self._make_listeners()

    async def start(self) -> None:
        """Listen on all ports and start following the store."""
        for listener, host, port in self._listeners:
            await listener.start(host, port)
        for feed in self.feeds:
            self.entry.follow_feed(feed)
        self.entry.spawn(self._make_last_known().run())
        self.entry.spawn(self._make_discovery().run())
        quarantine = self._make_quarantine_backup()
        await quarantine.prepare()
        self.entry.spawn(quarantine.run())
        await self.entry.start()

    async def stop(self) -> None:
        """Drain the requests in flight first, then close everything."""
        await self.entry.drain()
        await self.kill()

    async def kill(self) -> None:
        """Close everything without waiting for requests in flight."""
        await self.entry.close()
        for listener, _, _ in self._listeners:
            await listener.stop()
        for client in (self.store, *self._mirror_clients.values()):
            client.close()

    def _make_last_known(self) -> LogBackup:
        catalog = self.entry.catalog
        manifests, runners = self.feeds
        logs = (
            BackedUpLog(manifests, catalog.manifest_version),
            BackedUpLog(runners, lambda: catalog.runners_by_service),
        )
        kept_pages = SnapshotStore(self.store)
        return LogBackup(logs, kept_pages, catalog, self.entry.events)

    def _make_discovery(self) -> VmDiscovery:
        manifests, _ = self.feeds
        return VmDiscovery(
            VmRecords(self.store),
            self.entry.members,
            self.entry.peers.contact,
            manifests.is_leader,
            self._clock,
            self.entry.events,
            self._rng,
        )

    def _make_quarantine_backup(self) -> QuarantineBackup:
        manifests, _ = self.feeds
        return QuarantineBackup(
            self.entry.containment,
            QuarantineRecords(self.store),
            manifests.is_leader,
            self._clock,
            self.entry.events,
        )

    def _render_metrics(self) -> bytes:
        # Imported at the first scrape only; see `bramleybend.direct.meters`.
        exposition_module = import_module('bramleybend.direct.exposition')
        return bytes(exposition_module.render_metrics(self.entry.meters))

    def _make_manifest_feed(self) -> Feed:
        feed = self._make_feed(MANIFEST_FEED)
        catalog = self.entry.catalog
        feed.on_page = ManifestApplier(catalog, self.entry.events).apply_page
        feed.on_confirmed = catalog.confirm_manifest
        return feed

    def _make_runner_feed(self) -> Feed:
        feed = self._make_feed(RUNNER_FEED)
        runners = RunnerList(
            self.entry.catalog,
            decode_runner,
            self.entry.events,
        )
        feed.on_page = runners.apply_page
        feed.on_confirmed = runners.note_confirmed
        feed.on_failed = self.entry.catalog.runner_list_age.note_failed
        self.entry.on_sweep = runners.drop_expired
        return feed

    def _make_feed(self, terms: FeedSettings) -> Feed:
        return Feed(
            terms,
            self.store,
            self._get_mirror_client,
            self._clock,
            self.entry.events,
            self._rng,
        )

    def _get_mirror_client(self, address: str) -> StoreClient:
        """Return the client that reads another VM's copy of the store."""
        client = self._mirror_clients.get(address)
        if client is None:
            port = self._cfg.peer_port
            client = make_mirror_client(address, port, self._clock)
            self._mirror_clients[address] = client
        return client

    def _make_listeners(self) -> list[tuple[Ingress, str, int]]:
        cfg = self._cfg
        directory = Directory(
            self.entry.front_addresses,
            self.entry.is_ready,
            self._render_metrics,
            self._rng,
        )
        mirror = Mirror({feed.settings.name: feed.copy for feed in self.feeds})
        listeners = [
            (directory.handle, cfg.ready.host, cfg.ready.port),
            (directory.handle, cfg.directory.host, cfg.directory.port),
            (mirror.handle, cfg.address, cfg.peer_port),
        ]
        if cfg.metrics is not None:
            metrics_address = cfg.metrics
            listeners.append(
                (directory.handle, metrics_address.host, metrics_address.port)
            )
        return [
            (Ingress(handler, IngressLimits, self._clock), host, port)
            for handler, host, port in listeners
        ]


def make_platform_process(cfg: EntrySettings, clock: Clock) -> PlatformProcess:
    """Make the process that the command `bramleybend-entry` runs."""
    return PlatformProcess(cfg, clock)
