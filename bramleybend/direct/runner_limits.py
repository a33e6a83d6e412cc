"""Request rate limits that runners declare, for all VMs together.

A runner that limits its rate says so in a header of each answer. An answer
reaches only one VM, so the VMs exchange the limits in their heartbeats.

An answer without the header ends a limit only if its request was sent after
the limit was received: the answer to an older request may arrive later.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from math import isfinite
from random import Random
from typing import Final

from bramleybend.clock import Clock
from bramleybend.direct.heartbeat_messages import RunnerLimit
from bramleybend.events import EventLog

# At a rate of 0 a runner would get no request to which it could answer with a
# higher limit.
MIN_PER_S: Final = 0.25
# The end of a limit is sent for longer than a VM is likely to be cut off from
# the others.
END_SENT_S: Final = 30.0
# Limits in one heartbeat, 50 bytes each. If there are more, half of those sent
# are the newest and half are drawn at random from the others, so that each is
# sent sooner or later.
MAX_LIMITS_PER_HEARTBEAT: Final = 32
NEWEST_SENT: Final = 16


@dataclass(frozen=True)
class _Limit:
    per_s: float | None  # none: the runner declares no limit any more
    answered_at: float  # time of the answer, in monotonic seconds


class RunnerLimits:
    """The limits that runners declared, by runner incarnation."""

    def __init__(self, clock: Clock, events: EventLog, rng: Random) -> None:
        """Start without limits; `on_change` is called when one changes."""
        self._clock = clock
        self._events = events
        self._rng = rng
        self._limits: dict[str, _Limit] = {}
        self.on_change: Callable[[], None] = _ignore

    def now(self) -> float:
        """Return the time on the clock of `sent_at` in `update_from_answer`."""
        return self._clock.monotonic()

    def in_force(self) -> dict[str, float]:
        """Return the limits by runner, in requests per second."""
        return {
            runner: max(limit.per_s, MIN_PER_S)
            for runner, limit in self._limits.items()
            if limit.per_s is not None
        }

    def update_from_answer(
        self, runner: str, limit: str, sent_at: float
    ) -> None:
        """Store the limit in an answer's header; empty if there was none.

        `sent_at` is when the request was sent. A value that is no finite
        number, or a negative one, is recorded as an event and ignored.
        """
        known = self._limits.get(runner)
        if not limit:
            if known is not None and known.answered_at < sent_at:
                self._update(runner, _Limit(None, self.now()))
            return
        per_s = _parse_rate(limit)
        if per_s is None:
            self._events.record(
                'runner_limit_unreadable', runner=runner, limit=limit
            )
            return
        self._update(runner, _Limit(per_s, self.now()))

    def merge(self, news: Iterable[RunnerLimit], heard_at: float) -> None:
        """Merge the limits in a heartbeat that was heard at that time."""
        for report in news:
            limit = _Limit(report.per_s, heard_at - report.age_s)
            known = self._limits.get(report.runner)
            if known is None or known.answered_at < limit.answered_at:
                self._update(report.runner, limit)

    def limits_to_send(self) -> list[RunnerLimit]:
        """Return the limits to send in a heartbeat, the newest first."""
        now = self.now()
        current = [
            RunnerLimit(runner, limit.per_s, now - limit.answered_at)
            for runner, limit in sorted(self._limits.items(), key=_newest_first)
            if limit.per_s is not None or now - limit.answered_at < END_SENT_S
        ]
        if len(current) <= MAX_LIMITS_PER_HEARTBEAT:
            return current
        drawn = self._rng.sample(
            current[NEWEST_SENT:], MAX_LIMITS_PER_HEARTBEAT - NEWEST_SENT
        )
        return current[:NEWEST_SENT] + drawn

    def retain_only(self, runners: Collection[str]) -> None:
        """Drop the limits of runners that are gone."""
        for runner in self._limits.keys() - runners:
            self._limits.pop(runner)

    def _update(self, runner: str, limit: _Limit) -> None:
        before = self._limits.get(runner, _Limit(None, 0))
        self._limits[runner] = limit
        if before.per_s == limit.per_s:
            return
        self._events.record(
            'runner_limit',
            runner=runner,
            per_s='none' if limit.per_s is None else limit.per_s,
        )
        self.on_change()


def _newest_first(item: tuple[str, _Limit]) -> float:
    return -item[1].answered_at


def _parse_rate(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if isfinite(number) and number >= 0 else None


def _ignore() -> None:
    """Stand in for `RunnerLimits.on_change` until that is set."""
