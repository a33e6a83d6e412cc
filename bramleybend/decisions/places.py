"""What each runner would cost a request, for one round of dispatch.

Load pattern: long prompts on runners that also serve short ones.
Without it: several long prompts are filled on one engine at once. None ends
sooner for that, as one prompt keeps the engine busy; all of them end late,
and no slot is left to order by tier.

A runner takes a prompt while what it still has to fill lasts less than
`FILL_S`, or if the prompt is so short (`SHORT_TOKENS`) that it hardly delays
the others.
"""

from collections.abc import Callable, Container, Sequence
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
    failing: float  # share of its runs that failed lately
    cached_tokens: Callable[[Sequence[str], int], int]  # its cache's estimate

    def prefill_tokens(self, ask: Ask) -> int:
        """Estimate the prompt tokens that are not cached here."""
        prompt = ask.prompt_tokens
        if not ask.prefixes:
            return prompt
        cached = self.cached_tokens(ask.prefixes, prompt)
        return prompt - cached if prompt > cached else 0

    def seconds(self, ask: Ask) -> float:
        """Estimate how long a request runs here."""
        return self._seconds(self.prefill_tokens(ask), decode_work(ask))

    def takes(self, ask: Ask) -> bool:
        """Tell whether a request may be started here."""
        return self._takes(self.prefill_tokens(ask))

    def may_start(self, prefill: int, seconds: float, left: 'TimeLeft') -> bool:
        """Tell whether a run of so many seconds may be started here.

        It would have to begin to answer and to end in time. An idle runner
        always gets a try: were it believed too slow for ever, nothing would
        run there that could prove otherwise.
        """
        if not self.free or not self._takes(prefill):
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
class Standing:
    """Where a request would run best now, beside waiting for another place."""

    runner: Runner | None  # none may take it
    cost: float  # there, seconds
    least: float  # of all places, the wait for each included
    prefill: int = 0  # tokens to fill there
    least_prefill: int = 0  # tokens to fill where it costs least


def best_of(places: Sequence[Place], ask: Ask, left: TimeLeft) -> Standing:
    """Weigh the places for one request with so much time left.

    A place that would lose with the whole prompt cached is not looked into.
    The sums stand in the loops and not in a method of `Place`: they are done
    for each entry that is weighed and each runner, most of what an owner's
    decisions cost.
    """
    decode = decode_work(ask)
    standing = Standing(None, inf, inf)
    free = [place for place in places if place.free]
    _weigh_free(free, ask, decode, left, standing)
    if len(free) < len(places):
        _weigh_busy(places, ask, decode, standing)
    return standing


def _weigh_free(
    places: Sequence[Place],
    ask: Ask,
    decode: float,
    left: TimeLeft,
    standing: Standing,
) -> None:
    for place in places:
        decoding = decode / place.pace.decode
        lost = place.failing * FAILED_S
        if place.fill + decoding + lost >= standing.cost:
            continue
        prefill = place.prefill_tokens(ask)
        seconds = place.fill + (prefill / place.pace.prefill + decoding)
        cost = seconds + prefill / place.mean.prefill * OTHERS + lost
        if cost < standing.least:
            standing.least = cost
            standing.least_prefill = prefill
        if cost < standing.cost and place.may_start(prefill, seconds, left):
            standing.runner = place.runner
            standing.cost = cost
            standing.prefill = prefill


def _weigh_busy(
    places: Sequence[Place], ask: Ask, decode: float, standing: Standing
) -> None:
    for place in places:
        if place.free:
            continue
        decoding = decode / place.pace.decode
        lost = place.failing * FAILED_S
        if place.fill + decoding + lost + place.wait >= standing.least:
            continue
        prefill = place.prefill_tokens(ask)
        seconds = place.fill + (prefill / place.pace.prefill + decoding)
        others = prefill / place.mean.prefill * OTHERS
        cost = seconds + others + lost + place.wait
        if cost < standing.least:
            standing.least = cost
            standing.least_prefill = prefill


def time_left(ask: Ask, now: float) -> TimeLeft:
    """Return the time that remains for a request's answer."""
    return TimeLeft(ask.begin_by - now, ask.deadline - now)


def decode_work(ask: Ask) -> float:
    """Return the work of a request beyond its prompt, at least one."""
    return max(ask.cost - ask.prompt_tokens, 1)


def places_of(
    shard: Shard, now: float, names: Container[str] | None = None
) -> list[Place]:
    """Look at the runners, or at those with these names, that get new work."""
    mean = shard.pool.mean_pace()
    gate = FILL_S if shard.switches.filling else inf
    return [
        _place(runner, shard.pool.pace_of(runner, mean), mean, gate, now)
        for runner in shard.pool
        if not runner.leaving and (names is None or runner.name in names)
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
        runner.cache.cached_tokens,
    )
