"""A deterministic simulation of engines, in virtual seconds.

An engine divides its capacity among its running requests: a single prefill
may use all of it, a decode at most the share of one slot. It caches prompt
segments in limited memory. Requests beyond its slots queue in order of
arrival, as an engine has no tiers. Nothing here reads a real clock.
"""

import heapq
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleybend.decisions.prefixes import prefix_tokens
from bramleybend.decisions.runs import DECODE_TOKEN_COST
from bramleybend.models import Repeat, Tier

EPSILON = 1e-9


@dataclass(frozen=True)
class Segment:
    """A part of a prompt; segments of the same name have the same text."""

    name: str
    tokens: int


@dataclass(frozen=True)
class Job:
    """A request of a caller; times are virtual seconds."""

    job_id: str
    workspace: str
    tier: Tier
    repeat: Repeat
    at: float
    deadline: float
    segments: tuple[Segment, ...]
    completion: int
    entry: int  # index of the entry VM that receives it

    @property
    def prompt(self) -> int:
        """Count the prompt's tokens."""
        return sum(segment.tokens for segment in self.segments)

    @property
    def work(self) -> float:
        """Return the cost in work units if nothing is cached."""
        return self.prompt + self.completion * DECODE_TOKEN_COST

    def prefixes(self) -> tuple[str, ...]:
        """Return a name for each prefix that a gateway would hash."""
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
    """An event queue over virtual seconds."""

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
    """An engine's LRU cache of prompt segments, limited in tokens."""

    def __init__(self, capacity: int, copies: Counter[str]) -> None:
        self._capacity = capacity
        self._copies = copies  # by segment, over all engines
        self._segments: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def held_tokens(self, segments: tuple[Segment, ...]) -> int:
        tokens = 0
        for segment in segments:
            if segment.name not in self._segments:
                break
            tokens += segment.tokens
        return tokens

    def elsewhere(self, segments: tuple[Segment, ...]) -> int:
        """Count the tokens that only other engines have cached."""
        return sum(
            segment.tokens
            for segment in segments
            if segment.name not in self._segments and self._copies[segment.name]
        )

    def store(self, segments: tuple[Segment, ...]) -> None:
        for segment in segments:
            if segment.name not in self._segments:
                self._segments[segment.name] = segment.tokens
                self._tokens += segment.tokens
                self._copies[segment.name] += 1
        # A prompt's first segments become the most recently used, as a prefix
        # tree evicts its leaves first.
        for segment in reversed(segments):
            self._segments.move_to_end(segment.name)
        while self._tokens > self._capacity:
            self._evict(next(iter(self._segments)))

    def clear(self) -> None:
        for name in tuple(self._segments):
            self._evict(name)

    def _evict(self, name: str) -> None:
        self._tokens -= self._segments.pop(name)
        self._copies[name] -= 1


@dataclass
class EngineRun:
    """The execution of a request on an engine."""

    job: Job
    on_first: Callable[[int], None]  # first token; gets cached tokens
    on_end: Callable[[bool], None]  # gets whether it completed
    cached: int = 0
    elsewhere: int = 0
    prefill_left: float = 0
    decode_left: float = 0
    rate: float = 0
    prefilled: float = 0
    started: bool = False


@dataclass
class FakeEngine:
    """One engine; `capacity` is in work units per second."""

    name: str
    time: VirtualTime
    capacity: float
    slots: int
    cache: PrefixCache
    slowdown: float = 1
    alive: bool = True
    running: list[EngineRun] = field(default_factory=list)
    waiting: list[EngineRun] = field(default_factory=list)
    _advanced_at: float = 0
    _version: int = 0

    def send(self, run: EngineRun) -> bool:
        """Queue or start a request; return False if the engine is down."""
        if not self.alive:
            return False
        self._advance()
        self.waiting.append(run)
        self._admit()
        self._reschedule()
        return True

    def cancel(self, run: EngineRun) -> None:
        self._advance()
        if run in self.waiting:
            self.waiting.remove(run)
        elif run in self.running:
            self.running.remove(run)
            self._admit()
        self._reschedule()

    def set_slowdown(self, factor: float) -> None:
        self._advance()
        self.slowdown = factor
        self._reschedule()

    def crash(self) -> None:
        self._advance()
        lost = self.running + self.waiting
        self.running, self.waiting, self.alive = [], [], False
        self.cache.clear()
        self._reschedule()
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
        elapsed_s = self.time.now - self._advanced_at
        self._advanced_at = self.time.now
        for run in self.running:
            work = run.rate * elapsed_s
            if run.prefill_left > EPSILON:
                run.prefill_left -= work
                run.prefilled += work
            else:
                run.decode_left -= work

    def _reschedule(self) -> None:
        """Divide the capacity and schedule the next state change."""
        self._version += 1
        if not self.running:
            return
        capacity = self.capacity / self.slowdown
        prefilling = [run for run in self.running if run.prefill_left > EPSILON]
        decoding = len(self.running) - len(prefilling)
        decode_rate = min(capacity / len(self.running), capacity / self.slots)
        prefill_capacity = capacity - decode_rate * decoding
        next_change_s = float('inf')
        for run in self.running:
            if run.prefill_left > EPSILON:
                run.rate = prefill_capacity / len(prefilling)
                next_change_s = min(next_change_s, run.prefill_left / run.rate)
            else:
                run.rate = decode_rate
                next_change_s = min(
                    next_change_s, run.decode_left / decode_rate
                )
        version = self._version
        self.time.after(
            max(next_change_s, EPSILON), lambda: self._wake(version)
        )

    def _wake(self, version: int) -> None:
        if version != self._version:
            return
        prefilling_runs = [
            run for run in self.running if run.prefill_left > EPSILON
        ]
        self._advance()
        prefilled_runs = [
            run for run in prefilling_runs if run.prefill_left <= EPSILON * 100
        ]
        for run in prefilled_runs:
            run.prefill_left = 0
            self.cache.store(run.job.segments)
        completed_runs = [
            run
            for run in self.running
            if run.prefill_left <= EPSILON and run.decode_left <= EPSILON * 100
        ]
        self.running = [
            run for run in self.running if run not in completed_runs
        ]
        self._admit()
        self._reschedule()
        for run in prefilled_runs:
            run.on_first(run.cached)
        for run in completed_runs:
            run.on_end(True)
