"""An engine's prefix cache and its late, gappy feed of cache events."""

import time
from collections import Counter, OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Any


@dataclass
class _Event:
    seq: int
    kind: str
    prefix: str
    visible_at: float


class CacheFeed:
    """Publishes cache events after a delay and drops some of them."""

    def __init__(self, rng: Random, delay_s: float, drop: float) -> None:
        """Drop each event with probability `drop`."""
        self._rng = rng
        self._delay_s = delay_s
        self._drop = drop
        self._next_seq = 0
        self._events: list[_Event] = []

    def publish(self, kind: str, prefix: str) -> None:
        """Number the event, then perhaps lose it."""
        seq = self._next_seq
        self._next_seq += 1
        if self._rng.random() >= self._drop:
            visible_at = time.monotonic() + self._delay_s
            self._events.append(_Event(seq, kind, prefix, visible_at))

    def read(self, start: int) -> dict[str, Any]:
        """Return the events from `start` on that are visible by now."""
        now = time.monotonic()
        shown = [
            event
            for event in self._events
            if event.seq >= start and event.visible_at <= now
        ]
        return {
            'next': max([start, *(event.seq + 1 for event in shown)]),
            'events': [
                {'seq': event.seq, 'kind': event.kind, 'prefix': event.prefix}
                for event in shown
            ],
        }


class PrefixCache:
    """Keeps the blocks used last, as many as the memory holds."""

    def __init__(self, capacity_blocks: int, feed: CacheFeed) -> None:
        """Start empty."""
        self.computed: Counter[str] = Counter()
        self._capacity = capacity_blocks
        self._feed = feed
        self._blocks: OrderedDict[str, None] = OrderedDict()

    def match(self, hashes: Sequence[str]) -> int:
        """Count the leading blocks that need no prefill."""
        count = 0
        for prefix in hashes:
            if prefix not in self._blocks:
                break
            self._blocks.move_to_end(prefix)
            count += 1
        return count

    def store(self, hashes: Sequence[str], matched: int) -> None:
        """Keep a prefilled prompt; the blocks unused longest give way."""
        self.computed.update(hashes[matched:])
        for prefix in hashes:
            if prefix not in self._blocks:
                self._feed.publish('stored', prefix)
            self._blocks[prefix] = None
            self._blocks.move_to_end(prefix)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._feed.publish('evicted', evicted)

    def clear(self) -> None:
        """Forget all, as a restart does; say nothing about it."""
        self._blocks.clear()
