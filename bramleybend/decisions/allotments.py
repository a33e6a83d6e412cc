"""Which requests go beyond what their workspace was allotted.

Load pattern: one workspace sends many times its usual, to all VMs at once.
Without it: its work takes the slots of the others, who sent no more than
they had been promised.

Every VM keeps a token bucket of the whole allotment and takes out of it what
it admits and what the others say that they admitted. News is as old as a
heartbeat, so together they go beyond the allotment by what arrives in that
time, and pay it back, as a bucket may go below zero. While some VMs are
silent, the others use only their own part of the rate: the silent ones may
still be admitting, and two halves that both used the whole rate would admit
twice the allotment.

A request is let in while the bucket holds `LEAST_SHARE` of the burst, and may
take it below zero. Asked to hold a whole request, a bucket that a busy
workspace keeps near empty lets small ones through and no large one ever.
Trials without processor time counted, one run each of a day with two busy
workspaces: worth 0.763 to 0.787 and 0.833 to 0.840. The workspace goes beyond
its allotment by one request at most, and pays it back.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

LEAST_SHARE = 0.05  # of the burst; any small part does
# Of the burst, for VMs that hear few others. Six VMs that hear nobody then
# let in three bursts at most, which the contracts' tolerance covers.
LEAST_BURST = 0.5


@dataclass(frozen=True)
class Allowance:
    """What a workspace may use, as it now stands."""

    rate_per_s: float
    burst: float


@dataclass
class _Bucket:
    level: float
    at: float


@dataclass
class AllotmentBook:
    """All buckets of one VM."""

    used: dict[str, float] = field(default_factory=dict)  # by us, ever
    _buckets: dict[str, _Bucket] = field(default_factory=dict)
    _heard: dict[str, Mapping[str, float]] = field(default_factory=dict)

    def admit(
        self,
        workspace: str,
        allowance: Allowance,
        units: float,
        now: float,
        share: float = 1,
    ) -> float:
        """Spend units and return 0, or return the seconds to come back in."""
        bucket = self._refilled(workspace, allowance, now, share)
        needed = min(units, allowance.burst * LEAST_SHARE)
        if bucket.level < needed:
            rate = max(allowance.rate_per_s * share, 1)
            return (needed - bucket.level) / rate
        bucket.level -= units
        self.used[workspace] = self.used.get(workspace, 0) + units
        return 0

    def give_back(self, workspace: str, units: float) -> None:
        """Undo an admission of what then didn't run."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.level += units
            self.used[workspace] = self.used.get(workspace, 0) - units

    def heard(self, peer: str, used: Mapping[str, float]) -> None:
        """Take out what a peer says it has admitted since it last said so.

        What it admitted before it was first heard of is past.
        """
        before = self._heard.get(peer, used)
        for workspace, total in used.items():
            bucket = self._buckets.get(workspace)
            if bucket is not None:
                bucket.level -= total - before.get(workspace, 0)
        self._heard[peer] = used

    def forget(self, peer: str) -> None:
        """Drop a peer that has ended."""
        self._heard.pop(peer, None)

    def _refilled(
        self,
        workspace: str,
        allowance: Allowance,
        now: float,
        share: float,
    ) -> _Bucket:
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = _Bucket(allowance.burst, now)
            self._buckets[workspace] = bucket
        passed = max(now - bucket.at, 0)
        level = bucket.level + passed * allowance.rate_per_s * share
        bucket.level = min(level, allowance.burst * max(share, LEAST_BURST))
        bucket.at = max(now, bucket.at)
        return bucket
