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

FIRST_SHARE = 0.25
RAMP_S = 5.0
FIRST_HOLD_S = 1.0  # after a crash nothing is sent; the VM list lags
LONGEST_HOLD_S = 30.0


class Ramp:
    """Slow start of one runner."""

    def __init__(self, now: float, *, switched_on: bool = True) -> None:
        """Begin at the first share."""
        self._begun = now
        self._last_crash = -inf
        self._hold = FIRST_HOLD_S
        self._on = switched_on

    def share(self, now: float) -> float:
        """Return the part of the limit that may be used."""
        if not self._on or now >= self._begun + RAMP_S:
            return 1
        if now < self._begun:
            return 0
        passed = (now - self._begun) / RAMP_S
        return FIRST_SHARE + (1 - FIRST_SHARE) * passed

    def crashed(self, started: float, now: float) -> None:
        """Hold back, then begin again; longer at each crash in a row.

        All runs of one crash report it; those that started before the last
        crash are reports of that one and change nothing.
        """
        if started < self._last_crash:
            return
        self._last_crash = now
        if now > self._begun + LONGEST_HOLD_S:
            self._hold = FIRST_HOLD_S
        self._begun = now + self._hold
        self._hold = min(self._hold * 2, LONGEST_HOLD_S)

    def next_step(self, limit: int, now: float) -> float:
        """Return when a limit lets one more request in than now."""
        if self.share(now) >= 1:
            return inf
        if now < self._begun:
            return self._begun
        step = (int(limit * self.share(now)) + 1) / limit
        passed = (step - FIRST_SHARE) / (1 - FIRST_SHARE)
        return self._begun + min(max(passed, 0), 1) * RAMP_S
