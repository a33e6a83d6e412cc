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
DEFAULT_PREFILL = 2000.0
DEFAULT_DECODE = 400.0
MIN_PREFILL_TOKENS = 64  # a shorter prefill measures the waiting, not the speed


@dataclass(frozen=True)
class Pace:
    """Work units a second of one run, in its two phases."""

    prefill_per_s: float
    decode_per_s: float

    def seconds(self, prefill: float, decode: float) -> float:
        """Estimate how long a run takes."""
        return prefill / self.prefill_per_s + decode / self.decode_per_s


DEFAULT_PACE = Pace(
    DEFAULT_PREFILL, DEFAULT_DECODE
)  # before any run has ended anywhere


class PaceEstimator:
    """One runner's pace, as measured."""

    def __init__(self) -> None:
        """Start without a measure."""
        self._prefill_per_s: float | None = None
        self._decode_per_s: float | None = None
        self.pace: Pace | None = None  # once both phases were seen

    def record_prefill(self, tokens: float, seconds: float) -> None:
        """Learn from a prompt that was filled."""
        if tokens >= MIN_PREFILL_TOKENS and seconds > 0:
            self._prefill_per_s = _smooth(self._prefill_per_s, tokens / seconds)
            self._update()

    def record_decode(self, work: float, seconds: float) -> None:
        """Learn from an answer that ended whole."""
        if work > 0 and seconds > 0:
            self._decode_per_s = _smooth(self._decode_per_s, work / seconds)
            self._update()

    def record_run(self, work: float, seconds: float) -> None:
        """Learn from a run without a first token, as of one phase."""
        if self._prefill_per_s is None and work > 0 and seconds > 0:
            # Plain services have no prompts, and no pace without this phase.
            self._prefill_per_s = work / seconds
        self.record_prefill(work, seconds)
        self.record_decode(work, seconds)

    def _update(self) -> None:
        if self._prefill_per_s is not None and self._decode_per_s is not None:
            self.pace = Pace(self._prefill_per_s, self._decode_per_s)


def _smooth(previous: float | None, measured: float) -> float:
    if previous is None:
        return measured
    return previous + (measured - previous) * SMOOTHING
