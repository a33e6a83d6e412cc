"""The direct paths from this VM to runners, as its connections show them.

Load pattern: a VM loses its own links to the runners of a service while other
VMs keep theirs.
Without it: the VM takes its lost paths for lost runners. It tries one after the
other for each request, and reports them to the owner, which then closes sound
runners for all VMs.

A path is lost once a direct connection fails, until one succeeds. A service
counts as unreached once `MIN_LOSSES` of its runners, or all of them, were lost
with no connection in between: a few runners that are down are not enough. Lost
paths are probed by bare connections, at intervals that double.
"""

from collections import defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from heapq import nsmallest
from math import inf

MIN_LOSSES = 2
FIRST_PROBE_S = 1.0  # after the loss
MAX_PROBE_INTERVAL_S = 4.0
# In an unreached service, a runner with no known loss is probed this often: one
# that connects shows that this VM's links work.
SERVICE_PROBE_S = 0.5
# A runner that was reached neither directly nor through a tunnel is avoided for
# this long, as long as others remain.
AVOID_S = 1.0


@dataclass
class _Loss:
    service: str
    at: float
    next_probe_at: float
    interval_s: float = FIRST_PROBE_S


class RunnerPaths:
    """One VM's paths to the runners of all services."""

    def __init__(self) -> None:
        """Start with all paths intact and no runner known."""
        self._runners: Mapping[str, Collection[str]] = {}  # by service
        self._losses: dict[str, _Loss] = {}  # by runner
        self._avoided_until: dict[str, float] = {}  # by runner
        # By service: when a direct connection last succeeded.
        self._connected_at: dict[str, float] = {}
        # By service and runner: when the runner was last heard.
        self._heard_at: dict[str, dict[str, float]] = defaultdict(dict)
        self._service_probe_at: dict[str, float] = {}
        self._probe_turn = 0

    def update_runners(self, runners: Mapping[str, Collection[str]]) -> None:
        """Replace the runners of each service; forget those that are gone."""
        self._runners = runners
        known = {name for names in runners.values() for name in names}
        for gone in self._losses.keys() - known:
            self._losses.pop(gone)
        for gone in self._avoided_until.keys() - known:
            self._avoided_until.pop(gone)
        for service, heard_at in self._heard_at.items():
            for gone in heard_at.keys() - set(runners.get(service, ())):
                heard_at.pop(gone)

    def record_connected(self, service: str, runner: str, now: float) -> bool:
        """Record a direct connection; tell whether the path was lost."""
        self._connected_at[service] = now
        self._avoided_until.pop(runner, None)
        return self._losses.pop(runner, None) is not None

    def record_failure(self, service: str, runner: str, now: float) -> bool:
        """Record a failed direct connection; tell whether the loss is new."""
        loss = self._losses.get(runner)
        if loss is None:
            self._losses[runner] = _Loss(service, now, now + FIRST_PROBE_S)
            return True
        loss.interval_s = min(loss.interval_s * 2, MAX_PROBE_INTERVAL_S)
        loss.next_probe_at = now + loss.interval_s
        return False

    def record_heard(self, service: str, runner: str, now: float) -> None:
        """Record that a runner answered, over whichever path."""
        self._heard_at[service][runner] = now

    def was_other_heard(self, service: str, runner: str, since: float) -> bool:
        """Tell whether another runner of the service answered since a time."""
        return any(
            name != runner and at > since
            for name, at in self._heard_at[service].items()
        )

    def was_heard(self, runner: str, since: float) -> bool:
        """Tell whether a runner answered since a time."""
        return any(
            heard_at.get(runner, -inf) > since
            for heard_at in self._heard_at.values()
        )

    def avoid(self, runner: str, now: float) -> None:
        """Avoid a runner that was not reached in any way."""
        self._avoided_until[runner] = now + AVOID_S

    def avoided(self, now: float) -> frozenset[str]:
        """Return the runners that should get no requests of this VM."""
        return frozenset(
            runner
            for runner, until in self._avoided_until.items()
            if until > now
        )

    def is_lost(self, service: str, runner: str) -> bool:
        """Tell whether a direct connection to a runner is likely to fail."""
        return runner in self._losses or self.is_unreached(service)

    def is_unreached(self, service: str) -> bool:
        """Tell whether this VM has lost its links to a service's runners."""
        losses = [
            loss for loss in self._losses.values() if loss.service == service
        ]
        if not losses:
            return False
        count = len(self._runners.get(service, ()))
        if len(losses) >= count:
            return True
        connected_at = self._connected_at.get(service, -inf)
        recent = sum(loss.at > connected_at for loss in losses)
        return recent >= MIN_LOSSES

    def unreached(self) -> tuple[str, ...]:
        """Return the names of the unreached services, sorted."""
        services = {loss.service for loss in self._losses.values()}
        return tuple(sorted(filter(self.is_unreached, services)))

    def due_probes(self, now: float, max_count: int) -> list[str]:
        """Return the runners to probe now; each is due again later.

        At most `max_count` are runners with a known loss, those first that
        have waited longest.
        """
        overdue = (
            (loss.next_probe_at, runner)
            for runner, loss in self._losses.items()
            if loss.next_probe_at <= now
        )
        due = [runner for _, runner in nsmallest(max_count, overdue)]
        for runner in due:
            loss = self._losses[runner]
            loss.next_probe_at = now + loss.interval_s
        for service in self.unreached():
            if self._service_probe_at.get(service, -inf) <= now:
                self._service_probe_at[service] = now + SERVICE_PROBE_S
                due.extend(self._next_untried(service))
        return due

    def _next_untried(self, service: str) -> list[str]:
        """Return one runner with no known loss, another one at each call."""
        untried = [
            runner
            for runner in self._runners.get(service, ())
            if runner not in self._losses
        ]
        if not untried:
            return []
        self._probe_turn += 1
        return [untried[self._probe_turn % len(untried)]]
