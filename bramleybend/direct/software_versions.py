"""The software versions of a service's runners that streams may come from.

What two versions write doesn't fit together, and runners don't check it. A
broken stream may have begun at any version that served while its caller may
still come back, also at one whose runners have left since.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping
from math import inf
from typing import Final

from bramleybend.direct.catalog import Catalog
from bramleybend.direct.list_age import MAX_LIST_AGE_S
from bramleybend.direct.models import Manifest, RunnerEntry, RunnerState

# Callers may come back for a stream for this long after its time limit.
RETURN_MARGIN_S: Final = 2.0
# For this long after its first entry, a version begins no streams while
# another one serves. All VMs whose list counts as current know it by then.
SETTLE_S: Final = MAX_LIST_AGE_S + 0.5
UNKNOWN_VERSION: Final = ''


class SoftwareVersions:
    """The versions that serve, and those that served recently."""

    def __init__(self, catalog: Catalog) -> None:
        """Follow the runners of a catalog."""
        self._catalog = catalog
        # By service and version.
        self._listed: dict[str, set[str]] = {}
        self._left_at: dict[str, dict[str, float]] = defaultdict(dict)
        self._settled_at: dict[str, dict[str, float]] = defaultdict(dict)
        # Kept for the manifest in force, which may have thousands of routes.
        self._timeouts_of: Manifest | None = None
        self._longest_stream_s = float(0)
        # Until then, versions that this VM never saw may have served.
        self.unseen_until = -inf
        self.on_update: Callable[[], None] = _ignore_update

    def update(self) -> None:
        """Note the versions of the runners that are listed now."""
        listed = {
            service: {entry.version for entry in entries}
            for service, entries in self._catalog.runners_by_service.items()
        }
        now = self._catalog.now()
        for service, before in self._listed.items():
            left = before - listed.get(service, set())
            self._left_at[service].update(dict.fromkeys(left, now))
        for service in listed:
            self._note_new(service, listed[service], now)
        self._listed = listed
        self.on_update()

    def note_earlier(self, versions: Mapping[str, set[str]]) -> None:
        """Note versions that other VMs knew before this one started."""
        now = self._catalog.now()
        for service, names in versions.items():
            left = names - self._listed.get(service, set())
            self._left_at[service].update(dict.fromkeys(left, now))

    def recent(self, service: str) -> set[str]:
        """Return the versions at which a stream may have begun."""
        now = self._catalog.now()
        left = self._left_at[service]
        for version, at in tuple(left.items()):
            if now - at > self.memory_s():
                left.pop(version)
        return self._listed.get(service, set()).union(left)

    def is_mixed(self, service: str) -> bool:
        """Tell whether streams of several versions may be taken up."""
        now = self._catalog.now()
        return len(self.recent(service)) > 1 or now < self.unseen_until

    def is_any_mixed(self) -> bool:
        """Tell whether streams of any service need records of origins."""
        return any(map(self.is_mixed, [*self._listed, *self._left_at]))

    def only_version(self, service: str) -> str | None:
        """Return the version of all streams, or `None` if it isn't known."""
        recent = self.recent(service)
        is_current = self._catalog.runner_list_age.is_current
        if len(recent) != 1 or self.is_mixed(service) or not is_current:
            return None
        return next(iter(recent))

    def memory_s(self) -> float:
        """Return how long after a version has left its streams may be meant."""
        manifest = self._catalog.manifest
        if manifest is not None and manifest is not self._timeouts_of:
            self._timeouts_of = manifest
            self._longest_stream_s = max(
                (
                    route.timeout_s
                    for by_prefix in manifest.routes.values()
                    for route in by_prefix
                    if route.streaming
                ),
                default=0,
            )
        return self._longest_stream_s + RETURN_MARGIN_S

    def barred_runners(self, service: str, version: str | None) -> set[str]:
        """Return the runners that may not run a stream of this version.

        Without a version, it is a stream that has not begun.
        """
        entries = self._catalog.runners_by_service.get(service, ())
        if version is not None:
            return {
                entry.incarnation
                for entry in entries
                if not self.may_join(version, entry)
            }
        settled_at, now = self._settled_at[service], self._catalog.now()
        unsettled = {
            entry.incarnation
            for entry in entries
            if settled_at.get(entry.version, -inf) > now
        }
        ready = {
            entry.incarnation
            for entry in entries
            if entry.state is RunnerState.READY
        }
        return set() if ready <= unsettled else unsettled

    def may_join(self, version: str, runner: RunnerEntry) -> bool:
        """Tell whether a stream of a version may go on at a runner."""
        if version != runner.version:
            return False
        return version != UNKNOWN_VERSION or not self.is_mixed(runner.service)

    def is_served(self, service: str, version: str) -> bool:
        """Tell whether a runner that takes requests serves a version."""
        entries = self._catalog.runners_by_service.get(service, ())
        return any(
            entry.state is RunnerState.READY and self.may_join(version, entry)
            for entry in entries
        )

    def version_of(self, runner: RunnerEntry) -> str:
        """Return a runner's version, unless its entry has changed since."""
        entry = self._catalog.used_runner(runner.incarnation)
        if entry is not None and entry.version != runner.version:
            return UNKNOWN_VERSION
        return runner.version

    def _note_new(self, service: str, versions: set[str], now: float) -> None:
        known = self._settled_at[service]
        # This VM can't tell which of the first versions is new.
        settled_at = now + SETTLE_S if known else -inf
        for version in versions - known.keys():
            known[version] = settled_at


def _ignore_update() -> None:
    """Serve as the callback until another one is set."""
