"""Retry budgets and backoff of failed requests.

Load pattern: an outage that fails many requests at once.
Without it: each failed request is sent again at once and repeatedly, and the
load after the outage is a multiple of the load before it.

A retry takes a token from its workspace's bucket and from its service's bucket;
a success returns a tenth of a token, so retries add at most a tenth to the
load. The workspace's bucket keeps one caller from using up the service's
bucket. Work that may run only once is never sent again.
"""

from dataclasses import dataclass
from datetime import timedelta
from random import Random

from bramleybend.models import Repeat

TOKENS_PER_SUCCESS = 0.1  # tokens earned by a success
MAX_TOKENS = 10  # retries possible without a previous success
# Lets a caller with little traffic retry, too.
REFILL_PER_S = 0.2
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
    """The retry buckets of a gateway's workspaces and services."""

    def __init__(self) -> None:
        """Start with full buckets."""
        self._buckets: dict[tuple[str, str], _Bucket] = {}

    def record_success(self, workspace: str, service: str, now: float) -> None:
        """Count a success, which earns part of a retry."""
        for bucket in self._workspace_and_service(workspace, service, now):
            bucket.tokens = min(bucket.tokens + TOKENS_PER_SUCCESS, MAX_TOKENS)

    def try_spend(
        self,
        repeat: Repeat,
        workspace: str,
        service: str,
        now: float,
    ) -> bool:
        """Spend a retry, if the request may run again and both buckets allow."""
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
        workspace_bucket = self._bucket(('workspace', workspace), now)
        return workspace_bucket, self._bucket(('service', service), now)

    def _bucket(self, key: tuple[str, str], now: float) -> _Bucket:
        bucket = self._buckets.setdefault(key, _Bucket(refilled_at=now))
        bucket.refill(now)
        return bucket


def backoff_delay(attempt: int, rng: Random) -> timedelta:
    """Return the delay before an attempt; attempt 1 is the first retry."""
    doublings = min(max(attempt - 1, 0), MAX_DOUBLINGS)
    max_s = min(BASE_BACKOFF_S * 2**doublings, MAX_BACKOFF_S)
    return timedelta(seconds=rng.uniform(0, max_s))
