"""Simulated engines of one run, and the interface of a scheduler."""

from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from bramleybend.models import SlotRequest
from tests.benchmarks.patterns import ENGINE_CLASSES, Fault, LoadPattern
from tests.utils.queueing_fake import (
    EngineRun,
    FakeEngine,
    Job,
    PrefixCache,
    VirtualTime,
)

WARM_UP_S = 4.0
COLD_SLOWDOWN = 6.0


class Fleet:
    """Simulated engines of one run, with the faults of its pattern."""

    def __init__(self, time: VirtualTime, pattern: LoadPattern) -> None:
        segment_copies: Counter[str] = Counter()
        self.time = time
        self.engines: list[FakeEngine] = []
        for engine_class in ENGINE_CLASSES:
            for _ in range(engine_class.engine_count):
                engine = FakeEngine(
                    f'engine-{len(self.engines)}',
                    time,
                    engine_class.capacity,
                    engine_class.slots,
                    PrefixCache(engine_class.cache_tokens, segment_copies),
                )
                self.engines.append(engine)
        self.engines_by_name = {engine.name: engine for engine in self.engines}
        for fault in pattern.faults:
            self._schedule_fault(fault)

    def _schedule_fault(self, fault: Fault) -> None:
        for index in fault.engines:
            engine = self.engines[index]
            if fault.slowdown:
                slow_down = partial(engine.set_slowdown, fault.slowdown)
                self.time.at(fault.start_s, slow_down)
                self.time.at(fault.end_s, partial(engine.set_slowdown, 1))
            else:
                # A restarted engine is slow while it warms up.
                warm_at = fault.end_s + WARM_UP_S
                slow_down = partial(engine.set_slowdown, COLD_SLOWDOWN)
                self.time.at(fault.start_s, engine.crash)
                self.time.at(fault.end_s, engine.restart)
                self.time.at(fault.end_s, slow_down)
                self.time.at(warm_at, partial(engine.set_slowdown, 1))


@dataclass
class RequestState:
    """A request's progress through the scheduler under test."""

    job: Job
    ask: SlotRequest | None = None
    tried_engines: set[str] = field(default_factory=set)
    # After a grant, only the shard that granted.
    asked_shards: set[int] = field(default_factory=set)
    run: EngineRun | None = None
    engine_name: str = ''
    is_finished: bool = False
    is_retried: bool = False
    sent_at: float = 0


class SchedulerUnderTest(Protocol):
    """A scheduler under test."""

    def submit(self, request: RequestState) -> None:
        """Accept a new request, or one to retry."""

    def on_caller_gone(self, request: RequestState) -> None:
        """Handle a caller that gave up at its deadline."""
