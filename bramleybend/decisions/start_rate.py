"""Start rate of a runner that reports a rate limit.

Load pattern: an overloaded runner that accepts fewer requests per second than
its slots could serve.
Without it: short runs release their slots at once, so no concurrency limit
bounds the rate, and the runner gets as many requests as before.

The rate is a token bucket that holds the requests of one second, at least one.
It starts empty, since the runner has just had more requests than it accepts.
"""

from math import inf

BURST_S = 1.0


class StartRate:
    """Token bucket for the starts on one runner."""

    def __init__(self, per_s: float, now: float) -> None:
        """Start without a token."""
        self.per_s = per_s  # 0: no request may start
        self._tokens = float(0)
        self._refilled_at = now

    def set_rate(self, per_s: float, now: float) -> None:
        """Change the rate; tokens already taken stay taken."""
        self._refill(now)
        self.per_s = per_s
        self._tokens = min(self._tokens, self._max_tokens())

    def record_start(self, now: float) -> None:
        """Count a start, including starts that another owner granted."""
        self._refill(now)
        self._tokens = max(self._tokens - 1, -self._max_tokens())

    def wait_s(self, now: float) -> float:
        """Return the seconds until the next start, `inf` at a rate of 0."""
        self._refill(now)
        missing = 1 - self._tokens
        if missing <= 0:
            return 0
        return missing / self.per_s if self.per_s else inf

    def _refill(self, now: float) -> None:
        elapsed_s = max(now - self._refilled_at, 0)
        self._refilled_at = max(now, self._refilled_at)
        self._tokens = min(
            self._tokens + elapsed_s * self.per_s, self._max_tokens()
        )

    def _max_tokens(self) -> float:
        return max(self.per_s * BURST_S, 1)
