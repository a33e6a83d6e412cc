"""Joins the entry VM's program to the platform."""

from random import Random

from bramleybend.clock import Clock
from bramleybend.direct.ingress import Ingress
from bramleybend.direct.models import IngressLimits
from bramleybend.direct.process import EntryProcess
from bramleybend.entry_settings import EntrySettings
from bramleybend.platform.directory import Directory
from bramleybend.platform.follow import ManifestFollower, RunnerFollower
from bramleybend.platform.headers import make_dialect
from bramleybend.platform.store import StoreClient


class PlatformProcess:
    """The entry VM's program with the platform's interfaces around it."""

    def __init__(self, cfg: EntrySettings, clock: Clock) -> None:
        """Put both together."""
        rng = Random()
        self._entry = EntryProcess(cfg, clock, make_dialect(), rng)
        self.stopping = self._entry.stopping
        self._store = StoreClient(cfg.store.host, cfg.store.port, clock)
        book, events = self._entry.book, self._entry.events
        self._followers = (
            ManifestFollower(self._store, book, events, rng),
            RunnerFollower(self._store, book, events, clock),
        )
        directory = Directory(self._entry.fronts, self._entry.is_ready)
        self._side_doors = [
            (Ingress(directory.handle, IngressLimits, clock), where)
            for where in (cfg.ready, cfg.directory)
        ]

    async def start(self) -> None:
        """Listen on all ports and follow the store."""
        for door, where in self._side_doors:
            await door.start(where.host, where.port)
        for follower in self._followers:
            self._entry.spawn(follower.run())
        await self._entry.start()

    async def stop(self) -> None:
        """Stop serving callers first, then the rest."""
        await self._entry.stop()
        for door, _ in self._side_doors:
            await door.stop()
        self._store.close()


def make_platform_process(cfg: EntrySettings, clock: Clock) -> PlatformProcess:
    """Make the program that `bramleybend-entry` runs."""
    return PlatformProcess(cfg, clock)
