"""Joins the entry VM's program to the platform."""

from importlib import import_module
from random import Random

from bramleybend.clock import Clock
from bramleybend.direct.feed import Feed, FeedSettings
from bramleybend.direct.ingress import Ingress
from bramleybend.direct.log_backup import BackedUpLog, LogBackup
from bramleybend.direct.models import IngressLimits
from bramleybend.direct.process import EntryProcess
from bramleybend.direct.runner_list import RunnerList
from bramleybend.entry_settings import EntrySettings
from bramleybend.platform.directory import Directory
from bramleybend.platform.follow import (
    MANIFEST_FEED,
    RUNNER_FEED,
    ManifestPages,
)
from bramleybend.platform.headers import make_header_codec
from bramleybend.platform.kept_pages import KeptPages
from bramleybend.platform.mirror import Mirror
from bramleybend.platform.runner_entry import decode_runner
from bramleybend.platform.store import StoreClient, make_mirror_client


class PlatformProcess:
    """The entry VM's program with the platform's interfaces around it."""

    def __init__(self, cfg: EntrySettings, clock: Clock) -> None:
        """Put both together."""
        self._cfg = cfg
        self._clock = clock
        self._rng = Random()
        self.entry = EntryProcess(cfg, clock, make_header_codec(), self._rng)
        self.stopping = self.entry.stop_requested
        self.reload = self.entry.reload
        self.store = StoreClient(cfg.store.host, cfg.store.port, clock)
        self._mirrors: dict[str, StoreClient] = {}
        self.feeds = (self._manifest_feed(), self._runner_feed())
        self._doors = self._make_doors()

    async def start(self) -> None:
        """Listen on all ports and follow the store."""
        for door, host, port in self._doors:
            await door.start(host, port)
        for feed in self.feeds:
            self.entry.follow_feed(feed)
        self.entry.spawn(self._last_known().run())
        await self.entry.start()

    async def stop(self) -> None:
        """Stop serving callers first, then the rest."""
        await self.entry.drain()
        await self.kill()

    async def kill(self) -> None:
        """Close everything as it stands."""
        await self.entry.close()
        for door, _, _ in self._doors:
            await door.stop()
        for client in (self.store, *self._mirrors.values()):
            client.close()

    def _last_known(self) -> LogBackup:
        book = self.entry.book
        manifests, runners = self.feeds
        logs = (
            BackedUpLog(manifests, book.manifest_version),
            BackedUpLog(runners, lambda: book.runners),
        )
        keeper = KeptPages(self.store)
        return LogBackup(logs, keeper, book, self.entry.events)

    def _metrics(self) -> bytes:
        # Imported at the first scrape; `meters` tells why.
        module = import_module('bramleybend.direct.exposition')
        return bytes(module.render_metrics(self.entry.meters))

    def _manifest_feed(self) -> Feed:
        feed = self._feed(MANIFEST_FEED)
        book = self.entry.book
        feed.on_page = ManifestPages(book, self.entry.events).take
        feed.on_confirmed = book.confirm_manifest
        return feed

    def _runner_feed(self) -> Feed:
        feed = self._feed(RUNNER_FEED)
        runners = RunnerList(self.entry.book, decode_runner, self.entry.events)
        feed.on_page = runners.take
        feed.on_confirmed = runners.confirmed
        self.entry.on_sweep = runners.drop_lapsed
        return feed

    def _feed(self, terms: FeedSettings) -> Feed:
        return Feed(
            terms,
            self.store,
            self._mirror_at,
            self._clock,
            self.entry.events,
            self._rng,
        )

    def _mirror_at(self, address: str) -> StoreClient:
        """Return the client of another VM's copy."""
        client = self._mirrors.get(address)
        if client is None:
            port = self._cfg.peer_port
            client = make_mirror_client(address, port, self._clock)
            self._mirrors[address] = client
        return client

    def _make_doors(self) -> list[tuple[Ingress, str, int]]:
        cfg = self._cfg
        directory = Directory(
            self.entry.front_addresses,
            self.entry.is_ready,
            self._metrics,
            self._rng,
        )
        mirror = Mirror({feed.settings.name: feed.copy for feed in self.feeds})
        doors = [
            (directory.handle, cfg.ready.host, cfg.ready.port),
            (directory.handle, cfg.directory.host, cfg.directory.port),
            (mirror.handle, cfg.address, cfg.peer_port),
        ]
        if cfg.metrics is not None:
            where = cfg.metrics
            doors.append((directory.handle, where.host, where.port))
        return [
            (Ingress(handler, IngressLimits, self._clock), host, port)
            for handler, host, port in doors
        ]


def make_platform_process(cfg: EntrySettings, clock: Clock) -> PlatformProcess:
    """Make the program that `bramleybend-entry` runs."""
    return PlatformProcess(cfg, clock)
