"""The prompt prefixes that a runner probably has cached.

Load pattern: many requests that share long prefixes, on engines whose cache is
small and whose cache events arrive late or not at all.
Without it: a long statement is prefilled again on every runner.

The view records the prefixes that were sent to the runner, up to
`MAX_CACHED_PREFIXES`, as the runner's own memory is bounded. An eviction event
is ignored if the prefix was sent again within `EVENT_LAG_S`, since the event
may be older than that send. A run that found much less cached than expected
removes its prefixes from the view, which compensates for lost events.
"""

from collections import OrderedDict
from collections.abc import Sequence

from bramleybend.decisions.prefixes import prefix_tokens

MAX_CACHED_PREFIXES = 512
STORED = 'stored'
EVICTED = 'evicted'
EVENT_LAG_S = 5.0
# Share of the expected cached tokens; a run that finds less shows that the view
# is wrong.
MIN_HIT_RATIO = 0.5


class CacheView:
    """The owner's estimate of one runner's prefix cache."""

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._sent_at: OrderedDict[str, float] = OrderedDict()

    def record_sent(self, prefixes: Sequence[str], now: float) -> None:
        """Record prefixes that a run computes on the runner."""
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
        """Correct the view by the tokens that a run really found cached."""
        if cached < expected * MIN_HIT_RATIO:
            for prefix in prefixes[1:]:
                self._sent_at.pop(prefix, None)

    def handle_event(self, kind: str, prefix: str, now: float) -> None:
        """Apply a cache event, unless it may be older than the last send."""
        if kind == STORED:
            self._sent_at.setdefault(prefix, now)
        elif (
            kind == EVICTED
            and self._sent_at.get(prefix, now) <= now - EVENT_LAG_S
        ):
            self._sent_at.pop(prefix)
        self._trim()

    def clear(self) -> None:
        """Remove everything; the runner lost its cache."""
        self._sent_at.clear()

    def _trim(self) -> None:
        while len(self._sent_at) > MAX_CACHED_PREFIXES:
            self._sent_at.popitem(last=False)
