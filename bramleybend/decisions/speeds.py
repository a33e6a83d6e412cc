"""How fast each runner works, learned from own runs.

Load pattern: unlike engines behind one service.
Without it: the slow engines get the long prompts as often as the fast, and
those deadlines pass there.

Prefill and decode are learned apart, as a long prompt and a long answer load
an engine differently; each is smoothed over about ten runs. A runner without
a measure counts as its peers' mean, which the pool gives.
"""

from dataclasses import dataclass

SMOOTHING = 0.15
FIRST_PREFILL = 2000.0
FIRST_DECODE = 400.0
FEWEST_TOKENS = 64  # a shorter prefill measures the waiting, not the speed


@dataclass(frozen=True)
class Pace:
    """Work units a second of one run, in its two phases."""

    prefill: float
    decode: float

    def seconds(self, prefill: float, decode: float) -> float:
        """Estimate how long a run takes."""
        return prefill / self.prefill + decode / self.decode


FIRST_PACE = Pace(
    FIRST_PREFILL, FIRST_DECODE
)  # before any run has ended anywhere


class Speed:
    """One runner's pace, as measured."""

    def __init__(self) -> None:
        """Start without a measure."""
        self._prefill: float | None = None
        self._decode: float | None = None
        self.pace: Pace | None = None  # once both phases were seen

    def prefilled(self, tokens: float, seconds: float) -> None:
        """Learn from a prompt that was filled."""
        if tokens >= FEWEST_TOKENS and seconds > 0:
            self._prefill = _smoothed(self._prefill, tokens / seconds)
            self._update()

    def decoded(self, work: float, seconds: float) -> None:
        """Learn from an answer that ended whole."""
        if work > 0 and seconds > 0:
            self._decode = _smoothed(self._decode, work / seconds)
            self._update()

    def ended(self, work: float, seconds: float) -> None:
        """Learn from a run without a first token, as of one phase."""
        if self._prefill is None and work > 0 and seconds > 0:
            # Plain services have no prompts, and no pace without this phase.
            self._prefill = work / seconds
        self.prefilled(work, seconds)
        self.decoded(work, seconds)

    def _update(self) -> None:
        if self._prefill is not None and self._decode is not None:
            self.pace = Pace(self._prefill, self._decode)


def _smoothed(before: float | None, measured: float) -> float:
    if before is None:
        return measured
    return before + (measured - before) * SMOOTHING
