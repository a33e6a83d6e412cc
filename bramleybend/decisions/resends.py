"""Budget of requests sent to a second runner, over all VMs.

Load pattern: runners that fail many requests at once.
Without it: each failure becomes another arrival at the remaining runners, which
fail next.

All VMs share the budget of a service without communication: each VM has its
part of the fixed allowance, and the whole ratio of its own requests. A bucket
holds half of the VM's part and refills the other half within a window, so it
spends no more than the part in any window of that length.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class ResendLimits:
    """The limits that the operators set for a service, over all VMs."""

    ratio: float  # resends per request
    extra_per_window: float  # resends beyond the ratio, per window
    window_s: float


@dataclass
class _Bucket:
    tokens: float
    refilled_at: float


@dataclass
class ResendBudget:
    """One VM's part of every service's budget."""

    limits: ResendLimits
    _buckets: dict[str, _Bucket] = field(default_factory=dict)

    def record_request(self, service: str, vms: int, now: float) -> None:
        """Count a request, which earns part of a resend."""
        bucket = self._bucket(service, vms, now)
        capacity = self._capacity(vms)
        bucket.tokens = min(bucket.tokens + self.limits.ratio, capacity + 1)

    def try_spend(self, service: str, vms: int, now: float) -> bool:
        """Spend one resend; tell whether the budget had one."""
        bucket = self._bucket(service, vms, now)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _capacity(self, vms: int) -> float:
        return self.limits.extra_per_window / max(vms, 1) / 2

    def _bucket(self, service: str, vms: int, now: float) -> _Bucket:
        capacity = self._capacity(vms)
        bucket = self._buckets.setdefault(service, _Bucket(capacity, now))
        elapsed_s = max(now - bucket.refilled_at, 0)
        bucket.refilled_at = max(now, bucket.refilled_at)
        if bucket.tokens < capacity:
            earned = elapsed_s * capacity / self.limits.window_s
            bucket.tokens = min(bucket.tokens + earned, capacity)
        return bucket
