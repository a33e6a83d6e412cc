"""What runners say they take a second, from all VMs together.

A runner says so in its answers, for as long as it does, and each answer
reaches one VM. So VMs tell each other what they heard last, in heartbeats.

An answer without a limit ends it only if its request was sent after the limit
was heard: an older answer may come later.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from math import isfinite
from random import Random
from typing import Final

from bramleybend.clock import Clock
from bramleybend.direct.beat_messages import LimitNews
from bramleybend.events import EventLog

# A runner that takes nothing would never be asked whether it takes more.
LEAST_PER_S: Final = 0.25
# The end of a limit is told for longer than a VM is likely to hear nobody.
END_TOLD_S: Final = 30.0
# Of 50 bytes each. Where more runners name limits, half of what is told are
# the newest and half drawn from the others, so that all are told in time.
MOST_TOLD: Final = 32
NEWEST_TOLD: Final = 16


@dataclass(frozen=True)
class _Said:
    per_s: float | None  # none: the runner names no limit any more
    at: float  # monotonic seconds


class RunnerLimits:
    """The limits that runners named, by their incarnation."""

    def __init__(self, clock: Clock, events: EventLog, rng: Random) -> None:
        """Know of no limit."""
        self._clock = clock
        self._events = events
        self._rng = rng
        self._said: dict[str, _Said] = {}
        self.changed: Callable[[], None] = _nothing

    def now(self) -> float:
        """Return the time that `answered` compares with."""
        return self._clock.monotonic()

    def in_force(self) -> dict[str, float]:
        """Return the requests a second of each runner that names a limit."""
        return {
            runner: max(said.per_s, LEAST_PER_S)
            for runner, said in self._said.items()
            if said.per_s is not None
        }

    def answered(self, runner: str, limit: str, sent_at: float) -> None:
        """Take in the limit of an answer; an empty one says that none holds.

        A value that is no decimal number from 0 on changes nothing.
        """
        known = self._said.get(runner)
        if not limit:
            if known is not None and known.at < sent_at:
                self._note(runner, _Said(None, self.now()))
            return
        per_s = _number(limit)
        if per_s is None:
            self._events.record(
                'runner_limit_unreadable', runner=runner, limit=limit
            )
            return
        self._note(runner, _Said(per_s, self.now()))

    def heard(self, news: Iterable[LimitNews]) -> None:
        """Take in what another VM was told."""
        now = self.now()
        for one in news:
            said = _Said(one.per_s, now - one.age_s)
            known = self._said.get(one.runner)
            if known is None or known.at < said.at:
                self._note(one.runner, said)

    def news(self) -> list[LimitNews]:
        """Return what to tell the other VMs, the newest first."""
        now = self.now()
        told = [
            LimitNews(runner, said.per_s, now - said.at)
            for runner, said in sorted(self._said.items(), key=_latest)
            if said.per_s is not None or now - said.at < END_TOLD_S
        ]
        if len(told) <= MOST_TOLD:
            return told
        drawn = self._rng.sample(told[NEWEST_TOLD:], MOST_TOLD - NEWEST_TOLD)
        return told[:NEWEST_TOLD] + drawn

    def keep_only(self, runners: Collection[str]) -> None:
        """Forget what runners said that are gone."""
        for runner in self._said.keys() - runners:
            self._said.pop(runner)

    def _note(self, runner: str, said: _Said) -> None:
        before = self._said.get(runner, _Said(None, 0))
        self._said[runner] = said
        if before.per_s == said.per_s:
            return
        self._events.record(
            'runner_limit',
            runner=runner,
            per_s='none' if said.per_s is None else said.per_s,
        )
        self.changed()


def _latest(item: tuple[str, _Said]) -> float:
    return -item[1].at


def _number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if isfinite(number) and number >= 0 else None


def _nothing() -> None:
    """Do nothing until a listener is set."""
