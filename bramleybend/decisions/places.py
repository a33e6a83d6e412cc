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

from dataclasses import dataclass
from math import inf

from bramleybend.decisions.failing import FAILED_S
from bramleybend.decisions.runs import Runner
from bramleybend.decisions.shard import Shard
from bramleybend.decisions.speeds import Pace
from bramleybend.models import Ask

FILL_S = 0.5
SHORT_TOKENS = 512

OTHERS = 4.0  # seconds the others lose by a second of prefill at mean pace


@dataclass(frozen=True)
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

    def prefill_tokens(self, ask: Ask) -> int:
        """Estimate the prompt tokens that are not cached here."""
        cached = self.runner.cache.cached_tokens(
            ask.prefixes,
            ask.prompt_tokens,
        )
        return max(ask.prompt_tokens - cached, 0)

    def seconds(self, ask: Ask) -> float:
        """Estimate how long a request runs here."""
        decode = max(ask.cost - ask.prompt_tokens, 1)
        prefill = self.prefill_tokens(ask)
        return self.fill + self.pace.seconds(prefill, decode)

    def cost(self, ask: Ask) -> float:
        """Weigh a run here: prefill also takes time from the others."""
        work = self.prefill_tokens(ask) / self.mean.prefill
        lost = self.failing * FAILED_S
        return self.seconds(ask) + work * OTHERS + lost

    def in_time(self, ask: Ask, left: float) -> bool:
        """Tell whether a request would end in the time left.

        An idle runner always gets a try: were it believed too slow for ever,
        nothing would run there that could prove otherwise.
        """
        return self.seconds(ask) < left or not self.runner.in_flight

    def takes(self, ask: Ask) -> bool:
        """Tell whether a request may be started here."""
        if not self.free or self.fill < self.gate:
            return self.free
        return self.prefill_tokens(ask) <= SHORT_TOKENS

    def most_prefill(self) -> float:
        """Return the longest prefill that may be started here."""
        if not self.free:
            return -1
        return inf if self.fill < self.gate else SHORT_TOKENS


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
    wait = 0 if free else runner.wait_s()
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
