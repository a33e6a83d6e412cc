"""The engines of one run, and what a scheduler under test is told."""

from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from bramleybend.models import SlotRequest
from tests.benchmarks.patterns import FLEET, Fault, Pattern
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
    """The engines of one run."""

    def __init__(self, time: VirtualTime, pattern: Pattern) -> None:
        copies: Counter[str] = Counter()
        self.time = time
        self.engines: list[FakeEngine] = []
        for speed in FLEET:
            for _ in range(speed.count):
                engine = FakeEngine(
                    f'engine-{len(self.engines)}',
                    time,
                    speed.capacity,
                    speed.slots,
                    PrefixCache(speed.cache, copies),
                )
                self.engines.append(engine)
        self.by_name = {engine.name: engine for engine in self.engines}
        for fault in pattern.faults:
            self._plan(fault)

    def _plan(self, fault: Fault) -> None:
        for index in fault.engines:
            engine = self.engines[index]
            if fault.slowdown:
                slow = partial(engine.set_slowdown, fault.slowdown)
                self.time.at(fault.at, slow)
                self.time.at(fault.until, partial(engine.set_slowdown, 1))
            else:
                # A returning engine is slow at first, as it warms up.
                warm = fault.until + WARM_UP_S
                slow = partial(engine.set_slowdown, COLD_SLOWDOWN)
                self.time.at(fault.at, engine.crash)
                self.time.at(fault.until, engine.restart)
                self.time.at(fault.until, slow)
                self.time.at(warm, partial(engine.set_slowdown, 1))


@dataclass
class Try:
    """One job under way."""

    job: Job
    ask: SlotRequest | None = None
    tried: set[str] = field(default_factory=set)
    shards: set[int] = field(default_factory=set)
    run: EngineRun | None = None
    engine: str = ''
    over: bool = False
    retried: bool = False
    sent_at: float = 0


class Player(Protocol):
    """A scheduler under test."""

    def submit(self, attempt: Try) -> None:
        """Take a job in."""

    def give_up(self, attempt: Try) -> None:
        """Learn that the caller is gone."""
