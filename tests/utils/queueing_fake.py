"""A deterministic fake of engines under virtual time.

An engine shares its capacity between its running requests (a lone prefill
may use all of it, a decode at most one slot's part), caches prompt segments
in limited memory, and queues in order of arrival beyond its batch. It knows
no tiers. Times are virtual seconds; nothing here reads a clock.
"""

import heapq
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleybend.decisions.prefixes import prefix_tokens
from bramleybend.decisions.runs import DECODE_TOKEN_COST
from bramleybend.models import Repeat, Tier

TINY = 1e-9


@dataclass(frozen=True)
class Segment:
    """A part of a prompt; equal names are equal text."""

    name: str
    tokens: int


@dataclass(frozen=True)
class Job:
    """A caller's request."""

    job_id: str
    workspace: str
    tier: Tier
    repeat: Repeat
    at: float
    deadline: float
    segments: tuple[Segment, ...]
    completion: int
    entry: int  # the entry VM its caller is connected to

    @property
    def prompt(self) -> int:
        """Count the prompt's tokens."""
        return sum(segment.tokens for segment in self.segments)

    @property
    def work(self) -> float:
        """Return the work without any cache."""
        return self.prompt + self.completion * DECODE_TOKEN_COST

    def prefixes(self) -> tuple[str, ...]:
        """Name the prefixes as a gateway's hashes would."""
        names = []
        index = 0
        end = 0
        for segment in self.segments:
            end += segment.tokens
            while prefix_tokens(index) <= end:
                names.append(f'{segment.name}#{index}')
                index += 1
        return tuple(names)


class VirtualTime:
    """An event loop over virtual seconds."""

    def __init__(self) -> None:
        self.now = float(0)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def at(self, time: float, action: Callable[[], None]) -> None:
        self._count += 1
        event = (max(time, self.now), self._count, action)
        heapq.heappush(self._events, event)

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        self.at(self.now + seconds, action)

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()


class PrefixCache:
    """An engine's cache: segments in order of use, limited in tokens."""

    def __init__(self, capacity: int, copies: Counter[str]) -> None:
        self._capacity = capacity
        self._copies = copies  # over all engines, to see repeated prefill
        self._held: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def held_tokens(self, segments: tuple[Segment, ...]) -> int:
        tokens = 0
        for segment in segments:
            if segment.name not in self._held:
                break
            tokens += segment.tokens
        return tokens

    def elsewhere(self, segments: tuple[Segment, ...]) -> int:
        """Count tokens that are not held here but on another engine."""
        return sum(
            segment.tokens
            for segment in segments
            if segment.name not in self._held and self._copies[segment.name]
        )

    def store(self, segments: tuple[Segment, ...]) -> None:
        for segment in segments:
            if segment.name not in self._held:
                self._held[segment.name] = segment.tokens
                self._tokens += segment.tokens
                self._copies[segment.name] += 1
        # The beginning is used last, as a leaf of the tree goes first.
        for segment in reversed(segments):
            self._held.move_to_end(segment.name)
        while self._tokens > self._capacity:
            self._drop(next(iter(self._held)))

    def clear(self) -> None:
        for name in tuple(self._held):
            self._drop(name)

    def _drop(self, name: str) -> None:
        self._tokens -= self._held.pop(name)
        self._copies[name] -= 1


@dataclass
class EngineRun:
    """A request on an engine."""

    job: Job
    on_first: Callable[[int], None]  # told the cached tokens
    on_end: Callable[[bool], None]  # told whether it ended whole
    cached: int = 0
    elsewhere: int = 0
    prefill_left: float = 0
    decode_left: float = 0
    rate: float = 0
    prefilled: float = 0
    started: bool = False


@dataclass
class FakeEngine:
    """One engine; `capacity` in work units a second."""

    name: str
    time: VirtualTime
    capacity: float
    slots: int
    cache: PrefixCache
    slowdown: float = 1
    alive: bool = True
    running: list[EngineRun] = field(default_factory=list)
    waiting: list[EngineRun] = field(default_factory=list)
    _at: float = 0
    _version: int = 0

    def send(self, run: EngineRun) -> bool:
        """Admit a request; false if nothing answers."""
        if not self.alive:
            return False
        self._advance()
        self.waiting.append(run)
        self._admit()
        self._plan()
        return True

    def cancel(self, run: EngineRun) -> None:
        self._advance()
        if run in self.waiting:
            self.waiting.remove(run)
        elif run in self.running:
            self.running.remove(run)
            self._admit()
        self._plan()

    def set_slowdown(self, factor: float) -> None:
        self._advance()
        self.slowdown = factor
        self._plan()

    def crash(self) -> None:
        self._advance()
        lost = self.running + self.waiting
        self.running, self.waiting, self.alive = [], [], False
        self.cache.clear()
        self._plan()
        for run in lost:
            run.on_end(False)

    def restart(self) -> None:
        self.alive = True

    def outstanding(self) -> int:
        return len(self.running) + len(self.waiting)

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            run = self.waiting.pop(0)
            segments = run.job.segments
            run.cached = self.cache.held_tokens(segments)
            run.elsewhere = self.cache.elsewhere(segments)
            run.prefill_left = run.job.prompt - run.cached
            run.decode_left = run.job.completion * DECODE_TOKEN_COST
            run.started = True
            self.running.append(run)

    def _advance(self) -> None:
        passed = self.time.now - self._at
        self._at = self.time.now
        for run in self.running:
            work = run.rate * passed
            if run.prefill_left > TINY:
                run.prefill_left -= work
                run.prefilled += work
            else:
                run.decode_left -= work

    def _plan(self) -> None:
        """Share the capacity out and wake at the next change."""
        self._version += 1
        if not self.running:
            return
        capacity = self.capacity / self.slowdown
        filling = [run for run in self.running if run.prefill_left > TINY]
        decoding = len(self.running) - len(filling)
        part = min(capacity / len(self.running), capacity / self.slots)
        rest = capacity - part * decoding
        soonest = float('inf')
        for run in self.running:
            if run.prefill_left > TINY:
                run.rate = rest / len(filling)
                soonest = min(soonest, run.prefill_left / run.rate)
            else:
                run.rate = part
                soonest = min(soonest, run.decode_left / part)
        version = self._version
        self.time.after(max(soonest, TINY), lambda: self._wake(version))

    def _wake(self, version: int) -> None:
        if version != self._version:
            return
        before = [run for run in self.running if run.prefill_left > TINY]
        self._advance()
        firsts = [run for run in before if run.prefill_left <= TINY * 100]
        for run in firsts:
            run.prefill_left = 0
            self.cache.store(run.job.segments)
        ended = [
            run
            for run in self.running
            if run.prefill_left <= TINY and run.decode_left <= TINY * 100
        ]
        self.running = [run for run in self.running if run not in ended]
        self._admit()
        self._plan()
        for run in firsts:
            run.on_first(run.cached)
        for run in ended:
            run.on_end(True)
