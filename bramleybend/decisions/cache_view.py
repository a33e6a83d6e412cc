"""Which prompt prefixes a runner probably holds.

Load pattern: many requests that share long prefixes, on engines whose cache
is small and whose cache events come late and with gaps.
Without it: a long statement is prefilled again on every runner.

The view follows what was sent there, bounded as the runner's own memory is.
An event that a prefix was evicted counts only if the prefix was not sent
again within `EVENT_LAG_S`, since the event may be older than that send. A run
that found much less cached than expected empties the view for its prefixes,
which makes up for events that never came.
"""

from collections import OrderedDict
from collections.abc import Sequence

from bramleybend.decisions.prefixes import prefix_tokens

MAX_CACHED_PREFIXES = 512
STORED = 'stored'
EVICTED = 'evicted'
EVENT_LAG_S = 5.0
MIN_HIT_RATIO = (
    0.5  # of the tokens expected cached; below it the view was wrong
)


class CacheView:
    """One runner's cache, as the owner believes it to be."""

    def __init__(self) -> None:
        """Start cold."""
        self._sent_at: OrderedDict[str, float] = OrderedDict()

    def record_sent(self, prefixes: Sequence[str], now: float) -> None:
        """Note prefixes that a run computes there."""
        for prefix in prefixes:
            self._sent_at[prefix] = now
            self._sent_at.move_to_end(prefix)
        self._trim()

    def cached_tokens(self, prefixes: Sequence[str], tokens: int) -> int:
        """Estimate the prompt tokens that need no prefill."""
        cached_prefixes = 0
        for prefix in prefixes:
            if prefix not in self._sent_at:
                break
            cached_prefixes += 1
        return (
            min(prefix_tokens(cached_prefixes - 1), tokens)
            if cached_prefixes
            else 0
        )

    def reconcile(
        self,
        prefixes: Sequence[str],
        expected: int,
        cached: int,
    ) -> None:
        """Compare with what a run really found cached."""
        if cached < expected * MIN_HIT_RATIO:
            for prefix in prefixes[1:]:
                self._sent_at.pop(prefix, None)

    def handle_event(self, kind: str, prefix: str, now: float) -> None:
        """Take in an event, unless it may be older than what was sent."""
        if kind == STORED:
            self._sent_at.setdefault(prefix, now)
        elif (
            kind == EVICTED
            and self._sent_at.get(prefix, now) <= now - EVENT_LAG_S
        ):
            self._sent_at.pop(prefix)
        self._trim()

    def clear(self) -> None:
        """Forget everything; the runner lost its memory."""
        self._sent_at.clear()

    def _trim(self) -> None:
        while len(self._sent_at) > MAX_CACHED_PREFIXES:
            self._sent_at.popitem(last=False)
