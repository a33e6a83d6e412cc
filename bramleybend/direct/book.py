"""What this VM knows of the manifest and the runners, and how old it is."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Container, Mapping, Sequence
from math import inf
from typing import Final, TypeAlias

from bramleybend.clock import Clock
from bramleybend.direct.addresses import drop_replaced_entries
from bramleybend.direct.models import Manifest, RunnerEntry
from bramleybend.events import EventLog

Runners: TypeAlias = Mapping[str, Sequence[RunnerEntry]]  # by service
Listener: TypeAlias = Callable[[], None]

# An entry lapses after three silent heartbeats. Not for good: a runner that
# says so once in error would be lost.
MOVED_EXCLUSION_S: Final = 5.0


class Book:
    """One process's knowledge; listeners hear of each change."""

    def __init__(self, clock: Clock, events: EventLog) -> None:
        """Know nothing."""
        self._clock = clock
        self._events = events
        self._listeners: list[Listener] = []
        self._confirmed_at = -inf
        self._listed: Mapping[str, RunnerEntry] = {}  # by incarnation
        self._moved: dict[str, float] = {}  # by incarnation, until when
        self._entries: dict[str, RunnerEntry] = {}  # those that are used
        self.manifest: Manifest | None = None
        self.runners: Runners = {}
        self.has_runner_list = False
        self._completed = asyncio.Event()

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._clock.monotonic()

    @property
    def is_complete(self) -> bool:
        """Whether requests can be served."""
        return self.manifest is not None and self.has_runner_list

    def manifest_version(self) -> int:
        """Return the manifest's version; 0 before the first."""
        return self.manifest.version if self.manifest else 0

    def manifest_age_s(self) -> float:
        """Return for how long a newer manifest may have been missed."""
        return self._clock.monotonic() - self._confirmed_at

    def entry(self, incarnation: str) -> RunnerEntry | None:
        """Return a runner by its incarnation."""
        return self._entries.get(incarnation)

    def add_listener(self, listener: Listener) -> None:
        """Call a listener after each change."""
        self._listeners.append(listener)

    async def wait_until_complete(self, timeout_s: float) -> bool:
        """Wait until requests can be served; tells whether they can."""
        if self.is_complete:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._completed.wait()
        except TimeoutError:
            return False
        return True

    def confirm_manifest(self, at: float) -> None:
        """Note that nothing newer had been accepted at a time."""
        self._confirmed_at = max(self._confirmed_at, at)

    def apply_manifest(self, manifest: Manifest) -> None:
        """Put a manifest in force, unless it is an older one."""
        current = self.manifest
        if current is not None and manifest.version <= current.version:
            return
        self.manifest = manifest
        self._events.record(
            'manifest',
            version=manifest.version,
            before=current.version if current else 0,
            routes=sum(len(routes) for routes in manifest.routes.values()),
            keys=len(manifest.key_holders),
        )
        self._use_listed()
        self._tell()

    def take_runners(self, known: Mapping[str, RunnerEntry]) -> None:
        """Take in the whole list of runners."""
        self._listed = {entry.incarnation: entry for entry in known.values()}
        is_first = not self.has_runner_list
        self.has_runner_list = True
        if self._use_listed() or is_first:
            self._tell()

    def note_moved(self, incarnation: str) -> None:
        """Use a runner no more: another process answers at its address.

        Its entry stands until it lapses. To the queue a runner that refuses
        at once is always free, so it would draw everything that waits.
        """
        if incarnation not in self._moved:
            self._events.record('runner_moved', runner=incarnation)
        self._moved[incarnation] = self.now() + MOVED_EXCLUSION_S
        if self._use_listed():
            self._tell()

    def _use_listed(self) -> bool:
        """Choose the listed runners to use; tells whether they changed."""
        now = self.now()
        self._moved = {
            name: until for name, until in self._moved.items() if until > now
        }
        entries = {
            entry.incarnation: entry
            for entry in drop_replaced_entries(
                self._listed.values(), self._services()
            )
            if entry.incarnation not in self._moved
        }
        if entries == self._entries:
            return False
        self._log_changes(entries)
        self._entries = entries
        by_service: dict[str, list[RunnerEntry]] = defaultdict(list)
        for entry in entries.values():
            by_service[entry.service].append(entry)
        self.runners = by_service
        return True

    def _services(self) -> Container[str]:
        return self.manifest.services if self.manifest else ()

    def _log_changes(self, entries: Mapping[str, RunnerEntry]) -> None:
        for name in self._entries.keys() - entries.keys():
            self._events.record('runner_gone', runner=name)
        for name, entry in entries.items():
            before = self._entries.get(name)
            if before is None or before.state is not entry.state:
                self._events.record(
                    'runner',
                    runner=name,
                    service=entry.service,
                    at=f'{entry.address}:{entry.port}',
                    state=entry.state,
                )

    def _tell(self) -> None:
        if self.is_complete:
            self._completed.set()
        for listener in self._listeners:
            listener()
