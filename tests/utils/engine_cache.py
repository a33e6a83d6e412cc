"""The prefix cache of the stand-in engine and its feed of cache events.

The feed shows events late and loses some of them.
"""

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
        """Assign the next sequence number; then add the event or drop it."""
        seq = self._next_seq
        self._next_seq += 1
        if self._rng.random() >= self._drop:
            visible_at = time.monotonic() + self._delay_s
            self._events.append(_Event(seq, kind, prefix, visible_at))

    def read(self, start: int) -> dict[str, Any]:
        """Return the visible events from sequence number `start` on."""
        now = time.monotonic()
        visible = [
            event
            for event in self._events
            if event.seq >= start and event.visible_at <= now
        ]
        return {
            'next': max([start, *(event.seq + 1 for event in visible)]),
            'events': [
                {'seq': event.seq, 'kind': event.kind, 'prefix': event.prefix}
                for event in visible
            ],
        }


class PrefixCache:
    """An LRU cache of prompt prefix blocks."""

    def __init__(self, capacity_blocks: int, feed: CacheFeed) -> None:
        """Create an empty cache that publishes its changes to `feed`."""
        self.computed: Counter[str] = Counter()
        self._capacity = capacity_blocks
        self._feed = feed
        self._blocks: OrderedDict[str, None] = OrderedDict()

    def match(self, hashes: Sequence[str]) -> int:
        """Count the leading blocks that are cached and need no prefill."""
        count = 0
        for prefix in hashes:
            if prefix not in self._blocks:
                break
            self._blocks.move_to_end(prefix)
            count += 1
        return count

    def store(self, hashes: Sequence[str], matched: int) -> None:
        """Cache the blocks of a prefilled prompt, evicting the oldest.

        The first `matched` blocks were cached and not computed again.
        """
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
        """Drop all blocks without cache events, as a restart does."""
        self._blocks.clear()
