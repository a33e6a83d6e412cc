"""The number of requests that a runner is given at once.

Load pattern: saturation, on runners whose true concurrency differs and whose
load reports are late.
Without it: the whole queue is sent to the engines, which admit in order of
arrival; tiers, fairness and deadlines then have no effect.

The limit is learned from the owner's own runs only: from how many were past
their first token at once. An engine with a full batch starts no further stream
until one ends, so the peak never exceeds its true batch size; and while a
prompt is being prefilled the engine is busy, so one run more than the peak is
enough. A round whose peak reached the limit raises it by one; a lower peak
lowers it. A runner that reports no first tokens keeps the declared limit, which
only refusals lower.
"""

from math import ceil

ROUND_RUNS = 6  # completed runs between two changes
SPARE_RUNS = 1  # runs beyond the peak of streams: one prompt in prefill
MIN_ROUND_RATIO = 0.8  # smallest new limit after a round, of the old one
REFUSAL_BACKOFF = 0.85
MAX_GROWTH = 8  # largest limit, in times of the declared one


class ConcurrencyLimit:
    """The concurrency limit of one runner."""

    def __init__(self, declared: int, *, learn: bool = True) -> None:
        """Start with the declared limit."""
        self._declared = max(declared, 1)
        self._learn = learn
        self._limit = self._declared
        self._completions = 0
        self._peak = 0
        self._was_full = False

    @property
    def value(self) -> int:
        """Return the limit, at least 1."""
        return self._limit

    def record_streams(self, streams: int, in_flight: int) -> None:
        """Record how many runs are past their first token."""
        self._peak = max(self._peak, streams)
        self._update_was_full(in_flight)

    def record_completion(self, in_flight: int) -> None:
        """Record a run that ended successfully."""
        self._update_was_full(in_flight)
        self._completions += 1
        if self._completions >= ROUND_RUNS:
            self._close_round()

    def record_refusal(self) -> None:
        """Lower the limit after the runner rejected a request."""
        if self._learn:
            self._limit = max(int(self._limit * REFUSAL_BACKOFF), 1)

    def _update_was_full(self, in_flight: int) -> None:
        # A limit that was not reached gives no information about the runner.
        self._was_full = self._was_full or in_flight >= self._limit

    def _close_round(self) -> None:
        if self._learn and self._was_full:
            self._limit = self._next_limit()
        self._completions = 0
        self._peak = 0
        self._was_full = False

    def _next_limit(self) -> int:
        if not self._peak:
            return min(self._limit + 1, max(self._limit, self._declared))
        if self._peak >= self._limit:
            return min(self._limit + 1, self._declared * MAX_GROWTH)
        min_limit = ceil(self._limit * MIN_ROUND_RATIO)
        return max(min(self._peak + SPARE_RUNS, self._limit), min_limit)
