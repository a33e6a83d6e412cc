"""What each runner would cost a request, for one round of dispatch.

Load pattern: long prompts on runners that also serve short ones.
Without it: several long prompts are filled on one engine at once. None ends
sooner for that, as one prompt keeps the engine busy; all of them end late,
and no slot is left to order by tier.

A runner takes a prompt while what it still has to fill lasts less than
`FILL_S`, or if the prompt is so short (`SHORT_TOKENS`) that it hardly delays
the others; both by judgement, the ablation is `filling`. `OTHERS` was chosen
by trials at 0 to 7, see docs/design/decisions.md.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import Final

from bramleybend.decisions.failing import FAILED_S
from bramleybend.decisions.runs import Runner
from bramleybend.decisions.shard import Shard
from bramleybend.decisions.speeds import Pace
from bramleybend.models import Ask

FILL_S = 0.5
SHORT_TOKENS = 512

OTHERS = 4.0  # seconds the others lose by a second of prefill at mean pace


@dataclass(frozen=True, slots=True)
class TimeLeft:
    """Seconds that remain for a request's answer."""

    begin: float  # until its first token
    end: float  # until its last

    def covers(self, filled: float, ended: float) -> bool:
        """Tell whether a run that takes so long stays within it."""
        return filled < self.begin and ended < self.end


UNLIMITED: Final = TimeLeft(inf, inf)


# Not frozen, with slots: one is made for each runner and start, and a frozen
# one takes longer to make.
@dataclass(slots=True)
class Place:
    """A runner as it stands now."""

    runner: Runner
    pace: Pace
    mean: Pace  # over the shard's runners
    free: bool
    wait: float  # for a slot, seconds
    fill: float  # seconds until its prompts are filled
    gate: float  # the most of these with which it takes a long prompt
    failing: float = 0  # share of its runs that failed lately

    def least_cost(self, decode: float) -> float:
        """Return what a run costs here if all of its prompt is cached.

        It is added up as in `look`, so it is never more than the cost there.
        """
        lost = self.failing * FAILED_S
        return self.fill + self.pace.seconds(0, decode) + lost

    def prefill_tokens(self, ask: Ask) -> int:
        """Estimate the prompt tokens that are not cached here."""
        cached = self.runner.cache.cached_tokens(
            ask.prefixes,
            ask.prompt_tokens,
        )
        return max(ask.prompt_tokens - cached, 0)

    def seconds(self, ask: Ask) -> float:
        """Estimate how long a request runs here."""
        return self._seconds(self.prefill_tokens(ask), decode_work(ask))

    def takes(self, ask: Ask) -> bool:
        """Tell whether a request may be started here."""
        return self._takes(self.prefill_tokens(ask))

    def look(self, ask: Ask, decode: float, left: 'TimeLeft') -> 'Look':
        """Weigh a run here: prefill also takes time from the others."""
        prefill = self.prefill_tokens(ask)
        seconds = self._seconds(prefill, decode)
        work = prefill / self.mean.prefill
        lost = self.failing * FAILED_S
        return Look(
            seconds + work * OTHERS + lost,
            self.may_start(prefill, seconds, left),
        )

    def may_start(self, prefill: int, seconds: float, left: 'TimeLeft') -> bool:
        """Tell whether a run of so many seconds may be started here.

        It would have to begin to answer and to end in time. An idle runner
        always gets a try: were it believed too slow for ever, nothing would
        run there that could prove otherwise.
        """
        if not self._takes(prefill):
            return False
        filled = self._seconds(prefill, 0)
        return left.covers(filled, seconds) or not self.runner.in_flight

    def most_prefill(self) -> float:
        """Return the longest prefill that may be started here."""
        if not self.free:
            return -1
        return inf if self.fill < self.gate else SHORT_TOKENS

    def _seconds(self, prefill: int, decode: float) -> float:
        return self.fill + self.pace.seconds(prefill, decode)

    def _takes(self, prefill: int) -> bool:
        if not self.free or self.fill < self.gate:
            return self.free
        return prefill <= SHORT_TOKENS


@dataclass(slots=True)
class Look:
    """What a request would cost at one place."""

    cost: float  # seconds
    may_start: bool


@dataclass(slots=True)
class Standing:
    """Where a request would run best now, beside waiting for another place."""

    runner: Runner | None  # none may take it
    cost: float  # there, seconds
    least: float  # of all places, the wait for each included


def best_of(places: Sequence[Place], ask: Ask, left: TimeLeft) -> Standing:
    """Weigh the places for one request with so much time left.

    Each cache is looked into once, and that of a place that would lose with
    the whole prompt cached not at all; the choice is the same. One request
    under a standing queue of 50 took an owner of 70 runners 10.2 ms before
    and 2.3 ms now (one run each, beside other work).
    """
    if not ask.prefixes:
        return _best_uncached(places, ask, left)
    decode = decode_work(ask)
    standing = Standing(None, inf, inf)
    for place in places:
        bar = standing.cost if place.free else standing.least
        if place.least_cost(decode) + place.wait >= bar:
            continue
        look = place.look(ask, decode, left)
        standing.least = min(standing.least, look.cost + place.wait)
        if look.may_start and look.cost < standing.cost:
            standing.runner = place.runner
            standing.cost = look.cost
    return standing


def _best_uncached(
    places: Sequence[Place], ask: Ask, left: TimeLeft
) -> Standing:
    """Weigh the places for a prompt without known prefixes.

    All of it is filled at each place, so no cache is looked into; the sums
    are those of `Place.look`.
    """
    prompt, decode = ask.prompt_tokens, decode_work(ask)
    standing = Standing(None, inf, inf)
    for place in places:
        seconds = place.fill + place.pace.seconds(prompt, decode)
        others = prompt / place.mean.prefill * OTHERS
        cost = seconds + others + place.failing * FAILED_S
        if cost + place.wait < standing.least:
            standing.least = cost + place.wait
        if cost < standing.cost and place.may_start(prompt, seconds, left):
            standing.runner = place.runner
            standing.cost = cost
    return standing


def time_left(ask: Ask, now: float) -> TimeLeft:
    """Return the time that remains for a request's answer."""
    return TimeLeft(ask.begin_by - now, ask.deadline - now)


def decode_work(ask: Ask) -> float:
    """Return the work of a request beyond its prompt, at least one."""
    return max(ask.cost - ask.prompt_tokens, 1)


def places_of(shard: Shard, now: float) -> list[Place]:
    """Look at the runners that may get new work."""
    mean = shard.pool.mean_pace()
    gate = FILL_S if shard.switches.filling else inf
    return [
        _place(runner, shard.pool.pace_of(runner, mean), mean, gate, now)
        for runner in shard.pool
        if not runner.leaving
    ]


def _place(
    runner: Runner, pace: Pace, mean: Pace, gate: float, now: float
) -> Place:
    free = runner.room(now) > 0
    wait = 0 if free else runner.wait_s(now)
    return Place(
        runner,
        pace,
        mean,
        free,
        wait,
        runner.backlog / pace.prefill,
        gate,
        runner.failing.value(now),
    )
