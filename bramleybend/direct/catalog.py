"""The manifest and runners that a VM knows, and their age."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Container, Mapping, Sequence
from math import inf
from typing import Final, TypeAlias

from bramleybend.clock import Clock
from bramleybend.direct.addresses import drop_replaced_entries
from bramleybend.direct.list_age import ListAge
from bramleybend.direct.models import Manifest, RunnerEntry
from bramleybend.events import EventLog

Runners: TypeAlias = Mapping[str, Sequence[RunnerEntry]]  # by service
Listener: TypeAlias = Callable[[], None]

# Longer than the three heartbeats after which a stale entry expires. The
# exclusion is temporary, because a runner that says once in error that it is
# not the one meant would otherwise be lost.
MOVED_EXCLUSION_S: Final = 5.0


class Catalog:
    """The manifest and runners in use; listeners are called on changes."""

    def __init__(self, clock: Clock, events: EventLog) -> None:
        """Create a catalog without a manifest or runners."""
        self._clock = clock
        self._events = events
        self._listeners: list[Listener] = []
        self._manifest_confirmed_at = -inf
        self.runner_list_age = ListAge(clock, events)
        self._listed_runners: Mapping[str, RunnerEntry] = {}  # by incarnation
        # By incarnation, the monotonic end of its exclusion.
        self._moved_until: dict[str, float] = {}
        # By incarnation.
        self._used_runners: dict[str, RunnerEntry] = {}
        self.manifest: Manifest | None = None
        self.runners_by_service: Runners = {}
        self.has_runner_list = False
        self._completed = asyncio.Event()

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._clock.monotonic()

    @property
    def is_complete(self) -> bool:
        """Whether both the manifest and the runner list are known."""
        return self.manifest is not None and self.has_runner_list

    def manifest_version(self) -> int:
        """Return the manifest's version; 0 before the first."""
        return self.manifest.version if self.manifest else 0

    def manifest_age_s(self) -> float:
        """Return the seconds since the manifest was confirmed as current."""
        return self._clock.monotonic() - self._manifest_confirmed_at

    def used_runner(self, incarnation: str) -> RunnerEntry | None:
        """Return a runner in use by its incarnation."""
        return self._used_runners.get(incarnation)

    def add_listener(self, listener: Listener) -> None:
        """Register a listener that is called after each change."""
        self._listeners.append(listener)

    async def wait_until_complete(self, timeout_s: float) -> bool:
        """Wait until the catalog is complete; return whether it is."""
        if self.is_complete:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._completed.wait()
        except TimeoutError:
            return False
        return True

    def confirm_manifest(self, at: float) -> None:
        """Record a time at which the manifest was confirmed as current."""
        self._manifest_confirmed_at = max(self._manifest_confirmed_at, at)

    def apply_manifest(self, manifest: Manifest) -> None:
        """Put a manifest in force unless a newer one or the same one is."""
        manifest_in_force = self.manifest
        if (
            manifest_in_force is not None
            and manifest.version <= manifest_in_force.version
        ):
            return
        self.manifest = manifest
        self._events.record(
            'manifest',
            version=manifest.version,
            before=manifest_in_force.version if manifest_in_force else 0,
            routes=sum(len(routes) for routes in manifest.routes.values()),
            keys=len(manifest.workspaces_by_key),
        )
        self._update_used_runners()
        self._notify_listeners()

    def replace_runner_list(self, known: Mapping[str, RunnerEntry]) -> None:
        """Replace the list of runners."""
        self._listed_runners = {
            entry.incarnation: entry for entry in known.values()
        }
        is_first_list = not self.has_runner_list
        self.has_runner_list = True
        if self._update_used_runners() or is_first_list:
            self._notify_listeners()

    def exclude_moved_runner(self, incarnation: str) -> None:
        """Stop using a runner at whose address another process answers.

        Its entry stays listed until it expires. A runner that refuses at once
        always looks free to the queue, so it would attract all waiting
        requests.
        """
        if incarnation not in self._moved_until:
            self._events.record('runner_moved', runner=incarnation)
        self._moved_until[incarnation] = self.now() + MOVED_EXCLUSION_S
        if self._update_used_runners():
            self._notify_listeners()

    def _update_used_runners(self) -> bool:
        """Select the listed runners to use; return whether they changed."""
        now = self.now()
        self._moved_until = {
            name: until
            for name, until in self._moved_until.items()
            if until > now
        }
        used_runners = {
            entry.incarnation: entry
            for entry in drop_replaced_entries(
                self._listed_runners.values(), self._services()
            )
            if entry.incarnation not in self._moved_until
        }
        if used_runners == self._used_runners:
            return False
        self._log_changes(used_runners)
        self._used_runners = used_runners
        by_service: dict[str, list[RunnerEntry]] = defaultdict(list)
        for entry in used_runners.values():
            by_service[entry.service].append(entry)
        self.runners_by_service = by_service
        return True

    def _services(self) -> Container[str]:
        return self.manifest.services if self.manifest else ()

    def _log_changes(self, used_runners: Mapping[str, RunnerEntry]) -> None:
        for name in self._used_runners.keys() - used_runners.keys():
            self._events.record('runner_gone', runner=name)
        for name, entry in used_runners.items():
            before = self._used_runners.get(name)
            if before is None or before.state is not entry.state:
                self._events.record(
                    'runner',
                    runner=name,
                    service=entry.service,
                    at=f'{entry.address}:{entry.port}',
                    state=entry.state,
                )

    def _notify_listeners(self) -> None:
        if self.is_complete:
            self._completed.set()
        for listener in self._listeners:
            listener()
