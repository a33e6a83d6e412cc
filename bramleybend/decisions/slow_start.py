"""Slow start of new, returning and changed runners.

Load pattern: a runner joins, returns after a crash, or the shard gets a new
owner while requests wait.
Without it: the whole queue is sent to a cold cache, or to a runner whose runs
in flight the new owner doesn't know yet.

The share of the limit that may be used grows linearly from `INITIAL_SHARE` to 1
over `RAMP_S`. After a crash nothing is sent for `MIN_CRASH_HOLD_S`, doubled at
each consecutive crash, since the VM list shows a crashed runner for seconds.
"""

from math import inf

INITIAL_SHARE = 0.25
RAMP_S = 5.0
MIN_CRASH_HOLD_S = 1.0  # no starts after a crash, since the VM list lags
MAX_CRASH_HOLD_S = 30.0


class Ramp:
    """Slow start of one runner."""

    def __init__(self, now: float, *, is_enabled: bool = True) -> None:
        """Start at the initial share."""
        self._ramp_start = now
        self._last_crash = -inf
        self._next_hold_s = MIN_CRASH_HOLD_S
        self._is_enabled = is_enabled

    def share(self, now: float) -> float:
        """Return the share of the limit that may be used."""
        if not self._is_enabled or now >= self._ramp_start + RAMP_S:
            return 1
        if now < self._ramp_start:
            return 0
        progress = (now - self._ramp_start) / RAMP_S
        return INITIAL_SHARE + (1 - INITIAL_SHARE) * progress

    def record_crash(self, started: float, now: float) -> None:
        """Stop starts for a while, then ramp up; longer at repeated crashes.

        Every run on a crashed runner reports the crash; reports of runs that
        started before the last crash belong to that crash and change nothing.
        """
        if started < self._last_crash:
            return
        self._last_crash = now
        if now > self._ramp_start + MAX_CRASH_HOLD_S:
            self._next_hold_s = MIN_CRASH_HOLD_S
        self._ramp_start = now + self._next_hold_s
        self._next_hold_s = min(self._next_hold_s * 2, MAX_CRASH_HOLD_S)

    def next_step_at(self, limit: int, now: float) -> float:
        """Return when the ramp admits one more request of `limit` than now."""
        if self.share(now) >= 1:
            return inf
        if now < self._ramp_start:
            return self._ramp_start
        next_share = (int(limit * self.share(now)) + 1) / limit
        progress = (next_share - INITIAL_SHARE) / (1 - INITIAL_SHARE)
        return self._ramp_start + min(max(progress, 0), 1) * RAMP_S
