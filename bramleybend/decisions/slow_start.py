"""How fast load shifts to a new, returning or changed runner.

Load pattern: a runner joins, returns after a crash, or the shard gets a new
owner while a queue stands.
Without it: the whole queue lands at once on a cold cache, or on a runner
whose in-flight work the new owner doesn't know yet.

The share of the limit that may be used grows in a line from `FIRST_SHARE` to
the whole over `RAMP_S`. After a crash nothing is sent for `FIRST_HOLD_S`, doubled
at each crash in a row, since the VM list shows a dead runner for seconds.
"""

from math import inf

INITIAL_SHARE = 0.25
RAMP_S = 5.0
MIN_CRASH_HOLD_S = 1.0  # after a crash nothing is sent; the VM list lags
MAX_CRASH_HOLD_S = 30.0


class Ramp:
    """Slow start of one runner."""

    def __init__(self, now: float, *, is_enabled: bool = True) -> None:
        """Begin at the first share."""
        self._ramp_start = now
        self._last_crash = -inf
        self._next_hold_s = MIN_CRASH_HOLD_S
        self._is_enabled = is_enabled

    def share(self, now: float) -> float:
        """Return the part of the limit that may be used."""
        if not self._is_enabled or now >= self._ramp_start + RAMP_S:
            return 1
        if now < self._ramp_start:
            return 0
        elapsed_s = (now - self._ramp_start) / RAMP_S
        return INITIAL_SHARE + (1 - INITIAL_SHARE) * elapsed_s

    def record_crash(self, started: float, now: float) -> None:
        """Hold back, then begin again; longer at each crash in a row.

        All runs of one crash report it; those that started before the last
        crash are reports of that one and change nothing.
        """
        if started < self._last_crash:
            return
        self._last_crash = now
        if now > self._ramp_start + MAX_CRASH_HOLD_S:
            self._next_hold_s = MIN_CRASH_HOLD_S
        self._ramp_start = now + self._next_hold_s
        self._next_hold_s = min(self._next_hold_s * 2, MAX_CRASH_HOLD_S)

    def next_step_at(self, limit: int, now: float) -> float:
        """Return when a limit lets one more request in than now."""
        if self.share(now) >= 1:
            return inf
        if now < self._ramp_start:
            return self._ramp_start
        step = (int(limit * self.share(now)) + 1) / limit
        progress = (step - INITIAL_SHARE) / (1 - INITIAL_SHARE)
        return self._ramp_start + min(max(progress, 0), 1) * RAMP_S
