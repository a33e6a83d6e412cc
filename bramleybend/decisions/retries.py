"""Whether and when a failed request may be sent again.

Load pattern: an outage that fails many requests at once.
Without it: each failed request comes back at once and again, and the load
after the outage is a multiple of the load before it.

A retry takes a token from its workspace's and from its service's bucket; a
success puts back a tenth, so retries add a tenth to the load at most. The
workspace's bucket keeps one caller from using up the service's. Work that may
run once is never sent again.
"""

from dataclasses import dataclass
from datetime import timedelta
from random import Random

from bramleybend.models import Repeat

TOKENS_PER_SUCCESS = 0.1  # of the successes
MAX_TOKENS = 10  # retries without a success before
REFILL_PER_S = 0.2  # tokens a second, so that a quiet caller may retry too
BASE_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
MAX_DOUBLINGS = 10


@dataclass
class _Bucket:
    tokens: float = MAX_TOKENS
    refilled_at: float = 0

    def refill(self, now: float) -> None:
        elapsed_s = max(now - self.refilled_at, 0)
        self.tokens = min(self.tokens + elapsed_s * REFILL_PER_S, MAX_TOKENS)
        self.refilled_at = max(now, self.refilled_at)


class RetryBudgets:
    """The buckets of the workspaces and services a gateway meets."""

    def __init__(self) -> None:
        """Start with full buckets."""
        self._buckets: dict[tuple[str, str], _Bucket] = {}

    def succeeded(self, workspace: str, service: str, now: float) -> None:
        """Earn a part of a retry."""
        for bucket in self._workspace_and_service(workspace, service, now):
            bucket.tokens = min(bucket.tokens + TOKENS_PER_SUCCESS, MAX_TOKENS)

    def allow(
        self,
        repeat: Repeat,
        workspace: str,
        service: str,
        now: float,
    ) -> bool:
        """Spend a retry, if the request may run again and both have one."""
        if repeat is not Repeat.IDEMPOTENT:
            return False
        buckets = self._workspace_and_service(workspace, service, now)
        if any(bucket.tokens < 1 for bucket in buckets):
            return False
        for bucket in buckets:
            bucket.tokens -= 1
        return True

    def _workspace_and_service(
        self,
        workspace: str,
        service: str,
        now: float,
    ) -> tuple[_Bucket, _Bucket]:
        own = self._bucket(('workspace', workspace), now)
        return own, self._bucket(('service', service), now)

    def _bucket(self, key: tuple[str, str], now: float) -> _Bucket:
        bucket = self._buckets.setdefault(key, _Bucket(refilled_at=now))
        bucket.refill(now)
        return bucket


def backoff(attempt: int, rng: Random) -> timedelta:
    """Return how long to wait before the attempt; 1 is the first retry."""
    doublings = min(max(attempt - 1, 0), MAX_DOUBLINGS)
    max_s = min(BASE_BACKOFF_S * 2**doublings, MAX_BACKOFF_S)
    return timedelta(seconds=rng.uniform(0, max_s))
