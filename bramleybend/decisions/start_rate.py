"""How often a runner that named a limit may be sent a request.

Load pattern: a runner in need that takes fewer requests a second than its
slots could serve.
Without it: short runs free their slots at once, so no limit of concurrency
holds a rate, and the runner gets as much as before.

A token bucket that holds one second's requests, or one. It starts empty, as
the runner has just had more than it takes.
"""

from math import inf

BURST_S = 1.0


class StartRate:
    """A runner's starts over time."""

    def __init__(self, per_s: float, now: float) -> None:
        """Begin without a token."""
        self.per_s = per_s  # 0: none may start
        self._tokens = float(0)
        self._refilled_at = now

    def set_rate(self, per_s: float, now: float) -> None:
        """Go on at another rate; what was taken stays taken."""
        self._refill(now)
        self.per_s = per_s
        self._tokens = min(self._tokens, self._max_tokens())

    def record_start(self, now: float) -> None:
        """Count a start, also one that another owner granted."""
        self._refill(now)
        self._tokens = max(self._tokens - 1, -self._max_tokens())

    def wait_s(self, now: float) -> float:
        """Return the seconds until the next start."""
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
