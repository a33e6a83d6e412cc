"""The pace of each runner, learned from its own runs.

Load pattern: different engines behind one service.
Without it: slow engines get long prompts as often as fast ones, and deadlines
pass there.

Prefill and decode are measured separately, since a long prompt and a long
answer load an engine differently; each is smoothed over about ten runs. A
runner without a measurement gets the mean of its peers from the pool.
"""

from dataclasses import dataclass

SMOOTHING = 0.15
DEFAULT_PREFILL = 2000.0
DEFAULT_DECODE = 400.0
MIN_PREFILL_TOKENS = 64  # a shorter prefill measures the wait, not the pace


@dataclass(frozen=True)
class Pace:
    """Work units per second of one run, by phase."""

    prefill_per_s: float
    decode_per_s: float

    def seconds(self, prefill: float, decode: float) -> float:
        """Estimate the duration of a run in seconds."""
        return prefill / self.prefill_per_s + decode / self.decode_per_s


DEFAULT_PACE = Pace(
    DEFAULT_PREFILL, DEFAULT_DECODE
)  # used before any run has ended


class PaceEstimator:
    """The measured pace of one runner."""

    def __init__(self) -> None:
        """Start without a measurement."""
        self._prefill_per_s: float | None = None
        self._decode_per_s: float | None = None
        self.pace: Pace | None = None  # set once both phases have been measured

    def record_prefill(self, tokens: float, seconds: float) -> None:
        """Record a finished prefill."""
        if tokens >= MIN_PREFILL_TOKENS and seconds > 0:
            self._prefill_per_s = _smooth(self._prefill_per_s, tokens / seconds)
            self._update()

    def record_decode(self, work: float, seconds: float) -> None:
        """Record the decode phase of a run that ended successfully."""
        if work > 0 and seconds > 0:
            self._decode_per_s = _smooth(self._decode_per_s, work / seconds)
            self._update()

    def record_run(self, work: float, seconds: float) -> None:
        """Record a run without a first token, as a single phase."""
        if self._prefill_per_s is None and work > 0 and seconds > 0:
            # Plain services have no prompts; without this value they would have
            # no pace.
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
